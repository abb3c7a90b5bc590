/** Tells rejections that load explains from those of the whole service and those of single targets. */
import type { Clock } from '@parsleymux/base';
import type { TargetState } from '../../capacity/common/targetState.js';
import { GrantOutcome, hasCompleteResponse } from '../../grants/common/grant.js';
import type { IServiceRejections } from './serviceRejections.js';
import { ServiceRejections } from './serviceRejections.js';
import type { IConcurrency } from './targetRejections.js';
import { TargetRejections } from './targetRejections.js';

/** Grant pause after a rejection by a target with a single request in progress, in ms. */
const BUSY_MS = 100;

/** Causes of rejections. */
export const RejectionCause = {
  /** The target has too many requests in progress. */
  Load: 'load',
  /** All targets of the service reject requests. */
  Service: 'service',
  /** The target rejects requests that others accept. */
  Target: 'target',
} as const;

export type RejectionCause = (typeof RejectionCause)[keyof typeof RejectionCause];

/** Options of a {@link RejectionModel}. */
export interface IRejectionModelOptions {
  readonly clock: Clock;
  /** Called when the service enters or leaves the state in which it rejects regardless of load. */
  readonly onChange: (state: IServiceRejections) => void;
}

/**
 * Learns the accepted share of a service and of its targets from outcomes.
 *
 * @example
 * model.record(target, GrantOutcome.Shed);
 * model.isRejecting(); // whether the service rejects regardless of load
 */
export class RejectionModel {
  /** Rejections by cause since the start. */
  readonly counts: Record<RejectionCause, number> = { load: 0, service: 0, target: 0 };
  private readonly service = new ServiceRejections();
  private readonly targets = new Map<TargetState, TargetRejections>();

  constructor(private readonly options: IRejectionModelOptions) {}

  /** Whether the targets reject requests regardless of their load. */
  isRejecting(): boolean {
    return this.service.get().isRejecting;
  }

  /** Forgets targets that are no longer listed. */
  setTargets(targets: readonly TargetState[]): void {
    const listed = new Set(targets);
    for (const target of this.targets.keys()) if (!listed.has(target)) this.targets.delete(target);
  }

  /** Records an outcome after the target's slot was released, and acts on a rejection. */
  record(target: TargetState, outcome: GrantOutcome): void {
    if (!hasCompleteResponse(outcome)) return;
    const nowMs = this.options.clock.getMonotonicTime();
    const rejections = this.getTarget(target);
    const concurrency = { inUse: target.inUse + 1, slots: target.record.slots };
    if (outcome === GrantOutcome.Shed) {
      rejections.recordRejected(concurrency, this.service.getExpectedShare(), nowMs);
    } else rejections.recordAccepted(concurrency, nowMs);
    this.updateService(nowMs);
    if (outcome !== GrantOutcome.Shed) return;
    const cause = this.decideCause(rejections, concurrency, nowMs);
    this.counts[cause] += 1;
    applyCause(target, rejections, cause, nowMs);
  }

  private getTarget(target: TargetState): TargetRejections {
    const known = this.targets.get(target);
    if (known !== undefined) return known;
    const rejections = new TargetRejections();
    this.targets.set(target, rejections);
    return rejections;
  }

  private decideCause(
    rejections: TargetRejections,
    concurrency: IConcurrency,
    nowMs: number,
  ): RejectionCause {
    if (this.isRejecting()) {
      if (concurrency.inUse > 1 && rejections.isLimited(nowMs)) return RejectionCause.Load;
      return rejections.isOwnFault() ? RejectionCause.Target : RejectionCause.Service;
    }
    const isFull = concurrency.inUse >= concurrency.slots;
    const isLoad = isFull || rejections.hasAcceptedBelow(concurrency, nowMs);
    return isLoad ? RejectionCause.Load : RejectionCause.Target;
  }

  private updateService(nowMs: number): void {
    const wasRejecting = this.isRejecting();
    const counts = [...this.targets.values()].map((target) => target.counts);
    const state = this.service.update(counts, nowMs);
    if (state.isRejecting === wasRejecting) return;
    if (state.isRejecting) this.clearDoubts(nowMs);
    this.options.onChange(state);
  }

  /** Restores the health estimates and ends the pauses of targets that have only rejected requests. */
  private clearDoubts(nowMs: number): void {
    for (const [target, rejections] of this.targets) {
      const healthBefore = rejections.getHealthBefore(target.health);
      rejections.clearEvidence();
      target.busyUntilMs = 0;
      target.acceptedSlots.end();
      if (healthBefore === undefined) continue;
      target.health.applyEvidence({ suspicion: healthBefore.suspicion, updatedMs: nowMs });
    }
  }
}

function applyCause(
  target: TargetState,
  rejections: TargetRejections,
  cause: RejectionCause,
  nowMs: number,
): void {
  if (cause === RejectionCause.Service) return;
  if (cause === RejectionCause.Load && target.inUse > 0) {
    target.acceptedSlots.set(target.inUse, nowMs + rejections.takeLimitMs());
    return;
  }
  target.busyUntilMs = nowMs + BUSY_MS;
  if (cause === RejectionCause.Target) rejections.recordOwnFault(target.health, nowMs);
}
