/**
 * Placement by drawing segments, after "SUORA: A Scalable and Uniform Data Distribution Algorithm
 * for Heterogeneous Storage Systems" and its predecessor ASURA: failure domains are the buckets,
 * each node owns a segment of its bucket's number line, and numbers are drawn from a shard's
 * pseudo-random sequence until one falls into an owned segment. Used only for comparison.
 */
import { hashToInteger } from '@parsleymux/base';
import type { INode, IShard } from '@parsleymux/fleet';
import { Placement } from '@parsleymux/fleet';

/** Range of the lowest generator; each higher one doubles it. */
const FIRST_RANGE = 4;
const MAX_DRAWS = 10_000;

/** How a node's segment number is determined. */
export const SegmentNumbering = {
  /** The smallest free number, agreed on by all nodes and stable across restarts. */
  Agreed: 'agreed',
  /** The rank of its address in the live set, which every node computes independently. */
  ByAddress: 'by address',
} as const;

export type SegmentNumbering = (typeof SegmentNumbering)[keyof typeof SegmentNumbering];

interface IBucket {
  /** Nodes by segment number; undefined where a node was removed. */
  segments: (INode | undefined)[];
  size: number;
}

/**
 * Draws numbers until they have fallen into the segments of enough different nodes.
 *
 * @example
 * const placement = new SegmentPlacement(SegmentNumbering.Agreed);
 */
export class SegmentPlacement extends Placement {
  private readonly buckets = new Map<string, IBucket>();

  constructor(private readonly numbering: SegmentNumbering) {
    super();
  }

  override setNodes(nodes: readonly INode[]): void {
    const byDomain = new Map<string, INode[]>();
    for (const node of nodes) {
      byDomain.set(node.failureDomain, [...(byDomain.get(node.failureDomain) ?? []), node]);
    }
    for (const [domain, inDomain] of byDomain) {
      const bucket = this.buckets.get(domain) ?? { segments: [], size: 0 };
      this.buckets.set(domain, bucket);
      bucket.size = inDomain.length;
      if (this.numbering === SegmentNumbering.ByAddress) bucket.segments = sortByAddress(inDomain);
      else setSegments(bucket, inDomain);
    }
  }

  override rank(shard: IShard, count: number): readonly INode[] {
    const found: INode[] = [];
    for (const domain of shard.failureDomains) {
      const bucket = this.buckets.get(domain);
      if (bucket !== undefined) sampleNodes(bucket, shard.id, count, found);
      if (found.length >= count) break;
    }
    return found;
  }
}

function sortByAddress(nodes: readonly INode[]): INode[] {
  return [...nodes].sort((left, right) => (left.address < right.address ? -1 : 1));
}

function setSegments(bucket: IBucket, nodes: readonly INode[]): void {
  const wanted = new Map(nodes.map((node) => [node.address, node]));
  bucket.segments = bucket.segments.map((node) => {
    return node !== undefined && wanted.delete(node.address) ? node : undefined;
  });
  for (const node of wanted.values()) {
    const freeIndex = bucket.segments.indexOf(undefined);
    if (freeIndex >= 0) bucket.segments[freeIndex] = node;
    else bucket.segments.push(node);
  }
}

function sampleNodes(bucket: IBucket, id: string, count: number, found: INode[]): void {
  const draws = new SegmentSequence(hashToInteger(id), bucket.segments.length);
  const wanted = Math.min(count, found.length + bucket.size);
  for (let draw = 0; draw < MAX_DRAWS && found.length < wanted; draw += 1) {
    const node = bucket.segments[draws.getNext()];
    if (node !== undefined && !found.includes(node)) found.push(node);
  }
}

/**
 * The generators of ASURA: a number that falls into the range of the next lower generator is
 * replaced by that generator's next number, so extending the line does not move earlier hits.
 */
class SegmentSequence {
  private readonly counters: number[] = [];

  constructor(
    private readonly seed: number,
    segments: number,
  ) {
    const levels = Math.max(0, Math.ceil(Math.log2(segments / FIRST_RANGE)));
    this.counters = Array<number>(levels + 1).fill(0);
  }

  getNext(): number {
    let level = this.counters.length - 1;
    for (;;) {
      const drawn = this.sample(level);
      if (level === 0 || drawn >= FIRST_RANGE * 2 ** (level - 1)) return drawn;
      level -= 1;
    }
  }

  private sample(level: number): number {
    const counter = this.counters[level] ?? 0;
    this.counters[level] = counter + 1;
    const mixed = hashIntegers(this.seed, level, counter);
    return Math.floor((mixed / 0x1_0000_0000) * FIRST_RANGE * 2 ** level);
  }
}

function hashIntegers(seed: number, level: number, counter: number): number {
  let mixed = seed ^ Math.imul(level + 1, 0x9e3779b1) ^ Math.imul(counter + 1, 0x85ebca77);
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
