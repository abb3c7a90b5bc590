/** Sends the look-up request of a route to the targets of its service. */
import { ResultCode, RunState } from '@parsleymux/base';
import type { IRoutedRequest, ITargetResponse, TargetTransport } from '@parsleymux/routing';
import { readCompleteBody } from '../../guard/common/completeBody.js';
import type { ITargetOutcome } from './outcomeLookUp.js';
import { LookUpResult, OutcomeLookUp } from './outcomeLookUp.js';

const OK = 200;
const NOT_FOUND = 404;
const KEY_PLACEHOLDER = '{key}';
const DEFAULT_TIMEOUT_MS = 1000;
const DEFAULT_MAX_RESPONSE_BYTES = 1 << 20;

/** Options of a {@link TargetOutcomeLookUp}. */
export interface ITargetOutcomeLookUpOptions {
  readonly transport: TargetTransport;
  /** Addresses of all targets of a service, including those that currently receive no requests. */
  readonly getTargets: (member: string, service: string) => readonly string[];
  /** Timeout for each target, in ms. Default 1000. */
  readonly timeoutMs?: number;
  /** Maximum size of an accepted response body, in bytes. Default 1 MiB. */
  readonly maxResponseBytes?: number;
}

/**
 * Queries the targets one after the other until one reports that it executed the key. The result
 * is "not run" only if every target reports it, because a target may record only its own executions.
 *
 * @example
 * const lookUp = new TargetOutcomeLookUp({ transport, getTargets });
 */
export class TargetOutcomeLookUp extends OutcomeLookUp {
  private readonly transport: TargetTransport;
  private readonly getTargets: (member: string, service: string) => readonly string[];
  private readonly timeoutMs: number;
  private readonly maxResponseBytes: number;

  constructor(options: ITargetOutcomeLookUpOptions) {
    super();
    this.transport = options.transport;
    this.getTargets = options.getTargets;
    this.timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
    this.maxResponseBytes = options.maxResponseBytes ?? DEFAULT_MAX_RESPONSE_BYTES;
  }

  override async lookUp(request: IRoutedRequest, signal: AbortSignal): Promise<ITargetOutcome> {
    const targets = this.getTargets(request.member, request.route.service);
    let notRunCount = 0;
    for (const target of targets) {
      if (signal.aborted) break;
      const targetOutcome = await this.fetchResult(target, request, signal);
      if (targetOutcome.result === LookUpResult.Ran) return targetOutcome;
      if (targetOutcome.result === LookUpResult.NotRun) notRunCount += 1;
    }
    const isNotRun = targets.length > 0 && notRunCount === targets.length;
    return { result: isNotRun ? LookUpResult.NotRun : LookUpResult.NoResponse };
  }

  private async fetchResult(
    target: string,
    request: IRoutedRequest,
    signal: AbortSignal,
  ): Promise<ITargetOutcome> {
    const { member, route } = request;
    const key = encodeURIComponent(request.idempotencyKey ?? '');
    try {
      const response = await this.transport.send(
        {
          target,
          member,
          method: 'GET',
          path: route.lookUpPath.replace(KEY_PLACEHOLDER, () => key),
          headers: [['host', route.host]],
          body: new Uint8Array(),
          timeoutMs: this.timeoutMs,
        },
        { signal, maxResponseBytes: this.maxResponseBytes, freshConnection: true },
      );
      return await this.readResult(response);
    } catch {
      return { result: LookUpResult.NoResponse };
    }
  }

  private async readResult(response: ITargetResponse): Promise<ITargetOutcome> {
    const { status, headers, notRun } = response;
    const body = await readCompleteBody(response.body, this.maxResponseBytes);
    // A target that sheds the look-up itself reports nothing about the key.
    if (notRun || body === undefined) return { result: LookUpResult.NoResponse };
    if (status === NOT_FOUND) return { result: LookUpResult.NotRun };
    if (status !== OK) return { result: LookUpResult.NoResponse };
    const completeResponse = { status, headers, body, code: ResultCode.Ok, runState: RunState.Ran };
    return { result: LookUpResult.Ran, response: completeResponse };
  }
}
