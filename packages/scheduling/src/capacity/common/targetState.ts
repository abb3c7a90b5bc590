/** What the home of a service tracks of one target: its health estimate, its slots in use and its limits. */
import { MS_PER_SECOND } from '@parsleymux/base';
import type { ITargetRecord } from '../../catalog/common/catalog.js';
import type { FailureModel } from '../../health/common/failureModel.js';
import { TargetHealthEstimate } from '../../health/common/targetHealthEstimate.js';
import { AcceptedSlots } from './acceptedSlots.js';
import { TargetRateLimit } from './targetRateLimit.js';
import type { TargetSpeed } from './targetSpeed.js';

/** Window within which reports of failed connections are combined, in ms. */
const UNREACHABLE_WINDOW_MS = 2000;
/** A single reporter may have lost its own network path; two are evidence against the target. */
const MIN_UNREACHABLE_REPORTERS = 2;

/** The record of a target and its state at the home. */
export class TargetState {
  readonly health: TargetHealthEstimate;
  readonly rateLimit = new TargetRateLimit();
  /** Limit of concurrent requests, learned from its rejections. */
  readonly acceptedSlots = new AcceptedSlots();
  /** Its learned speed; undefined if speeds are not learned. */
  speed: TargetSpeed | undefined;
  /** Number of slots in use. */
  inUse = 0;
  /** Number of requests granted since the home learned of the target. */
  granted = 0;
  lastGrantMs: number | undefined;
  /** No grants before this time, because the target rejected a request as overloaded. */
  busyUntilMs = 0;
  /** Whether another target responded at its address. */
  isReplaced = false;
  /** Whether a response reported that the target is draining, regardless of the target list. */
  hasReportedDraining = false;
  private readonly unreachableFrom = new Map<string, number>();

  constructor(
    public record: ITargetRecord,
    model: FailureModel,
    readonly joinedMs: number,
    /** Whether it registered after the home had started, so that no request may have used it yet. */
    readonly isNew: boolean,
  ) {
    this.health = new TargetHealthEstimate(model, joinedMs);
  }

  /** Whether requests may be granted to it. */
  get isReady(): boolean {
    return !this.record.isDraining && !this.isReplaced && !this.hasReportedDraining;
  }

  hasFreeSlot(nowMs: number): boolean {
    const hasSlot = this.inUse < this.countSlots(nowMs) && nowMs >= this.busyUntilMs;
    const isAccepted = this.inUse < this.acceptedSlots.get(nowMs);
    return hasSlot && isAccepted && this.rateLimit.isOpen(nowMs);
  }

  /**
   * Slots that can be in use together if a request takes `processingMs`: a rate limit leaves some idle, and
   * so does a limit of concurrent requests.
   */
  countUsableSlots(processingMs: number, nowMs: number): number {
    const { grantsPerS } = this.rateLimit;
    const slots = Math.min(this.countSlots(nowMs), this.acceptedSlots.get(nowMs));
    return Math.min(slots, (grantsPerS * processingMs) / MS_PER_SECOND);
  }

  /** Slots up to the concurrency beyond which the target only gets slower. */
  private countSlots(nowMs: number): number {
    const { slots } = this.record;
    return this.speed?.getConcurrencyLimit(slots, nowMs) ?? slots;
  }

  isCold(nowMs: number): boolean {
    return nowMs < this.joinedMs + this.record.coldMs;
  }

  /**
   * Records that a node could not connect. The fault may lie on the path of that node, and ejecting
   * the target would then remove it for all other nodes. It counts as a failure of the target only
   * if several nodes report it and no request has succeeded since.
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
