/** Target for tests that counts executions and simulates faults. */
import type { Clock } from '@parsleymux/base';
import { MuxError, ResultCode, RunState } from '@parsleymux/base';
import type { IResponse, IRoutedRequest } from '@parsleymux/routing';
import type { ITargetOutcome } from '../outcome/common/outcomeLookUp.js';
import { LookUpResult, OutcomeLookUp } from '../outcome/common/outcomeLookUp.js';
import type { ProcessGate } from './processGate.js';

/** Behavior of a target for one request. */
export const TargetBehavior = {
  Respond: 'respond',
  /** Executes without a response. */
  ExecuteWithoutResponse: 'execute-without-response',
  /** Executes after the home has timed out. */
  ExecuteLate: 'execute-late',
  /** Reports that it did not execute. */
  Shed: 'shed',
  /** Executes, and its response is truncated. */
  TruncateResponse: 'truncate-response',
  /** Executes, and its response exceeds the size limit. */
  RespondOversized: 'respond-oversized',
} as const;

export type TargetBehavior = (typeof TargetBehavior)[keyof typeof TargetBehavior];

/** An execution of a request. */
export interface IExecution {
  /** Caller of the request, which tests make unique. */
  readonly request: string;
  readonly startMs: number;
  readonly response: string;
}

const SERVICE_MS = 20;
const NO_RESPONSE_MS = 300;
const LATE_MS = 2000;
const OVERSIZED_BYTES = (1 << 20) + 1;

/** Simulates all targets of a service and the home, which checks the deadline. */
export class FakeTarget extends OutcomeLookUp {
  private readonly executions = new Map<string, IExecution[]>();

  constructor(private readonly clock: Clock) {
    super();
  }

  /** Returns the executions under the request's member and key. */
  getExecutions(request: IRoutedRequest): readonly IExecution[] {
    return this.executions.get(formatName(request)) ?? [];
  }

  /** Serves a request. `gate` may kill or pause the sending process before or after the dispatch. */
  async serve(
    request: IRoutedRequest,
    behavior: TargetBehavior,
    gate?: ProcessGate,
  ): Promise<IResponse> {
    await gate?.advance();
    if (this.clock.getMonotonicTime() >= request.deadlineMs) {
      throw makeError(ResultCode.QueueTimeout, RunState.NotRun);
    }
    await gate?.advance();
    if (behavior === TargetBehavior.Shed) throw makeError(ResultCode.TargetShed, RunState.NotRun);
    const response = this.executeWithBehavior(request, behavior);
    try {
      return await response;
    } finally {
      await gate?.advance();
    }
  }

  override lookUp(request: IRoutedRequest): Promise<ITargetOutcome> {
    const execution = this.getExecutions(request)[0];
    if (execution === undefined) return Promise.resolve({ result: LookUpResult.NotRun });
    const body = Buffer.from(execution.response);
    return Promise.resolve({ result: LookUpResult.Ran, response: { ...makeResponse(''), body } });
  }

  private async executeWithBehavior(
    request: IRoutedRequest,
    behavior: TargetBehavior,
  ): Promise<IResponse> {
    if (behavior === TargetBehavior.ExecuteLate) {
      this.clock.startTimer(LATE_MS, () => this.execute(request));
      await this.clock.sleep(NO_RESPONSE_MS);
      throw makeError(ResultCode.TargetTimeout, RunState.MayHaveRun);
    }
    const text = this.execute(request);
    await this.clock.sleep(
      behavior === TargetBehavior.ExecuteWithoutResponse ? NO_RESPONSE_MS : SERVICE_MS,
    );
    switch (behavior) {
      case TargetBehavior.ExecuteWithoutResponse:
        throw makeError(ResultCode.TargetTimeout, RunState.MayHaveRun);
      case TargetBehavior.TruncateResponse:
        return { ...makeResponse(text), body: streamHalf(text) };
      case TargetBehavior.RespondOversized:
        return { ...makeResponse(text), body: new Uint8Array(OVERSIZED_BYTES) };
      default:
        return makeResponse(text);
    }
  }

  private execute(request: IRoutedRequest): string {
    const name = formatName(request);
    const earlier = this.executions.get(name) ?? [];
    const response = `booked ${name} as ${earlier.length + 1} for ${request.caller}`;
    const startMs = this.clock.getMonotonicTime();
    this.executions.set(name, [...earlier, { request: request.caller, startMs, response }]);
    return response;
  }
}

/** Makes the response of a target that executed. */
export function makeResponse(text: string): IResponse {
  return {
    status: 201,
    headers: [['content-type', 'text/plain']],
    body: Buffer.from(text),
    code: ResultCode.Ok,
    runState: RunState.Ran,
  };
}

function formatName(request: IRoutedRequest): string {
  return `${request.member}/${request.idempotencyKey ?? ''}`;
}

function makeError(code: ResultCode, runState: RunState): MuxError {
  return new MuxError({ code, runState, message: 'simulated fault' });
}

async function* streamHalf(text: string): AsyncIterable<Uint8Array> {
  await Promise.resolve();
  yield Buffer.from(text.slice(0, text.length / 2));
  throw new Error('connection reset');
}
