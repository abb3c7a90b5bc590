/** The configuration that a node has applied, which only ever moves forward. */
import type { InvariantRegistry } from '@parsleymux/base';
import { InvariantName } from '@parsleymux/base';
import type { MemberConfig } from '@parsleymux/schema';
import type { IFleetConfig } from '../../fleetConfig/common/fleetConfig.js';
import type { IConfigSnapshot } from './configPeer.js';

/**
 * Applies snapshots, dropping what is older than what is applied already.
 *
 * @example
 * const changed = applied.apply({ fleetRevision: 7, members: [config] });
 */
export class AppliedConfig {
  private current: IFleetConfig = { fleetRevision: 0, members: new Map() };
  private droppedCount = 0;

  constructor(private readonly invariants: InvariantRegistry) {}

  /** What is applied. */
  getCurrent(): IFleetConfig {
    return this.current;
  }

  /** Snapshots and member configurations that were older than what was applied. */
  getDroppedCount(): number {
    return this.droppedCount;
  }

  /** Returns the members whose configuration was replaced. */
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

  /** Counts a revision that was heard of and is older than the one applied. */
  recordDropped(): void {
    this.droppedCount += 1;
  }

  /**
   * A store that restarted from a lagging copy and a peer that was paused both offer old
   * configurations in good faith. Without this check routes and targets would come back that
   * an operator has removed.
   */
  protected isNewer(config: MemberConfig, known: MemberConfig | undefined): boolean {
    if (known === undefined || config.memberRevision > known.memberRevision) return true;
    if (config.memberRevision < known.memberRevision) this.droppedCount += 1;
    return false;
  }

  /** The higher of both, for the same reason. */
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
