/** One of several concurrent attempts of a request. */
import { JoinedSignal } from '@parsleymux/base';
import type { GrantOutcome, IReportedResponse } from '@parsleymux/scheduling';
import type { IGrant } from '../../grants/common/targetSelector.js';

/**
 * Can be cancelled without cancelling the request.
 *
 * @example
 * const attempt = new CancellableAttempt(requestSignal);
 * attempt.cancel(GrantOutcome.Abandoned);
 */
export class CancellableAttempt {
  private isDone = false;
  /** The outcome to report to the home if the attempt was cancelled. */
  cancelOutcome: GrantOutcome | undefined;
  private readonly controller = new AbortController();
  private readonly joined: JoinedSignal;

  private isReported = false;

  constructor(
    requestSignal: AbortSignal,
    private readonly grant?: IGrant,
  ) {
    this.joined = new JoinedSignal([requestSignal, this.controller.signal]);
  }

  get signal(): AbortSignal {
    return this.joined.signal;
  }

  hasEnded(): boolean {
    return this.isDone;
  }

  end(): void {
    this.isDone = true;
    this.joined.dispose();
  }

  /** Reports the outcome to the home; only the first report counts. */
  settleGrant(outcome: GrantOutcome, latencyMs: number, response?: IReportedResponse): void {
    if (this.isReported) return;
    this.isReported = true;
    this.grant?.report(outcome, latencyMs, response);
  }

  cancel(outcome: GrantOutcome): void {
    if (this.isDone) return;
    this.cancelOutcome = outcome;
    this.controller.abort();
  }
}
