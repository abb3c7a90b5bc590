/** Measures balance, movement and look-up cost of a placement scheme on one case. */
import type { Clock } from '@parsleymux/base';
import type { INode, Placement } from '@parsleymux/fleet';
import type { IPlacementSize, ISizedShard } from './placementCase.js';
import { makeNode, makeNodes } from './placementCase.js';

const CANDIDATES = 3;
const CHANGE_COUNT = 10;

/** Results of one measurement. Loads are measured in slots per node. */
export interface IPlacementResults {
  readonly maxToMean: number;
  readonly p99ToMean: number;
  /** Slots moved when a node is lost, divided by the slots it held. 1 is ideal. */
  readonly lossMovement: number;
  /** Slots moved when a node joins, divided by the slots it received. 1 is ideal. */
  readonly joinMovement: number;
  /** Look-up of three candidates directly after the live set changed, in µs. */
  readonly coldLookUpUs: number;
  /** The same look-up repeated, in µs. */
  readonly warmLookUpUs: number;
}

/** Creates a new instance, so that one measurement does not warm the caches of the next. */
export type PlacementFactory = () => Placement;

/**
 * Measures one scheme.
 *
 * @example
 * const results = measurePlacement(() => new RendezvousPlacement(), size, shards, clock);
 */
export function measurePlacement(
  make: PlacementFactory,
  size: IPlacementSize,
  shards: readonly ISizedShard[],
  clock: Clock,
): IPlacementResults {
  const nodes = makeNodes(size);
  const placement = make();
  placement.setNodes(nodes);
  const homes = listHomes(placement, shards);
  const loads = summarizeLoads(nodes, shards, homes);
  const sorted = [...loads.values()].sort((left, right) => left - right);
  const mean = sorted.reduce((sum, load) => sum + load, 0) / nodes.length;
  return {
    maxToMean: (sorted.at(-1) ?? 0) / mean,
    p99ToMean: (sorted[Math.ceil(0.99 * sorted.length) - 1] ?? 0) / mean,
    lossMovement: measureLosses(make, nodes, shards, homes, loads),
    joinMovement: measureJoins(make, size, nodes, shards, homes),
    ...measureLookUps(make, nodes, shards, clock),
  };
}

function listHomes(placement: Placement, shards: readonly ISizedShard[]): readonly string[] {
  return shards.map((shard) => placement.rank(shard, 1)[0]?.address ?? '');
}

function summarizeLoads(
  nodes: readonly INode[],
  shards: readonly ISizedShard[],
  homes: readonly string[],
): Map<string, number> {
  const loads = new Map(nodes.map((node) => [node.address, 0]));
  shards.forEach((shard, index) => {
    const home = homes[index] ?? '';
    loads.set(home, (loads.get(home) ?? 0) + shard.slots);
  });
  return loads;
}

function countMoved(
  shards: readonly ISizedShard[],
  before: readonly string[],
  after: readonly string[],
): number {
  return shards.reduce((sum, shard, index) => {
    return before[index] === after[index] ? sum : sum + shard.slots;
  }, 0);
}

function measureLosses(
  make: PlacementFactory,
  nodes: readonly INode[],
  shards: readonly ISizedShard[],
  before: readonly string[],
  loads: ReadonlyMap<string, number>,
): number {
  let moved = 0;
  let held = 0;
  for (let index = 0; index < CHANGE_COUNT; index += 1) {
    const lost = nodes[Math.floor((index * nodes.length) / CHANGE_COUNT)];
    const placement = make();
    placement.setNodes(nodes);
    placement.setNodes(nodes.filter((node) => node !== lost));
    moved += countMoved(shards, before, listHomes(placement, shards));
    held += loads.get(lost?.address ?? '') ?? 0;
  }
  return moved / held;
}

function measureJoins(
  make: PlacementFactory,
  size: IPlacementSize,
  nodes: readonly INode[],
  shards: readonly ISizedShard[],
  before: readonly string[],
): number {
  let moved = 0;
  let gained = 0;
  for (let index = 0; index < CHANGE_COUNT; index += 1) {
    const joined = makeNode(size, nodes.length + index);
    const placement = make();
    placement.setNodes(nodes);
    placement.setNodes([...nodes, joined]);
    const after = listHomes(placement, shards);
    moved += countMoved(shards, before, after);
    gained += summarizeLoads([], shards, after).get(joined.address) ?? 0;
  }
  return moved / gained;
}

function measureLookUps(
  make: PlacementFactory,
  nodes: readonly INode[],
  shards: readonly ISizedShard[],
  clock: Clock,
): Pick<IPlacementResults, 'coldLookUpUs' | 'warmLookUpUs'> {
  const placement = make();
  const cold: number[] = [];
  const warm: number[] = [];
  for (let round = 0; round < CHANGE_COUNT; round += 1) {
    placement.setNodes(nodes);
    cold.push(measurePass(placement, shards, clock));
    warm.push(measurePass(placement, shards, clock));
  }
  return { coldLookUpUs: findMedian(cold), warmLookUpUs: findMedian(warm) };
}

function measurePass(placement: Placement, shards: readonly ISizedShard[], clock: Clock): number {
  const startMs = clock.getMonotonicTime();
  for (const shard of shards) placement.rank(shard, CANDIDATES);
  return ((clock.getMonotonicTime() - startMs) * 1000) / shards.length;
}

function findMedian(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[sorted.length >> 1] ?? 0;
}
