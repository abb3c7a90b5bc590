/** Sends what a follower receives from other failure domains on to its own. */
import type { Clock, IDisposable } from '@parsleymux/base';
import type { FollowedTable } from './followedTable.js';

/** How long changes are sent on after an update from another failure domain, in ms. */
const FORWARDING_MS = 3000;
/** Changes within this time, in ms, are sent on together. */
const FORWARDING_DELAY_MS = 10;

/** Options of a {@link DomainForwarder}. */
export interface IDomainForwarderOptions {
  readonly clock: Clock;
  readonly tables: readonly FollowedTable<unknown>[];
  /** Whether this node currently sends updates to its failure domain. */
  readonly isFollower: () => boolean;
  /** Lists the addresses of the other nodes of this failure domain. */
  readonly listPeers: () => readonly string[];
  /** Sends the current state of the tables to them. */
  readonly announce: () => void;
}

/**
 * While no node of a failure domain reaches the store, only its follower has to request updates from others.
 *
 * @example
 * forwarder.recordUpdate(sender);
 */
export class DomainForwarder implements IDisposable {
  private untilMs = -Infinity;
  private timer: IDisposable | undefined;
  private readonly subscriptions: readonly IDisposable[];

  constructor(private readonly options: IDomainForwarderOptions) {
    this.subscriptions = options.tables.map((table) =>
      table.onDidChange(() => {
        this.forward();
      }),
    );
  }

  /** Records that an update was received from a node. */
  recordUpdate(sender: string): void {
    const { clock, isFollower, listPeers } = this.options;
    if (!isFollower() || listPeers().includes(sender)) return;
    this.untilMs = clock.getMonotonicTime() + FORWARDING_MS;
    this.forward();
  }

  dispose(): void {
    for (const subscription of this.subscriptions) void subscription.dispose();
    void this.timer?.dispose();
  }

  private forward(): void {
    const { announce, clock, isFollower } = this.options;
    if (clock.getMonotonicTime() >= this.untilMs || !isFollower()) return;
    this.timer ??= clock.startTimer(FORWARDING_DELAY_MS, () => {
      this.timer = undefined;
      announce();
    });
  }
}
