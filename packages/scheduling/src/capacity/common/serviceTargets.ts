/** The targets of one service at its home, with the state of each. */
import type { Clock } from '@parsleymux/base';
import type { ITargetRecord } from '../../catalog/common/catalog.js';
import { isSameIncarnation } from '../../catalog/common/catalog.js';
import type { IGrantRequest } from '../../grants/common/grant.js';
import { TargetState } from './targetState.js';
import type { TargetSpeed } from './targetSpeed.js';
import type { FailureModel } from '../../health/common/failureModel.js';
import type { IHealthEvidence } from '../../health/common/targetHealthEstimate.js';
import type { IRateEvidence } from './targetRateLimit.js';

/** Targets learned of within this time after the home's start are not considered new, in ms. */
const INITIAL_TARGETS_MS = 2000;

/** Requests to a target that another home has granted. */
export interface IPeerGrants {
  /** Address of the home. */
  readonly home: string;
  readonly granted: number;
}

/** Options of {@link ServiceTargets}. */
export interface IServiceTargetsOptions {
  readonly clock: Clock;
  readonly model: FailureModel;
  /** Creates the speed of a new target. Default: speeds are not learned. */
  readonly createSpeed?: (() => TargetSpeed) | undefined;
}

/**
 * Holds the state of each registered target of one service.
 *
 * @example
 * targets.set(records);
 * if (!targets.hasUsable(request)) refuse();
 */
export class ServiceTargets {
  private readonly targets = new Map<string, TargetState>();
  private readonly startMs: number;

  constructor(private readonly options: IServiceTargetsOptions) {
    this.startMs = options.clock.getMonotonicTime();
  }

  get size(): number {
    return this.targets.size;
  }

  list(): readonly TargetState[] {
    return [...this.targets.values()];
  }

  /**
   * Replaces the list of targets; remaining targets keep their state. A target that restarted under
   * the same identifier is a new target: reports for its previous incarnation apply to that
   * incarnation only, so they neither release slots of the new one nor make it suspected.
   */
  set(records: readonly ITargetRecord[]): void {
    const ids = new Set(records.map(({ id }) => id));
    for (const id of this.targets.keys()) if (!ids.has(id)) this.targets.delete(id);
    const nowMs = this.options.clock.getMonotonicTime();
    for (const record of records) {
      const known = this.targets.get(record.id);
      if (known !== undefined && isSameIncarnation(known.record, record)) known.record = record;
      else this.targets.set(record.id, this.createTarget(record, nowMs));
    }
  }

  /** Applies the health estimate that another home of the service has of a target. */
  applyEvidence(targetId: string, bornMs: number | undefined, evidence: IHealthEvidence): void {
    this.find(targetId, bornMs)?.health.applyEvidence(evidence);
  }

  /** Records that a target has reported to another home that it is draining. */
  applyDraining(targetId: string, bornMs: number | undefined): void {
    const target = this.find(targetId, bornMs);
    if (target !== undefined) target.hasReportedDraining = true;
  }

  /** Applies evidence of a rate limit that another node received from a target. */
  applyLimit(targetId: string, bornMs: number | undefined, evidence: IRateEvidence): void {
    const nowMs = this.options.clock.getMonotonicTime();
    this.find(targetId, bornMs)?.rateLimit.apply(evidence, nowMs);
  }

  /** Records that another home has granted a target `granted` requests since it learned of it. */
  recordPeerGrants(
    targetId: string,
    bornMs: number | undefined,
    { granted, home }: IPeerGrants,
  ): void {
    const nowMs = this.options.clock.getMonotonicTime();
    this.find(targetId, bornMs)?.rateLimit.recordPeerGrants(home, granted, nowMs);
  }

  /** Whether any target may receive the request; without one it would wait until its deadline. */
  hasUsable({ excluded }: IGrantRequest): boolean {
    return this.list().some(({ isReady, record }) => isReady && !excluded.includes(record.id));
  }

  private find(targetId: string, bornMs: number | undefined): TargetState | undefined {
    const target = this.targets.get(targetId);
    return target?.record.bornMs === bornMs ? target : undefined;
  }

  /** Targets registered before the home started are not new: probing each of them would cost requests. */
  private createTarget(record: ITargetRecord, nowMs: number): TargetState {
    const isNew = nowMs > this.startMs + INITIAL_TARGETS_MS;
    const target = new TargetState(record, this.options.model, nowMs, isNew);
    target.speed = this.options.createSpeed?.();
    return target;
  }
}
