/** Generates fleets and shards of a given size from a seed. */
import type { RandomSource } from '@parsleymux/base';
import type { INode, IShard } from '@parsleymux/fleet';

const DOMAINS_PER_SERVICE = 3;
const MIN_SERVICE_TARGETS = 6;
/** Standard deviation of the logarithm of service sizes. */
const SIZE_SIGMA = 0.8;

/** A shard and the total slots of its targets. */
export interface ISizedShard extends IShard {
  readonly slots: number;
}

/** Size of one case. */
export interface IPlacementSize {
  readonly nodes: number;
  readonly domains: number;
  readonly services: number;
  readonly targets: number;
  /** Maximum number of targets per shard; 0 means one shard per service. */
  readonly maxShardTargets: number;
  /** Number of the first node; node addresses are derived from node numbers. */
  readonly firstNode: number;
}

/**
 * Creates nodes, spread evenly over the domains.
 *
 * @example
 * placement.setNodes(makeNodes(size));
 */
export function makeNodes(size: IPlacementSize): readonly INode[] {
  return Array.from({ length: size.nodes }, (_, index) => makeNode(size, index));
}

/**
 * Creates node number `index`, counted from the first.
 *
 * @example
 * const joining = makeNode(size, size.nodes);
 */
export function makeNode(size: IPlacementSize, index: number): INode {
  const number = size.firstNode + index;
  return {
    address: `10.${number >> 16}.${(number >> 8) & 255}.${number & 255}:7002`,
    failureDomain: formatDomain(index % size.domains),
  };
}

/**
 * Creates the shards of all services. Sizes are log-normal; each service spans three domains.
 *
 * @example
 * const shards = makeShards(size, new SeededRandom(1));
 */
export function makeShards(size: IPlacementSize, random: RandomSource): readonly ISizedShard[] {
  const weights = Array.from({ length: size.services }, () => sampleLogNormal(random));
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  const spare = size.targets - size.services * MIN_SERVICE_TARGETS;
  return weights.flatMap((weight, index) => {
    const targets = MIN_SERVICE_TARGETS + Math.round((spare * weight) / total);
    return makeServiceShards(size, random, `member/service-${index}`, targets);
  });
}

function makeServiceShards(
  size: IPlacementSize,
  random: RandomSource,
  id: string,
  targets: number,
): readonly ISizedShard[] {
  const slotsPerTarget = 3 + random.getInteger(2);
  const domains = sampleDomains(size, random);
  if (size.maxShardTargets === 0) {
    return [{ id, failureDomains: domains, slots: targets * slotsPerTarget }];
  }
  return domains.flatMap((domain, index) => {
    const inDomain = Math.floor((targets + index) / DOMAINS_PER_SERVICE);
    return makeDomainShards(
      `${id}/${domain}`,
      domain,
      inDomain,
      size.maxShardTargets,
      slotsPerTarget,
    );
  });
}

/** Picks three consecutive domains from a random start, so that targets spread evenly. */
function sampleDomains(size: IPlacementSize, random: RandomSource): readonly string[] {
  const first = random.getInteger(size.domains);
  return Array.from({ length: DOMAINS_PER_SERVICE }, (_, index) => {
    return formatDomain((first + index) % size.domains);
  });
}

function makeDomainShards(
  id: string,
  domain: string,
  targets: number,
  maxShardTargets: number,
  slotsPerTarget: number,
): readonly ISizedShard[] {
  const parts = Math.ceil(targets / maxShardTargets);
  return Array.from({ length: parts }, (_, part) => {
    const inPart = Math.floor((targets + part) / parts);
    return { id: `${id}/${part}`, failureDomains: [domain], slots: inPart * slotsPerTarget };
  });
}

function formatDomain(index: number): string {
  return `domain-${index}`;
}

function sampleLogNormal(random: RandomSource): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.getFloat()));
  return Math.exp(SIZE_SIGMA * radius * Math.cos(2 * Math.PI * random.getFloat()));
}
