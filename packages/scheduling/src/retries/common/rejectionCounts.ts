/** The latest outcomes of one target: accepted or rejected. */

/** Number of outcomes that are kept: few, so that a change of the service shows at once. */
const OUTCOMES = 4;
/** Age up to which an outcome counts, in ms. */
export const REJECTIONS_WINDOW_MS = 2000;

interface IOutcome {
  readonly isRejected: boolean;
  readonly atMs: number;
}

/**
 * Keeps a number of outcomes rather than those of a short time, so that services with few requests are
 * judged on as many as others.
 *
 * @example
 * counts.add(true, now);
 * counts.get(now); // { rejected: 1, requests: 1 }
 */
export class RejectionCounts {
  private outcomes: readonly IOutcome[] = [];

  add(isRejected: boolean, nowMs: number): void {
    this.outcomes = [...this.outcomes.slice(1 - OUTCOMES), { isRejected, atMs: nowMs }];
  }

  get(nowMs: number): { readonly rejected: number; readonly requests: number } {
    let rejected = 0;
    let requests = 0;
    for (const { atMs, isRejected } of this.outcomes) {
      if (atMs < nowMs - REJECTIONS_WINDOW_MS) continue;
      requests += 1;
      if (isRejected) rejected += 1;
    }
    return { rejected, requests };
  }
}
