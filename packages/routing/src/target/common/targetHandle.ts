/**
 * The state that a home tracks of one target: slots in use, concurrency limit and health status.
 */
import type { Target } from '@parsleymux/schema';
import { TargetState } from '@parsleymux/schema';
import { isConfiguredServing } from '../../ledger/common/capacityFloor.js';

/** Health status of a target at its home. The values appear in the status report. */
export const HealthStatus = {
  Serving: 'serving',
  /** Suspected, but ejection was not allowed; used only as a last choice. */
  Suspect: 'suspect',
  Ejected: 'ejected',
  /** Receives copies of idempotent requests only. */
  Trial: 'trial',
  /** Reports that it is draining. */
  Draining: 'draining',
  /** Started or returned recently; its load is increased gradually. */
  Cold: 'cold',
} as const;

export type HealthStatus = (typeof HealthStatus)[keyof typeof HealthStatus];

const SHED_LIMIT_FACTOR = 0.75;
const MIN_LIMIT = 1;
/** Slots that the limit regains over as many responses without a shed as the limit has slots. */
const SLOTS_RECOVERED_PER_ROUND = 0.2;

/** One target at its home. */
export class TargetHandle {
  target: Target;
  standing: HealthStatus = HealthStatus.Serving;
  /** Reason for the health status, for the status report. */
  evidence = '';
  sinceMs: number;
  inUse = 0;
  /** Concurrent requests that the target accepts without shedding. */
  limit: number;
  /** Factor on the limit; below 1 while the target is warming up. */
  warmUpFactor = 1;
  /**
   * Unreachable from this node, though reachable from others; used only when there is no other
   * target.
   */
  isLocallyUnreachable = false;
  /**
   * Stopped responding and is being probed on a fresh connection; a last choice until the probe
   * ends.
   */
  isBeingProbed = false;
  /** When this node learned of the configured drain, on the monotonic clock in ms. */
  private drainingSinceMs: number | undefined;

  constructor(target: Target, sinceMs: number) {
    this.target = target;
    this.drainingSinceMs = isDraining(target) ? sinceMs : undefined;
    this.sinceMs = sinceMs;
    this.limit = target.slots;
  }

  get address(): string {
    return this.target.address;
  }

  /** Returns how many concurrent requests the target may receive. */
  getEffectiveLimit(): number {
    return Math.max(
      MIN_LIMIT,
      Math.floor(Math.min(this.limit, this.target.slots) * this.warmUpFactor),
    );
  }

  hasFreeSlot(): boolean {
    return this.inUse < this.getEffectiveLimit();
  }

  /** Whether the target may receive callers' requests, even if only as a last choice. */
  isUsable(wallTimeMs: number): boolean {
    if (!isConfiguredServing(this.target, wallTimeMs)) return false;
    return (
      this.standing === HealthStatus.Serving ||
      this.standing === HealthStatus.Cold ||
      this.standing === HealthStatus.Suspect
    );
  }

  /**
   * Returns for how long this node has known that the target must receive no new work, in ms: since
   * a planned removal time, a planned drain or its own report of draining. 0 while it may receive
   * work.
   */
  getDrainingMs(wallTimeMs: number, monotonicMs: number): number {
    const leaveAtMs = Number(this.target.leaveAtMs);
    const removedForMs = leaveAtMs === 0 ? 0 : wallTimeMs - leaveAtMs;
    const drainedForMs = monotonicMs - (this.drainingSinceMs ?? monotonicMs);
    const reportedForMs = this.standing === HealthStatus.Draining ? monotonicMs - this.sinceMs : 0;
    return Math.max(0, removedForMs, drainedForMs, reportedForMs);
  }

  /**
   * Lowers the limit after a shed: the target currently handles fewer requests than it has slots.
   */
  recordShed(): void {
    this.limit = Math.max(MIN_LIMIT, Math.min(this.limit, this.inUse) * SHED_LIMIT_FACTOR);
  }

  /** Raises the limit gradually towards the slots after a response without a shed. */
  recordAccepted(): void {
    this.limit = Math.min(this.target.slots, this.limit + SLOTS_RECOVERED_PER_ROUND / this.limit);
  }

  update(target: Target, nowMs: number): void {
    this.drainingSinceMs = isDraining(target) ? (this.drainingSinceMs ?? nowMs) : undefined;
    const isFull = this.limit >= this.target.slots;
    this.target = target;
    this.limit = isFull ? target.slots : Math.min(this.limit, target.slots);
  }

  setHealthStatus(standing: HealthStatus, evidence: string, nowMs: number): void {
    this.standing = standing;
    this.evidence = evidence;
    this.sinceMs = nowMs;
  }
}

function isDraining(target: Target): boolean {
  return target.state === TargetState.DRAINING;
}
