/** Header conventions between targets and the proxy, which vary with the deployment. */
import type { Header } from '../../request/common/request.js';
import { MuxHeader, findHeader } from './hopHeaders.js';

const NOT_RUN = 'not-run';

/**
 * Names and reads the headers for time limits, request identity, refusals, draining and rate
 * limits.
 */
export abstract class TargetProtocol {
  /** Header that carries the time limit of the target, in ms. */
  abstract readonly timeoutHeader: string;

  /** Header that identifies a request and that the target echoes in its response. */
  abstract readonly correlationHeader: string;

  /**
   * Whether a response without framing of its own may be delimited by the orderly end of its
   * connection. A truncated response then looks complete if the target's process exits in an
   * orderly way, so this applies only to targets that are known to respond this way.
   */
  abstract readonly acceptsUnframed: boolean;

  /** Returns the correlation value of a request; `attemptId` is unique for each attempt. */
  abstract getCorrelation(headers: readonly Header[], attemptId: string): string;

  /** Whether the response states that the target did not run the request. */
  abstract isNotRun(status: number, headers: readonly Header[]): boolean;

  /** Whether the response states that the target is draining. */
  abstract isDraining(headers: readonly Header[]): boolean;

  /**
   * Returns the requests per second that the target accepts from all nodes together, according to
   * the response; undefined when it states no limit or an invalid one.
   */
  abstract readRateLimit(headers: readonly Header[]): number | undefined;
}

/** The fleet's own headers. */
export class MuxTargetProtocol extends TargetProtocol {
  override readonly timeoutHeader = MuxHeader.TimeoutMs;
  override readonly correlationHeader = MuxHeader.AttemptId;
  override readonly acceptsUnframed: boolean = false;

  override getCorrelation(_headers: readonly Header[], attemptId: string): string {
    return attemptId;
  }

  override isNotRun(_status: number, headers: readonly Header[]): boolean {
    return findHeader(headers, MuxHeader.RunState) === NOT_RUN;
  }

  override isDraining(headers: readonly Header[]): boolean {
    return findHeader(headers, MuxHeader.Draining) === 'true';
  }

  override readRateLimit(): undefined {
    return undefined;
  }
}
