/** Sends one request to one target, and counts the dispatches that may have been executed. */
import { InvariantName } from '@parsleymux/base';
import type { IHomeContext } from '../../home/common/homeOptions.js';
import type { ISlot } from '../../home/common/slotPool.js';
import { watchBodyEnd } from '../../request/common/responseBody.js';
import type { IRoutedRequest } from '../../request/common/request.js';
import type { ISendOptions, ITargetResponse } from '../../transport/common/targetTransport.js';
import type { AttemptOutcome } from './attemptOutcome.js';
import { isProvablyNotRun, toFailedAttempt } from './attemptOutcome.js';

/** A dispatch later than this after a target was known to be draining violates the invariant. */
const DRAINING_GRACE_MS = 3000;
const MIN_TIMEOUT_MS = 1;

/** Counts the dispatches of one request. */
export class DispatchCount {
  dispatched = 0;
  provablyNotRun = 0;

  /** True when some target may have executed the request. */
  hasPossiblyRun(): boolean {
    return this.dispatched > this.provablyNotRun;
  }
}

/** Parameters of one attempt. */
export interface IAttempt {
  readonly slot: ISlot;
  readonly request: IRoutedRequest;
  readonly signal: AbortSignal;
  readonly isFresh: boolean;
  readonly count: DispatchCount;
}

/** Runs attempts on behalf of one member. */
export class AttemptRunner {
  constructor(
    private readonly context: IHomeContext,
    private readonly member: string,
  ) {}

  /**
   * Resolves with the outcome. The slot is released when the response has been passed on
   * completely.
   */
  async run(attempt: IAttempt): Promise<AttemptOutcome> {
    const { slot, count } = attempt;
    const target = slot.handle.address;
    const state = { isDispatched: false };
    const onDispatch = () => {
      this.checkDispatch(attempt);
      state.isDispatched = true;
      count.dispatched += 1;
    };
    try {
      const response = await this.send(attempt, onDispatch);
      const outcome: AttemptOutcome = {
        kind: 'answered',
        target,
        response: releaseSlotAtEnd(response, slot),
      };
      if (state.isDispatched && isProvablyNotRun(outcome)) count.provablyNotRun += 1;
      return outcome;
    } catch (error) {
      slot.release();
      const outcome = toFailedAttempt(target, error);
      // A failure to connect proves nothing about an earlier dispatch of the same request.
      if (state.isDispatched && isProvablyNotRun(outcome)) count.provablyNotRun += 1;
      return outcome;
    }
  }

  private send(attempt: IAttempt, onDispatch: () => void): Promise<ITargetResponse> {
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
      maxResponseBytes: this.context.maxResponseBytes,
      streamLarge: attempt.request.route.streamLargeAnswers,
      onDispatch,
    };
  }

  /** Checks the invariants of every dispatch, immediately before the first byte may be sent. */
  private checkDispatch(attempt: IAttempt): void {
    const { request, slot, count } = attempt;
    const { invariants, clock } = this.context;
    invariants.check(
      InvariantName.AtMostOnce,
      request.route.idempotent || !count.hasPossiblyRun(),
      () => `${this.member}/${request.route.service}: second dispatch of one attempt`,
    );
    const drainingMs = slot.handle.getDrainingMs(clock.getWallTime(), clock.getMonotonicTime());
    invariants.check(
      InvariantName.DrainingTarget,
      drainingMs < DRAINING_GRACE_MS,
      () => `${this.member}/${request.route.service}: ${slot.handle.address} is draining`,
    );
  }
}

/** Releases the slot immediately for a complete response, or when a streamed one ends or breaks. */
function releaseSlotAtEnd(response: ITargetResponse, slot: ISlot): ITargetResponse {
  if (response.body instanceof Uint8Array) {
    slot.release();
    return response;
  }
  const body = watchBodyEnd(response.body, () => {
    slot.release();
  });
  return { ...response, body };
}
