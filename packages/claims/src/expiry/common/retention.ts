/**
 * Retention of claims. A key whose row has been removed looks new and would run again, so rows
 * outlive every retry that a caller may reasonably send. The retention counts from the last
 * change of the row, and rows with an unknown outcome are retained longer.
 */
import { MS_PER_DAY, MS_PER_HOUR, MS_PER_SECOND } from '@parsleymux/base';
import type { IClaim } from '../../claim/common/claim.js';
import { ClaimState } from '../../claim/common/claim.js';

/** Seven days, in s. */
export const DEFAULT_RETENTION_S = 604_800;
/** Unsettled claims are retained this many times as long: a late outcome is most valuable for them. */
const UNSETTLED_FACTOR = 4;
/**
 * Lower bound, whatever the settings. A write that is still in flight to the table, such as a
 * claim whose sender gave up, must find the row that it was meant for.
 */
const MIN_RETENTION_MS = MS_PER_HOUR;
/** An attempt may take minutes; its row must not be removed while it runs. */
const MIN_UNSETTLED_RETENTION_MS = MS_PER_DAY;
/** Share of the retention by which a key with a timestamp expires early, because clocks differ. */
const CLOCK_SKEW_SHARE = 0.05;

/**
 * Decides whether claims have expired and keys are too old.
 *
 * @example
 * const retention = new Retention(settings.timing.claimRetentionS);
 * if (retention.hasExpired(claim, clock.getWallTime())) await remove(row);
 */
export class Retention {
  /** Retention of a settled claim after its last change, in ms. */
  readonly retentionMs: number;
  /** Retention of a claim without outcome after its last change, in ms. */
  readonly unsettledRetentionMs: number;

  constructor(retentionS = DEFAULT_RETENTION_S) {
    this.retentionMs = Math.max(retentionS * MS_PER_SECOND, MIN_RETENTION_MS);
    this.unsettledRetentionMs = Math.max(
      this.retentionMs * UNSETTLED_FACTOR,
      MIN_UNSETTLED_RETENTION_MS,
    );
  }

  /** Whether the row may be removed at the wall time `nowMs`. */
  hasExpired(claim: IClaim, nowMs: number): boolean {
    return nowMs - claim.changedAtMs > this.getRetentionMs(claim);
  }

  /**
   * Whether a key created at the wall time `keyTimeMs` may have had a row that was removed since.
   * For a younger key, a missing row proves that the key has not run.
   */
  isKeyTooOld(keyTimeMs: number, nowMs: number): boolean {
    return nowMs - keyTimeMs > this.retentionMs * (1 - CLOCK_SKEW_SHARE);
  }

  private getRetentionMs(claim: IClaim): number {
    const isUnsettled = claim.state === ClaimState.Running || claim.state === ClaimState.Unknown;
    return isUnsettled ? this.unsettledRetentionMs : this.retentionMs;
  }
}
