/** Size, heap use and processing time of the VM list, membership and placement, in this process. */
import { gzipSync } from 'node:zlib';
import { ManualClock, SeededRandom, SystemClock } from '@parsleymux/base';
import { ListedMembershipService, PeerAuthenticator, RendezvousPlacement } from '@parsleymux/fleet';
import type { IVm } from '@parsleymux/store';
import { VmList, VmState } from '@parsleymux/store';
import type { IBenchTable } from '../../common/bench.js';
import { formatNumber } from '../../common/bench.js';

const SIZES: readonly number[] = [48, 192, 525, 1050, 2100];
const SHARDS = 980;
const DOMAINS = 10;
const ROUNDS = 20;
const PROOFS = 20_000;

class SerializedVmList extends VmList {
  constructor(private readonly text: string) {
    super();
  }

  override list(): Promise<readonly IVm[]> {
    return Promise.resolve(JSON.parse(this.text) as readonly IVm[]);
  }
}

/**
 * Measures what one node spends on membership and placement.
 *
 * @example
 * tables.push(await measureMembership());
 */
export async function measureMembership(): Promise<IBenchTable> {
  const rows = [];
  for (const nodes of SIZES) rows.push([nodes, ...(await measureSize(nodes))]);
  return {
    title: `Membership and placement of one node, ${SHARDS} shards`,
    columns: [
      'nodes',
      'list KB',
      'list KB packed',
      'read and apply ms',
      'ranking all shards anew ms',
      'heap MB',
    ],
    rows,
  };
}

async function measureSize(nodes: number): Promise<readonly number[]> {
  const text = JSON.stringify(makeVms(nodes));
  const before = readHeap();
  const membership = new ListedMembershipService({
    self: { address: '10.9.9.9:7002', failureDomain: 'domain-0' },
    vms: new SerializedVmList(text),
    clock: new ManualClock(),
    random: new SeededRandom(1),
  });
  const placement = new RendezvousPlacement();
  membership.onDidChange((live) => {
    placement.setNodes(live);
  });
  const applyMs = await measureApply(membership);
  const rankMs = measureRanking(placement, membership);
  const heapBytes = readHeap() - before;
  membership.dispose();
  return [
    formatNumber(text.length / 1000),
    formatNumber(gzipSync(text).length / 1000),
    formatNumber(applyMs),
    formatNumber(rankMs),
    formatNumber(heapBytes / 1_000_000),
  ];
}

function makeVms(nodes: number): readonly IVm[] {
  const random = new SeededRandom(nodes);
  return Array.from({ length: nodes }, (_, index) => ({
    address: `10.${random.getInteger(32)}.${random.getInteger(256)}.${random.getInteger(256)}:7002`,
    failureDomain: `domain-${index % DOMAINS}`,
    state: VmState.Live,
  }));
}

/** Aborts the loop after each read, so that exactly one read and its application are timed. */
async function measureApply(membership: ListedMembershipService): Promise<number> {
  const startMs = performance.now();
  for (let round = 0; round < ROUNDS; round += 1) {
    const abort = new AbortController();
    const done = membership.run(abort.signal);
    await Promise.resolve();
    abort.abort();
    await done;
  }
  return (performance.now() - startMs) / ROUNDS;
}

function measureRanking(
  placement: RendezvousPlacement,
  membership: ListedMembershipService,
): number {
  const startMs = performance.now();
  for (let round = 0; round < ROUNDS; round += 1) {
    placement.setNodes(membership.getLiveNodes());
    for (let shard = 0; shard < SHARDS; shard += 1) {
      const domain = `domain-${shard % DOMAINS}`;
      placement.rank({ id: `member/service-${shard}`, failureDomains: [domain] }, 3);
    }
  }
  return (performance.now() - startMs) / ROUNDS;
}

/**
 * Measures creating and verifying one proof that authenticates a peer.
 *
 * @example
 * tables.push(measureProofs());
 */
export function measureProofs(): IBenchTable {
  const clock = new SystemClock();
  const keys = [Buffer.alloc(32, 1)];
  const authenticator = new PeerAuthenticator({ keys, clock, selfAddress: '127.0.0.1:1' });
  const startMs = performance.now();
  for (let index = 0; index < PROOFS; index += 1) {
    const proof = authenticator.makeProof('127.0.0.1:1', '/hop');
    if (!authenticator.verifyProof(proof, '/hop')) throw new Error('a valid proof was rejected');
  }
  const microseconds = ((performance.now() - startMs) * 1000) / PROOFS;
  return {
    title: 'One proof of a peer, made and verified',
    columns: ['µs for both'],
    rows: [[formatNumber(microseconds)]],
  };
}

function readHeap(): number {
  const { gc } = globalThis as { readonly gc?: () => void };
  if (gc === undefined) return 0;
  gc();
  return process.memoryUsage().heapUsed;
}
