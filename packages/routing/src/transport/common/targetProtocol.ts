/** What a target and its proxy tell each other in headers: varies with the deployment. */
import type { Header } from '../../request/common/request.js';
import { MuxHeader, findHeader } from './hopHeaders.js';

const NOT_RUN = 'not-run';

/** The convention by which targets are told of time and identity, and tell of refusals. */
export abstract class TargetProtocol {
  /** Header that tells the target how long it has, in ms. */
  abstract readonly timeoutHeader: string;

  /** Header that identifies a request, which the target echoes in its answer. */
  abstract readonly correlationHeader: string;

  /**
   * Whether an answer without framing of its own may be ended by the orderly end of its
   * connection. Half an answer then looks whole if the target's process dies in good order, so
   * only targets that are known to answer this way are read so.
   */
  abstract readonly acceptsUnframed: boolean;

  /** The correlation value of a request; `ownId` is unique for each attempt. */
  abstract getCorrelation(headers: readonly Header[], ownId: string): string;

  /** Whether the answer says that the target did not run the request. */
  abstract isNotRun(status: number, headers: readonly Header[]): boolean;

  /** Whether the answer says that the target is draining. */
  abstract isDraining(headers: readonly Header[]): boolean;

  /**
   * Requests a second that the target takes from all nodes together, by the answer; undefined when it
   * names no limit, or one that makes no sense.
   */
  abstract readRateLimit(headers: readonly Header[]): number | undefined;
}

/** The fleet's own headers. */
export class MuxTargetProtocol extends TargetProtocol {
  override readonly timeoutHeader = MuxHeader.TimeoutMs;
  override readonly correlationHeader = MuxHeader.AttemptId;
  override readonly acceptsUnframed: boolean = false;

  override getCorrelation(_headers: readonly Header[], ownId: string): string {
    return ownId;
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
