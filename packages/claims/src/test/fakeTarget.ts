/** A target that counts executions and misbehaves as told. For tests. */
import type { Clock } from '@parsleymux/base';
import { MuxError, ResultCode, RunState } from '@parsleymux/base';
import type { IResponse, IRoutedRequest } from '@parsleymux/routing';
import type { ITargetOutcome } from '../outcome/common/outcomeLookUp.js';
import { LookUpResult, OutcomeLookUp } from '../outcome/common/outcomeLookUp.js';
import type { ProcessGate } from './processGate.js';

/** What a target does with one request. */
export const TargetBehavior = {
  Answer: 'answer',
  /** Executes, and is not heard of again. */
  FallSilent: 'fall-silent',
  /** Executes only after the home gave up. */
  ExecuteLate: 'execute-late',
  /** Says that it did not execute. */
  Shed: 'shed',
  /** Executes, and its answer breaks off. */
  BreakOff: 'break-off',
  /** Executes, with an answer above every limit. */
  AnswerHuge: 'answer-huge',
} as const;

export type TargetBehavior = (typeof TargetBehavior)[keyof typeof TargetBehavior];

/** One execution. */
export interface IExecution {
  /** The request's caller, which tests make unique. */
  readonly request: string;
  readonly startMs: number;
  readonly answer: string;
}

const SERVICE_MS = 20;
const SILENCE_MS = 300;
const LATE_MS = 2000;
const HUGE_BYTES = (1 << 20) + 1;

/** All targets of a service with the home before them, which checks the deadline. */
export class FakeTarget extends OutcomeLookUp {
  private readonly executions = new Map<string, IExecution[]>();

  constructor(private readonly clock: Clock) {
    super();
  }

  /** Executions under a member's key. */
  getExecutions(request: IRoutedRequest): readonly IExecution[] {
    return this.executions.get(formatName(request)) ?? [];
  }

  /** Sends from a process that may be killed or paused on either side of the dispatch. */
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
    const answer = this.executeAs(request, behavior);
    try {
      return await answer;
    } finally {
      await gate?.advance();
    }
  }

  override lookUp(request: IRoutedRequest): Promise<ITargetOutcome> {
    const execution = this.getExecutions(request)[0];
    if (execution === undefined) return Promise.resolve({ result: LookUpResult.NotRun });
    const body = Buffer.from(execution.answer);
    return Promise.resolve({ result: LookUpResult.Ran, answer: { ...makeAnswer(''), body } });
  }

  private async executeAs(request: IRoutedRequest, behavior: TargetBehavior): Promise<IResponse> {
    if (behavior === TargetBehavior.ExecuteLate) {
      this.clock.startTimer(LATE_MS, () => this.execute(request));
      await this.clock.sleep(SILENCE_MS);
      throw makeError(ResultCode.TargetTimeout, RunState.MayHaveRun);
    }
    const text = this.execute(request);
    await this.clock.sleep(behavior === TargetBehavior.FallSilent ? SILENCE_MS : SERVICE_MS);
    switch (behavior) {
      case TargetBehavior.FallSilent:
        throw makeError(ResultCode.TargetTimeout, RunState.MayHaveRun);
      case TargetBehavior.BreakOff:
        return { ...makeAnswer(text), body: streamHalf(text) };
      case TargetBehavior.AnswerHuge:
        return { ...makeAnswer(text), body: new Uint8Array(HUGE_BYTES) };
      default:
        return makeAnswer(text);
    }
  }

  private execute(request: IRoutedRequest): string {
    const name = formatName(request);
    const earlier = this.executions.get(name) ?? [];
    const answer = `booked ${name} as ${earlier.length + 1} for ${request.caller}`;
    const startMs = this.clock.getMonotonicTime();
    this.executions.set(name, [...earlier, { request: request.caller, startMs, answer }]);
    return answer;
  }
}

/** An answer of a target that executed. */
export function makeAnswer(text: string): IResponse {
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
  return new MuxError({ code, runState, message: 'fake target' });
}

async function* streamHalf(text: string): AsyncIterable<Uint8Array> {
  await Promise.resolve();
  yield Buffer.from(text.slice(0, text.length / 2));
  throw new Error('connection reset');
}
