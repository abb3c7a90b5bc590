/** What a home holds of one target: slots in use, concurrency limit, and standing. */
import type { Target } from '@parsleymux/schema';
import { TargetState } from '@parsleymux/schema';
import { isConfiguredServing } from '../../ledger/common/capacityFloor.js';

/** How a home treats a target. The names are those of the status report. */
export const Standing = {
  Serving: 'serving',
  /** Last choice: suspect, but ejecting it was not allowed. */
  Suspect: 'suspect',
  Ejected: 'ejected',
  /** Gets copies of idempotent requests only. */
  Trial: 'trial',
  /** Draining by its own word. */
  Draining: 'draining',
  /** Has just started or returned, and is given work gradually. */
  Cold: 'cold',
} as const;

export type Standing = (typeof Standing)[keyof typeof Standing];

const SHED_DECREASE = 0.75;
const MIN_LIMIT = 1;
/** Answers without a shed that earn back one slot, as a multiple of the limit. */
const INCREASE_PER_ROUND = 0.2;

/** A target as its home sees it. */
export class TargetHandle {
  target: Target;
  standing: Standing = Standing.Serving;
  /** Why it stands as it does, for the status report. */
  evidence = '';
  sinceMs: number;
  inUse = 0;
  /** Requests at once that the target takes without shedding. */
  limit: number;
  /** Factor below 1 while the target is warming up. */
  ramp = 1;
  /** This node can't reach it, though others can: given work only when there is no other target. */
  isCutOff = false;
  /** Silent a moment ago, and now tried on a fresh connection: the last choice until that ends. */
  isUnderCheck = false;
  /** When the configuration's drain was seen here, on the monotonic clock. */
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

  /** Requests that it may be given at once. */
  getAllowed(): number {
    return Math.max(MIN_LIMIT, Math.floor(Math.min(this.limit, this.target.slots) * this.ramp));
  }

  hasFreeSlot(): boolean {
    return this.inUse < this.getAllowed();
  }

  /** May be given a caller's request, if only as a last choice. */
  isUsable(wallTimeMs: number): boolean {
    if (!isConfiguredServing(this.target, wallTimeMs)) return false;
    return (
      this.standing === Standing.Serving ||
      this.standing === Standing.Cold ||
      this.standing === Standing.Suspect
    );
  }

  /**
   * For how long it is known here that the target gets no new work, in ms: by a plan's leaving
   * instant, a plan's drain or its own word. 0 while it may get some.
   */
  getLeavingMs(wallTimeMs: number, monotonicMs: number): number {
    const leaveAtMs = Number(this.target.leaveAtMs);
    const byPlan = leaveAtMs === 0 ? 0 : wallTimeMs - leaveAtMs;
    const byDrain = monotonicMs - (this.drainingSinceMs ?? monotonicMs);
    const byOwnWord = this.standing === Standing.Draining ? monotonicMs - this.sinceMs : 0;
    return Math.max(0, byPlan, byDrain, byOwnWord);
  }

  /** The target shed: its own limit is lower than its slots for now. */
  recordShed(): void {
    this.limit = Math.max(MIN_LIMIT, Math.min(this.limit, this.inUse) * SHED_DECREASE);
  }

  /** The target answered without shedding: the limit creeps back to its slots. */
  recordAccepted(): void {
    this.limit = Math.min(this.target.slots, this.limit + INCREASE_PER_ROUND / this.limit);
  }

  update(target: Target, nowMs: number): void {
    this.drainingSinceMs = isDraining(target) ? (this.drainingSinceMs ?? nowMs) : undefined;
    const isFull = this.limit >= this.target.slots;
    this.target = target;
    this.limit = isFull ? target.slots : Math.min(this.limit, target.slots);
  }

  setStanding(standing: Standing, evidence: string, nowMs: number): void {
    this.standing = standing;
    this.evidence = evidence;
    this.sinceMs = nowMs;
  }
}

function isDraining(target: Target): boolean {
  return target.state === TargetState.DRAINING;
}
