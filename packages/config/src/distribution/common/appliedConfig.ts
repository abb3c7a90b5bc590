/** The configuration that a node has applied. It never reverts to an older revision. */
import type { InvariantRegistry } from '@parsleymux/base';
import { InvariantName } from '@parsleymux/base';
import type { MemberConfig } from '@parsleymux/schema';
import type { IFleetConfig } from '../../fleetConfig/common/fleetConfig.js';
import type { IConfigSnapshot } from './configPeer.js';

/**
 * Applies snapshots and drops member configurations that are older than the applied ones.
 *
 * @example
 * const changed = applied.apply({ fleetRevision: 7, members: [config] });
 */
export class AppliedConfig {
  private current: IFleetConfig = { fleetRevision: 0, members: new Map() };
  private droppedCount = 0;

  constructor(private readonly invariants: InvariantRegistry) {}

  /** Returns the applied configuration. */
  getCurrent(): IFleetConfig {
    return this.current;
  }

  /** Number of revisions and member configurations dropped because a newer one was applied. */
  getDroppedCount(): number {
    return this.droppedCount;
  }

  /** Applies a snapshot and returns the members whose configuration was replaced. */
  apply(snapshot: IConfigSnapshot): readonly string[] {
    const before = this.current;
    const members = new Map(before.members);
    const changed: string[] = [];
    for (const config of snapshot.members) {
      const known = members.get(config.member);
      if (!this.isNewer(config, known)) continue;
      members.set(config.member, config);
      changed.push(config.member);
    }
    const fleetRevision = this.chooseRevision(before.fleetRevision, snapshot.fleetRevision);
    this.current = { fleetRevision, members };
    this.checkInvariant(before);
    return changed;
  }

  /** Counts a received revision that is older than the applied one. */
  recordDropped(): void {
    this.droppedCount += 1;
  }

  /**
   * A store restored from an older copy and a peer that was paused can both offer outdated
   * configurations. Without this check, routes and targets that an operator has removed would
   * be in force again.
   */
  protected isNewer(config: MemberConfig, known: MemberConfig | undefined): boolean {
    if (known === undefined || config.memberRevision > known.memberRevision) return true;
    if (config.memberRevision < known.memberRevision) this.droppedCount += 1;
    return false;
  }

  /** Chooses the higher revision, for the same reason. */
  protected chooseRevision(current: number, offered: number): number {
    if (offered < current) this.droppedCount += 1;
    return Math.max(current, offered);
  }

  private checkInvariant(before: IFleetConfig): void {
    const after = this.current;
    const isForward =
      after.fleetRevision >= before.fleetRevision &&
      [...before.members].every(([member, config]) => {
        return (after.members.get(member)?.memberRevision ?? -1n) >= config.memberRevision;
      });
    this.invariants.check(InvariantName.ConfigurationNeverReverts, isForward, () => {
      return `fleet revision ${before.fleetRevision} to ${after.fleetRevision}`;
    });
  }
}
