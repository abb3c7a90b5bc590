/**
 * Invariants are checked in every run, not only in tests. A violation is counted and reported,
 * and the program goes on: a proxy that exits on a broken invariant would turn one member's
 * fault into everyone's outage. The count is a metric that must stay at zero.
 */
import { Emitter } from '../../event/common/event.js';

/** Names of the invariants, as they appear in metrics and reports. */
export const InvariantName = {
  CapacityFloor: 'capacity_floor',
  CompleteResponse: 'whole_answer',
  TruthfulRefusal: 'truthful_refusal',
  AtMostOnce: 'at_most_once',
  DrainingTarget: 'leaving_target',
  GracefulShutdown: 'graceful_shutdown',
  ConfigurationNeverReverts: 'configuration_never_reverts',
  MemberIsolation: 'member_isolation',
} as const;

export type InvariantName = (typeof InvariantName)[keyof typeof InvariantName];

/** One violation. `detail` names internal state only, never the content of a request. */
export interface IInvariantViolation {
  readonly name: InvariantName;
  readonly detail: string;
}

/**
 * Counts checks and violations of each invariant.
 *
 * @example
 * invariants.check(InvariantName.CapacityFloor, healthySlots >= floorSlots, () => `shard ${id}`);
 */
export class InvariantRegistry {
  private readonly checks = new Map<InvariantName, number>();
  private readonly violations = new Map<InvariantName, number>();
  private readonly didViolate = new Emitter<IInvariantViolation>();

  /** Fires on every violation. */
  readonly onDidViolate = this.didViolate.onDidFire;

  /** Records that `name` was checked, and a violation when `holds` is false. Returns `holds`. */
  check(name: InvariantName, holds: boolean, describe: () => string): boolean {
    this.checks.set(name, (this.checks.get(name) ?? 0) + 1);
    if (holds) return true;
    this.violations.set(name, (this.violations.get(name) ?? 0) + 1);
    this.didViolate.fire({ name, detail: describe() });
    return false;
  }

  /** Times that `name` was checked. */
  getCheckCount(name: InvariantName): number {
    return this.checks.get(name) ?? 0;
  }

  /** Times that `name` did not hold. */
  getViolationCount(name: InvariantName): number {
    return this.violations.get(name) ?? 0;
  }
}
