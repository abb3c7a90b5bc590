/** One target as the home of its service keeps it: its health, and who uses its slots. */
import { MS_PER_SECOND } from '@parsleymux/base';
import type { ITargetRecord } from '../../catalog/common/catalog.js';
import type { FailureModel } from './failureModel.js';
import { TargetHealthEstimate } from './targetHealthEstimate.js';
import { TargetRateLimit } from './targetRateLimit.js';

/** Reports of nodes that could not connect are put together over this time, in ms. */
const UNREACHABLE_WINDOW_MS = 2000;
/** One node alone may have lost its own path; two blame the target. */
const MIN_UNREACHABLE_REPORTERS = 2;

/** A target and its bookkeeping. */
export class TargetState {
  readonly health: TargetHealthEstimate;
  readonly rateLimit = new TargetRateLimit();
  /** Requests that hold a slot. */
  inUse = 0;
  /** Requests that were ever granted this target. */
  granted = 0;
  lastGrantMs: number | undefined;
  /** Not to be granted before: it said that it was full. */
  busyUntilMs = 0;
  /** Another target answered at its address. */
  isReplaced = false;
  /** It said in an answer that it leaves, whatever the list of targets says. */
  hasReportedDraining = false;
  private readonly unreachableFrom = new Map<string, number>();

  constructor(
    public record: ITargetRecord,
    model: FailureModel,
    readonly joinedMs: number,
    /** Whether it registered while the home was at work, and no request has tried it yet. */
    readonly isNew: boolean,
  ) {
    this.health = new TargetHealthEstimate(model, joinedMs);
  }

  /** Whether it may be given work at all. */
  get isReady(): boolean {
    return !this.record.isDraining && !this.isReplaced && !this.hasReportedDraining;
  }

  hasFreeSlot(nowMs: number): boolean {
    const hasSlot = this.inUse < this.record.slots && nowMs >= this.busyUntilMs;
    return hasSlot && this.rateLimit.isOpen(nowMs);
  }

  /** Slots that are in use at most, where work takes `processingMs`: a named limit leaves some empty. */
  countUsableSlots(processingMs: number): number {
    const { grantsPerS } = this.rateLimit;
    return Math.min(this.record.slots, (grantsPerS * processingMs) / MS_PER_SECOND);
  }

  isCold(nowMs: number): boolean {
    return nowMs < this.joinedMs + this.record.coldMs;
  }

  /**
   * A node could not connect. A cut between that node and the target says nothing of the target,
   * and ejecting it for one node's path would take it from all others; so it counts as a failure
   * of the target only when several nodes say so and none has succeeded meanwhile.
   */
  recordUnreachable(node: string, nowMs: number): void {
    this.unreachableFrom.set(node, nowMs);
    for (const [other, atMs] of this.unreachableFrom) {
      const isOld = atMs < nowMs - UNREACHABLE_WINDOW_MS;
      const isRefuted = atMs < (this.health.lastSuccessMs ?? -Infinity);
      if (isOld || isRefuted) this.unreachableFrom.delete(other);
    }
    if (this.unreachableFrom.size < MIN_UNREACHABLE_REPORTERS) return;
    this.unreachableFrom.clear();
    this.health.recordFailure(nowMs);
  }
}
