/** Selects the peers through which a node without a path to the targets sends. */
import type { Clock, RandomSource } from '@parsleymux/base';
import type { IMember } from '../../directory/common/authority.js';
import { RelayRefusal } from './relayTransport.js';

/** How long a peer is not asked again after a refusal, in ms. */
const PAUSES_MS: Readonly<Record<RelayRefusal, number>> = {
  [RelayRefusal.NoPath]: 3000,
  [RelayRefusal.Busy]: 200,
  [RelayRefusal.Stopping]: 10_000,
  [RelayRefusal.UnknownTarget]: 100,
  [RelayRefusal.ExcludedTarget]: 0,
  [RelayRefusal.Silent]: 2000,
  [RelayRefusal.Unsupported]: 30_000,
};
/**
 * Number of paused peers of the own failure domain from which peers of all domains are asked: most or all of the
 * domain may be partitioned together.
 */
const MAX_PAUSED_NEARBY = 2;
/** Time for which a peer that has served an attempt is preferred, in ms. */
const SERVED_MEMORY_MS = 5000;
/** Peers that have served recently from which only these are asked, so that one alone doesn't get all attempts. */
const MIN_PROVEN = 3;

/** Options of a {@link RelaySelector}. */
export interface IRelaySelectorOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Datagram address of this node. */
  readonly self: string;
  readonly failureDomain: string;
  readonly listMembers: () => readonly IMember[];
}

/**
 * Spreads relayed attempts over the peers by their capacity, within the node's own failure domain if possible.
 *
 * @example
 * const peer = selector.pick(new Set());
 */
export class RelaySelector {
  private readonly pausedUntilMs = new Map<string, number>();
  private readonly servedMs = new Map<string, number>();

  constructor(private readonly options: IRelaySelectorOptions) {}

  /** Picks a peer that is not among those already asked; undefined if there is none. */
  pick(asked: ReadonlySet<string>): IMember | undefined {
    const { clock, failureDomain, listMembers, self } = this.options;
    const nowMs = clock.getMonotonicTime();
    const isPaused = ({ address }: IMember) => (this.pausedUntilMs.get(address) ?? 0) > nowMs;
    const isNearby = (member: IMember) => member.failureDomain === failureDomain;
    const peers = listMembers().filter(({ address, canRelay }) => {
      return canRelay === true && address !== self;
    });
    const usable = peers.filter((peer) => !isPaused(peer) && !asked.has(peer.address));
    const nearby = usable.filter(isNearby);
    const pausedNearby = peers.filter((peer) => isNearby(peer) && isPaused(peer));
    const isDomainDoubtful = pausedNearby.length >= MAX_PAUSED_NEARBY;
    const candidates = nearby.length > 0 && !isDomainDoubtful ? nearby : usable;
    const proven = candidates.filter(({ address }) => {
      return nowMs - (this.servedMs.get(address) ?? -Infinity) < SERVED_MEMORY_MS;
    });
    const minProven = asked.size > 0 ? 1 : MIN_PROVEN;
    return this.pickByCapacity(proven.length >= minProven ? proven : candidates);
  }

  recordServed({ address }: IMember): void {
    const nowMs = this.options.clock.getMonotonicTime();
    removeOlder(this.servedMs, nowMs - SERVED_MEMORY_MS);
    this.servedMs.set(address, nowMs);
  }

  recordRefusal({ address }: IMember, reason: RelayRefusal): void {
    const nowMs = this.options.clock.getMonotonicTime();
    removeOlder(this.pausedUntilMs, nowMs);
    this.servedMs.delete(address);
    this.pausedUntilMs.set(address, nowMs + PAUSES_MS[reason]);
  }

  private pickByCapacity(members: readonly IMember[]): IMember | undefined {
    const total = members.reduce((sum, { capacity }) => sum + capacity, 0);
    let rest = this.options.random.getFloat() * total;
    for (const member of members) {
      rest -= member.capacity;
      if (rest < 0) return member;
    }
    return members.at(-1);
  }
}

function removeOlder(timesMs: Map<string, number>, oldestMs: number): void {
  for (const [address, atMs] of timesMs) if (atMs < oldestMs) timesMs.delete(address);
}
