/**
 * Rendezvous hashing: every node computes the scores of all candidates for a shard by itself, and
 * the node with the highest score is the home. Losing a node moves only its own shards, and no
 * shared table is needed.
 */
import { hashToInteger } from '@parsleymux/base';
import type { INode } from '../../membership/common/membershipService.js';
import type { IShard } from './placement.js';
import { Placement } from './placement.js';

/** Seed of the second hash of a node, which distinguishes nodes whose first hashes collide. */
const SECOND_SEED = 0x5bd1e995;
const DEFAULT_MAX_CACHED_SHARDS = 20_000;
const DEFAULT_MIN_DOMAIN_SHARE = 0.5;

/** Options of a {@link RendezvousPlacement}. */
export interface IRendezvousPlacementOptions {
  /** Maximum number of shards whose ranking is cached. Default 20,000. */
  readonly maxCachedShards?: number;
  /**
   * A failure domain is preferred while it holds at least this share of the nodes that an average
   * domain holds. Default 0.5.
   */
  readonly minDomainShare?: number;
}

interface IScoredNode {
  readonly node: INode;
  readonly firstHash: number;
  readonly secondHash: number;
}

interface IRanking {
  readonly domains: string;
  readonly nodes: readonly INode[];
}

interface ICandidate {
  readonly node: INode;
  readonly score: number;
}

/**
 * Ranks the nodes in the shard's failure domains first, in the order of the domains, then all
 * others.
 *
 * @example
 * const placement = new RendezvousPlacement();
 * placement.setNodes(membership.getLiveNodes());
 * const [home, next] = placement.rank({ id: 'dobrescu/booking', failureDomains: ['north'] }, 2);
 */
export class RendezvousPlacement extends Placement {
  private readonly maxCachedShards: number;
  private readonly minDomainShare: number;
  private nodes: readonly IScoredNode[] = [];
  private nodesByDomain = new Map<string, IScoredNode[]>();
  private readonly rankings = new Map<string, IRanking>();

  constructor(options: IRendezvousPlacementOptions = {}) {
    super();
    this.maxCachedShards = options.maxCachedShards ?? DEFAULT_MAX_CACHED_SHARDS;
    this.minDomainShare = options.minDomainShare ?? DEFAULT_MIN_DOMAIN_SHARE;
  }

  override setNodes(nodes: readonly INode[]): void {
    this.rankings.clear();
    this.nodes = nodes.map(toScoredNode);
    this.nodesByDomain = new Map();
    for (const scored of this.nodes) {
      const inDomain = this.nodesByDomain.get(scored.node.failureDomain);
      if (inDomain === undefined) this.nodesByDomain.set(scored.node.failureDomain, [scored]);
      else inDomain.push(scored);
    }
  }

  override rank(shard: IShard, count: number): readonly INode[] {
    const domains = shard.failureDomains.join(' ');
    const wanted = Math.min(count, this.nodes.length);
    const cached = this.rankings.get(shard.id);
    if (cached?.domains === domains && cached.nodes.length >= wanted) {
      return cached.nodes.length === wanted ? cached.nodes : cached.nodes.slice(0, wanted);
    }
    const nodes = this.computeRanking(shard, wanted);
    if (this.rankings.size >= this.maxCachedShards) this.rankings.clear();
    this.rankings.set(shard.id, { domains, nodes });
    return nodes;
  }

  private computeRanking(shard: IShard, count: number): readonly INode[] {
    const shardHash = hashToInteger(shard.id);
    const ranked: INode[] = [];
    const preferred = shard.failureDomains.filter((domain) => this.isLargeEnough(domain));
    for (const domain of preferred) {
      if (ranked.length >= count) return ranked;
      const tier = this.nodesByDomain.get(domain) ?? [];
      ranked.push(...pickBest(tier, shardHash, count - ranked.length));
    }
    if (ranked.length >= count) return ranked;
    const chosen = new Set(preferred);
    const others = this.nodes.filter((scored) => !chosen.has(scored.node.failureDomain));
    ranked.push(...pickBest(others, shardHash, count - ranked.length));
    return ranked;
  }

  /**
   * Whether the domain has enough nodes to be preferred.
   *
   * When most nodes of a domain are removed, the few remaining ones would become the home of all
   * its shards and be overloaded, which shows as rejections for full queues on just these nodes.
   * Below a share of the average domain's size, its shards are therefore distributed over all
   * nodes.
   */
  private isLargeEnough(domain: string): boolean {
    const size = this.nodesByDomain.get(domain)?.length ?? 0;
    const average = this.nodes.length / Math.max(1, this.nodesByDomain.size);
    return size > 0 && size >= average * this.minDomainShare;
  }
}

function toScoredNode(node: INode): IScoredNode {
  return {
    node,
    firstHash: hashToInteger(node.address),
    secondHash: hashToInteger(node.address, SECOND_SEED),
  };
}

/**
 * Returns the nodes with the `count` highest scores, best first. Inserting into a short list is
 * cheaper than sorting all nodes.
 */
function pickBest(nodes: readonly IScoredNode[], shardHash: number, count: number): INode[] {
  const best: ICandidate[] = [];
  for (const scored of nodes) {
    const score = computeScore(scored, shardHash);
    const last = best[best.length - 1];
    if (best.length >= count && last !== undefined && !isBetter(score, scored.node, last)) continue;
    let index = best.length;
    while (index > 0 && isBetter(score, scored.node, best[index - 1])) index -= 1;
    best.splice(index, 0, { node: scored.node, score });
    if (best.length > count) best.pop();
  }
  return best.map((candidate) => candidate.node);
}

function isBetter(score: number, node: INode, other: ICandidate | undefined): boolean {
  if (other === undefined) return false;
  return score > other.score || (score === other.score && node.address < other.node.address);
}

function computeScore(scored: IScoredNode, shardHash: number): number {
  return hashInteger(hashInteger(scored.firstHash ^ shardHash) ^ scored.secondHash);
}

/** The finalizer of MurmurHash3: each bit of the input changes half of the output's bits. */
function hashInteger(value: number): number {
  let mixed = value ^ (value >>> 16);
  mixed = Math.imul(mixed, 0x85ebca6b);
  mixed ^= mixed >>> 13;
  mixed = Math.imul(mixed, 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
