/** Exponential backoff of the ejection time of a target that fails repeatedly. */

const MAX_EJECTION_MS = 300_000;
/** The backoff is reset after the target served this long without a relapse, in ms. */
const RESET_AFTER_MS = 300_000;

/** Ejection times of one target. */
export class EjectionBackoff {
  private ejections = 0;
  private lastReturnMs = -Infinity;

  constructor(private readonly firstMs: number) {}

  /** Returns the duration of an ejection that begins now, in ms, and doubles the next one. */
  takeNextDuration(nowMs: number): number {
    if (nowMs - this.lastReturnMs > RESET_AFTER_MS) this.ejections = 0;
    const durationMs = Math.min(MAX_EJECTION_MS, this.firstMs * 2 ** this.ejections);
    this.ejections += 1;
    return durationMs;
  }

  /** Records that the target serves again. */
  recordReturn(nowMs: number): void {
    this.lastReturnMs = nowMs;
  }
}
