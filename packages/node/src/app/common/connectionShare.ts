/** How many of a target's connections one node may hold. */
import type { IFleetConfig } from '@parsleymux/config';
import type { Target } from '@parsleymux/schema';

/**
 * A target is reached by its home, for a while by a second node that also takes itself for home,
 * and by observers. A quarter each leaves room for all of them.
 */
const SHARE = 1 / 4;
/** For targets that the configuration no longer names but that still finish work. */
const UNKNOWN_TARGET_CONNECTIONS = 8;

/**
 * The share of one target's limit, but never less than its slots: a home that may use four slots
 * and hold one connection would leave three slots empty.
 *
 * @example
 * computeConnectionShare(create(TargetSchema, { slots: 4, maxConnections: 400 })); // 100
 */
export function computeConnectionShare(target: Pick<Target, 'slots' | 'maxConnections'>): number {
  const share = Math.floor(target.maxConnections * SHARE);
  return Math.max(1, Math.min(target.maxConnections, Math.max(share, target.slots)));
}

/**
 * The share of a target by its address, as the configuration in force has it.
 *
 * @example
 * const limit = findConnectionShare(config.getCurrent(), 'dobrescu', '10.0.0.7:9000');
 */
export function findConnectionShare(config: IFleetConfig, member: string, address: string): number {
  const services = config.members.get(member)?.intent?.services ?? [];
  for (const service of services) {
    const target = service.targets.find((candidate) => candidate.address === address);
    if (target !== undefined) return computeConnectionShare(target);
  }
  return UNKNOWN_TARGET_CONNECTIONS;
}
