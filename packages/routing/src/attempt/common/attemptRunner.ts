/** Sends one request to one target, and keeps count of what may have been executed. */
import { InvariantName } from '@parsleymux/base';
import type { IHomeContext } from '../../home/common/homeOptions.js';
import type { ISlot } from '../../home/common/slotPool.js';
import { watchBodyEnd } from '../../request/common/answerBody.js';
import type { IRoutedRequest } from '../../request/common/request.js';
import type { ISendOptions, ITargetAnswer } from '../../transport/common/targetTransport.js';
import type { AttemptOutcome } from './attemptOutcome.js';
import { isProvablyNotRun, toFailedAttempt } from './attemptOutcome.js';

/** Work handed out this long after a target was known to be leaving is a broken promise. */
const LEAVING_GRACE_MS = 3000;
const MIN_TIMEOUT_MS = 1;

/** What was dispatched for one request so far. */
export class DispatchCount {
  dispatched = 0;
  provablyNotRun = 0;

  /** True when some target may have executed the request. */
  isMaybeRun(): boolean {
    return this.dispatched > this.provablyNotRun;
  }
}

/** One attempt. */
export interface IAttempt {
  readonly slot: ISlot;
  readonly request: IRoutedRequest;
  readonly signal: AbortSignal;
  readonly isFresh: boolean;
  readonly count: DispatchCount;
}

/** Runs attempts of one member. */
export class AttemptRunner {
  constructor(
    private readonly context: IHomeContext,
    private readonly member: string,
  ) {}

  /** Resolves with what came of it; the slot is given back when the answer has passed. */
  async run(attempt: IAttempt): Promise<AttemptOutcome> {
    const { slot, count } = attempt;
    const target = slot.handle.address;
    const mark = { isDispatched: false };
    const onDispatch = () => {
      this.checkDispatch(attempt);
      mark.isDispatched = true;
      count.dispatched += 1;
    };
    try {
      const answer = await this.send(attempt, onDispatch);
      const outcome: AttemptOutcome = {
        kind: 'answered',
        target,
        answer: reserveSlot(answer, slot),
      };
      if (mark.isDispatched && isProvablyNotRun(outcome)) count.provablyNotRun += 1;
      return outcome;
    } catch (error) {
      slot.release();
      const outcome = toFailedAttempt(target, error);
      // A failure to connect proves nothing of an earlier attempt that was dispatched.
      if (mark.isDispatched && isProvablyNotRun(outcome)) count.provablyNotRun += 1;
      return outcome;
    }
  }

  private send(attempt: IAttempt, onDispatch: () => void): Promise<ITargetAnswer> {
    const { request, slot } = attempt;
    const leftMs = request.deadlineMs - this.context.clock.getMonotonicTime();
    return this.context.transport.send(
      {
        target: slot.handle.address,
        member: this.member,
        method: request.method,
        path: request.path,
        headers: request.headers,
        body: request.body,
        timeoutMs: Math.max(MIN_TIMEOUT_MS, leftMs),
      },
      this.buildSendOptions(attempt, onDispatch),
    );
  }

  private buildSendOptions(attempt: IAttempt, onDispatch: () => void): ISendOptions {
    return {
      signal: attempt.signal,
      freshConnection: attempt.isFresh,
      maxAnswerBytes: this.context.maxResponseBytes,
      streamLarge: attempt.request.route.streamLargeAnswers,
      onDispatch,
    };
  }

  /** Asserts, at the last instant before a byte may leave, what must hold of every dispatch. */
  private checkDispatch(attempt: IAttempt): void {
    const { request, slot, count } = attempt;
    const { invariants, clock } = this.context;
    invariants.check(
      InvariantName.AtMostOnce,
      request.route.idempotent || !count.isMaybeRun(),
      () => `${this.member}/${request.route.service}: second dispatch of one attempt`,
    );
    const leavingMs = slot.handle.getLeavingMs(clock.getWallTime(), clock.getMonotonicTime());
    invariants.check(
      InvariantName.LeavingTarget,
      leavingMs < LEAVING_GRACE_MS,
      () => `${this.member}/${request.route.service}: ${slot.handle.address} has left`,
    );
  }
}

/** Gives the slot back at once for a whole answer, or when a streamed one has passed or broken. */
function reserveSlot(answer: ITargetAnswer, slot: ISlot): ITargetAnswer {
  if (answer.body instanceof Uint8Array) {
    slot.release();
    return answer;
  }
  const body = watchBodyEnd(answer.body, () => {
    slot.release();
  });
  return { ...answer, body };
}
