/**
 * Hedged attempts: when the first is overdue, a second runs in parallel; the first success wins.
 */
import type { Clock } from '@parsleymux/base';
import type { AttemptOutcome } from './attemptOutcome.js';
import { discardOutcome, isSuccessful } from './attemptOutcome.js';

/** An attempt in progress. */
export interface IRunningAttempt {
  readonly outcome: Promise<AttemptOutcome>;
  cancel(): void;
}

/** Options of {@link runHedged}. */
export interface IHedgeOptions {
  readonly clock: Clock;
  readonly first: IRunningAttempt;
  /** Time after which the first attempt is overdue, in ms; undefined disables hedging. */
  readonly hedgeDelayMs: number | undefined;
  /**
   * Called when the first attempt is overdue; returns the second one, or undefined to start none.
   */
  onOverdue(): IRunningAttempt | undefined;
}

/** Resolves with the first successful outcome, or with the last one when none succeeds. */
export function runHedged(options: IHedgeOptions): Promise<AttemptOutcome> {
  const { clock, first, hedgeDelayMs } = options;
  if (hedgeDelayMs === undefined) return first.outcome;
  return new Promise((resolve) => {
    let running = 1;
    let isSettled = false;
    let second: IRunningAttempt | undefined;
    const settle = (outcome: AttemptOutcome, other: IRunningAttempt | undefined) => {
      running -= 1;
      if (isSettled || (running > 0 && !isSuccessful(outcome))) {
        discardOutcome(outcome);
        return;
      }
      isSettled = true;
      void timer.dispose();
      if (running > 0) other?.cancel();
      resolve(outcome);
    };
    const timer = clock.startTimer(hedgeDelayMs, () => {
      second = options.onOverdue();
      if (second === undefined) return;
      running += 1;
      void second.outcome.then((outcome) => {
        settle(outcome, first);
      });
    });
    void first.outcome.then((outcome) => {
      settle(outcome, second);
    });
  });
}
