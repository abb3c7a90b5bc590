/** The number of a target's connections that one node may hold. */
import type { IFleetConfig } from '@parsleymux/config';
import type { Target } from '@parsleymux/schema';

/**
 * A target gets connections from its home, temporarily from a second node that also considers itself
 * the home, and from observers. A quarter of the limit for each leaves enough for all of them.
 */
const SHARE = 1 / 4;
/** For targets that are no longer in the configuration but still have requests in flight. */
const UNKNOWN_TARGET_CONNECTIONS = 8;

/**
 * Computes the share of one target's limit, at least the number of its slots: a home with four slots
 * and a single connection would leave three slots unused.
 *
 * @example
 * computeConnectionShare(create(TargetSchema, { slots: 4, maxConnections: 400 })); // 100
 */
export function computeConnectionShare(target: Pick<Target, 'slots' | 'maxConnections'>): number {
  const share = Math.floor(target.maxConnections * SHARE);
  return Math.max(1, Math.min(target.maxConnections, Math.max(share, target.slots)));
}

/**
 * Finds the share of the target with this address, according to the configuration in force.
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
