/** Ejection times that double while a target flaps. */

const MAX_EJECTION_MS = 300_000;
/** A target that served this long without a relapse starts afresh. */
const RESET_AFTER_MS = 300_000;

/** The ejection times of one target. */
export class EjectionBackoff {
  private ejections = 0;
  private lastReturnMs = -Infinity;

  constructor(private readonly firstMs: number) {}

  /** Time that an ejection beginning now is to last, in ms. */
  takeNextDuration(nowMs: number): number {
    if (nowMs - this.lastReturnMs > RESET_AFTER_MS) this.ejections = 0;
    const durationMs = Math.min(MAX_EJECTION_MS, this.firstMs * 2 ** this.ejections);
    this.ejections += 1;
    return durationMs;
  }

  /** The target serves again. */
  recordReturn(nowMs: number): void {
    this.lastReturnMs = nowMs;
  }
}
