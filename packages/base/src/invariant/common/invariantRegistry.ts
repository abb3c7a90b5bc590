/**
 * Invariants that are checked in production as well as in tests. A violation is counted and
 * reported, and the process keeps running: exiting would turn a fault that affects one member
 * into an outage for all members. The count is a metric that must stay at zero.
 */
import { Emitter } from '../../event/common/event.js';

/** Names of the invariants in metrics and reports. */
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

/** One violation. `detail` contains internal state only, never the content of a request. */
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

  /** Records a check of `name`, and a violation when `holds` is false. Returns `holds`. */
  check(name: InvariantName, holds: boolean, describe: () => string): boolean {
    this.checks.set(name, (this.checks.get(name) ?? 0) + 1);
    if (holds) return true;
    this.violations.set(name, (this.violations.get(name) ?? 0) + 1);
    this.didViolate.fire({ name, detail: describe() });
    return false;
  }

  /** Returns how often `name` was checked. */
  getCheckCount(name: InvariantName): number {
    return this.checks.get(name) ?? 0;
  }

  /** Returns how often `name` was violated. */
  getViolationCount(name: InvariantName): number {
    return this.violations.get(name) ?? 0;
  }
}
