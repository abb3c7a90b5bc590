/** Sends a route's look-up request to the targets of its service. */
import { ResultCode, RunState } from '@parsleymux/base';
import type { IRoutedRequest, ITargetResponse, TargetTransport } from '@parsleymux/routing';
import { readWholeBody } from '../../guard/common/wholeBody.js';
import type { ITargetOutcome } from './outcomeLookUp.js';
import { LookUpResult, OutcomeLookUp } from './outcomeLookUp.js';

const OK = 200;
const NOT_FOUND = 404;
const KEY_PLACEHOLDER = '{key}';
const DEFAULT_TIMEOUT_MS = 1000;
const DEFAULT_MAX_ANSWER_BYTES = 1 << 20;

/** Options of a {@link TargetOutcomeLookUp}. */
export interface ITargetOutcomeLookUpOptions {
  readonly transport: TargetTransport;
  /** Addresses of all targets of a service, also of those that get no work now. */
  readonly getTargets: (member: string, service: string) => readonly string[];
  /** Longest wait for one target, in ms. Default 1000. */
  readonly timeoutMs?: number;
  /** Largest answer that is taken, in bytes. Default 1 MiB. */
  readonly maxAnswerBytes?: number;
}

/**
 * Asks one target after the other until one has executed the key. "Never ran" takes the word of
 * every target: each may know only of its own executions.
 *
 * @example
 * const lookUp = new TargetOutcomeLookUp({ transport, getTargets });
 */
export class TargetOutcomeLookUp extends OutcomeLookUp {
  private readonly transport: TargetTransport;
  private readonly getTargets: (member: string, service: string) => readonly string[];
  private readonly timeoutMs: number;
  private readonly maxAnswerBytes: number;

  constructor(options: ITargetOutcomeLookUpOptions) {
    super();
    this.transport = options.transport;
    this.getTargets = options.getTargets;
    this.timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
    this.maxAnswerBytes = options.maxAnswerBytes ?? DEFAULT_MAX_ANSWER_BYTES;
  }

  override async lookUp(request: IRoutedRequest, signal: AbortSignal): Promise<ITargetOutcome> {
    const targets = this.getTargets(request.member, request.route.service);
    let denials = 0;
    for (const target of targets) {
      if (signal.aborted) break;
      const said = await this.fetchResult(target, request, signal);
      if (said.result === LookUpResult.Ran) return said;
      if (said.result === LookUpResult.NotRun) denials += 1;
    }
    const isDenied = targets.length > 0 && denials === targets.length;
    return { result: isDenied ? LookUpResult.NotRun : LookUpResult.Silent };
  }

  private async fetchResult(
    target: string,
    request: IRoutedRequest,
    signal: AbortSignal,
  ): Promise<ITargetOutcome> {
    const { member, route } = request;
    const key = encodeURIComponent(request.idempotencyKey ?? '');
    try {
      const answer = await this.transport.send(
        {
          target,
          member,
          method: 'GET',
          path: route.lookUpPath.replace(KEY_PLACEHOLDER, () => key),
          headers: [['host', route.host]],
          body: new Uint8Array(),
          timeoutMs: this.timeoutMs,
        },
        { signal, maxResponseBytes: this.maxAnswerBytes, freshConnection: true },
      );
      return await this.readResult(answer);
    } catch {
      return { result: LookUpResult.Silent };
    }
  }

  private async readResult(answer: ITargetResponse): Promise<ITargetOutcome> {
    const { status, headers, notRun } = answer;
    const body = await readWholeBody(answer.body, this.maxAnswerBytes);
    // A target that sheds the look-up itself has said nothing about the key.
    if (notRun || body === undefined) return { result: LookUpResult.Silent };
    if (status === NOT_FOUND) return { result: LookUpResult.NotRun };
    if (status !== OK) return { result: LookUpResult.Silent };
    const whole = { status, headers, body, code: ResultCode.Ok, runState: RunState.Ran };
    return { result: LookUpResult.Ran, answer: whole };
  }
}
