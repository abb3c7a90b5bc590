/** The targets of one service at its home, with what is known of each. */
import type { Clock } from '@parsleymux/base';
import type { ITargetRecord } from '../../catalog/common/catalog.js';
import { isSameIncarnation } from '../../catalog/common/catalog.js';
import type { IGrantRequest } from '../../grants/common/grant.js';
import { BookedTarget } from './bookedTarget.js';
import type { FailureModel } from './failureModel.js';
import type { ITargetEvidence } from './targetBelief.js';
import type { IRateEvidence } from './targetRateLimit.js';

/** Targets that become known within this time of the home's start were there before, in ms. */
const SETTLING_MS = 2000;

/** What another home has granted a target. */
export interface IHomeGrants {
  /** Address of the home. */
  readonly home: string;
  readonly granted: number;
}

/** Options of {@link ServiceTargets}. */
export interface IServiceTargetsOptions {
  readonly clock: Clock;
  readonly model: FailureModel;
}

/**
 * @example
 * targets.set(records);
 * if (!targets.hasUsable(request)) refuse();
 */
export class ServiceTargets {
  private readonly targets = new Map<string, BookedTarget>();
  private readonly startMs: number;

  constructor(private readonly options: IServiceTargetsOptions) {
    this.startMs = options.clock.getMonotonicTime();
  }

  get size(): number {
    return this.targets.size;
  }

  list(): readonly BookedTarget[] {
    return [...this.targets.values()];
  }

  /**
   * Takes the current targets; those that stay keep what is known of them. One that started anew
   * under its identifier is another target: reports of what its former life was granted count for
   * that life, so they neither free slots of this one nor cast doubt on it.
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

  /** Takes what another home of the service believes of a target. */
  applyEvidence(targetId: string, bornMs: number | undefined, evidence: ITargetEvidence): void {
    this.find(targetId, bornMs)?.belief.applyEvidence(evidence);
  }

  /** Another home was told that a target leaves. */
  applyLeaving(targetId: string, bornMs: number | undefined): void {
    const target = this.find(targetId, bornMs);
    if (target !== undefined) target.isLeaving = true;
  }

  /** Takes what is known elsewhere of the limit that a target names. */
  applyLimit(targetId: string, bornMs: number | undefined, evidence: IRateEvidence): void {
    const nowMs = this.options.clock.getMonotonicTime();
    this.find(targetId, bornMs)?.rateLimit.apply(evidence, nowMs);
  }

  /** Another home has granted a target `granted` requests since it knows it. */
  recordGrantedElsewhere(
    targetId: string,
    bornMs: number | undefined,
    { granted, home }: IHomeGrants,
  ): void {
    const nowMs = this.options.clock.getMonotonicTime();
    this.find(targetId, bornMs)?.rateLimit.recordElsewhere(home, granted, nowMs);
  }

  /** Without one, waiting for a slot would only end the request's time. */
  hasUsable({ excluded }: IGrantRequest): boolean {
    return this.list().some(({ isReady, record }) => isReady && !excluded.includes(record.id));
  }

  private find(targetId: string, bornMs: number | undefined): BookedTarget | undefined {
    const target = this.targets.get(targetId);
    return target?.record.bornMs === bornMs ? target : undefined;
  }

  /** Targets that were there before this home are not new: trying each would cost requests. */
  private createTarget(record: ITargetRecord, nowMs: number): BookedTarget {
    const isNew = nowMs > this.startMs + SETTLING_MS;
    return new BookedTarget(record, this.options.model, nowMs, isNew);
  }
}
