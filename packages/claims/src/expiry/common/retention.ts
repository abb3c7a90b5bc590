/**
 * How long claims are kept. A key whose row has been removed is new to the fleet and would run
 * again, so rows outlive every retry that a caller may reasonably send: the retention counts
 * from the last change of the row, and rows whose outcome nobody knows are kept longer still.
 */
import { MS_PER_DAY, MS_PER_HOUR, MS_PER_SECOND } from '@parsleymux/base';
import type { IClaim } from '../../claim/common/claim.js';
import { ClaimState } from '../../claim/common/claim.js';

/** Seven days, in s. */
export const DEFAULT_RETENTION_S = 604_800;
/** Unsettled claims are kept this many times as long: a late answer to them is worth most. */
const UNSETTLED_FACTOR = 4;
/**
 * Whatever the settings say, nothing goes sooner. A write that is still on its way to the table,
 * such as a claim whose sender gave up, must find the row that it was meant for.
 */
const MIN_RETENTION_MS = MS_PER_HOUR;
/** An attempt may take minutes; its row must never go while it runs. */
const MIN_UNSETTLED_RETENTION_MS = MS_PER_DAY;
/** Clocks of callers and nodes differ; a dated key is refused this share of its time early. */
const CLOCK_SKEW_SHARE = 0.05;

/**
 * Decides on the age of claims and of keys.
 *
 * @example
 * const retention = new Retention(settings.timing.claimRetentionS);
 * if (retention.hasExpired(claim, clock.getWallTime())) await remove(row);
 */
export class Retention {
  /** Time that a settled claim is kept after its last change, in ms. */
  readonly retentionMs: number;
  /** Time that a claim without outcome is kept, in ms. */
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
   * Whether a key made at the wall time `keyTimeMs` may have had a row that is gone by now.
   * While it is younger, a missing row proves that the key has not run.
   */
  isKeyTooOld(keyTimeMs: number, nowMs: number): boolean {
    return nowMs - keyTimeMs > this.retentionMs * (1 - CLOCK_SKEW_SHARE);
  }

  private getRetentionMs(claim: IClaim): number {
    const isUnsettled = claim.state === ClaimState.Running || claim.state === ClaimState.Unknown;
    return isUnsettled ? this.unsettledRetentionMs : this.retentionMs;
  }
}
