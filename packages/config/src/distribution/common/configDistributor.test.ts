import assert from 'node:assert/strict';
import { test } from 'node:test';
import { InvariantName, InvariantRegistry, ManualClock, SeededRandom } from '@parsleymux/base';
import type { MemberConfig } from '@parsleymux/schema';
import { IntentValidator } from '../../intents/common/intentValidator.js';
import { formatIntentKey } from '../../layout/common/rowKeys.js';
import { PlanBuilder } from '../../plans/common/planBuilder.js';
import { PlanStore } from '../../plans/common/planStore.js';
import { InstantClock } from '../../testing/instantClock.js';
import { createTestIntent } from '../../testing/intents.js';
import type { IMemoryPlatform } from '../../testing/memoryPlatform.js';
import { createMemoryPlatform } from '../../testing/memoryPlatform.js';
import { AppliedConfig } from './appliedConfig.js';
import type { IConfigSnapshot } from './configPeer.js';
import { ConfigPeer, ConfigPeerSource } from './configPeer.js';
import { ConfigDistributor } from './configDistributor.js';

/** Calls another distributor directly, with simulated faults of the connection. */
class DirectPeer extends ConfigPeer {
  isRefusing = false;
  isUnresponsive = false;

  constructor(
    private readonly target: ConfigDistributor,
    private readonly reversePeer?: ConfigPeer,
  ) {
    super();
  }

  override async announce(fleetRevision: number): Promise<number> {
    await this.checkConnection();
    return this.target.receiveAnnouncement(fleetRevision, this.reversePeer);
  }

  override async fetchAfter(fleetRevision: number): Promise<IConfigSnapshot> {
    await this.checkConnection();
    return this.target.getAfter(fleetRevision);
  }

  private async checkConnection(): Promise<void> {
    if (this.isUnresponsive) await new Promise(() => undefined);
    if (this.isRefusing) throw new Error('connection refused');
  }
}

class FixedPeerSource extends ConfigPeerSource {
  peers: ConfigPeer[] = [];

  override pick(count: number): readonly ConfigPeer[] {
    return this.peers.slice(0, count);
  }
}

interface INodeFixture {
  readonly node: ConfigDistributor;
  readonly peers: FixedPeerSource;
  readonly clock: ManualClock;
  readonly invariants: InvariantRegistry;
}

function createNode(
  platform: IMemoryPlatform,
  clock = new ManualClock(),
  applied?: AppliedConfig,
): INodeFixture {
  const peers = new FixedPeerSource();
  const invariants = new InvariantRegistry();
  const random = new SeededRandom(5);
  const shared = { platform, peers, clock, random, invariants };
  const node = new ConfigDistributor(applied === undefined ? shared : { ...shared, applied });
  return { node, peers, clock, invariants };
}

function createPlatform(): { platform: IMemoryPlatform; plans: PlanStore } {
  const random = new SeededRandom(1);
  const platform = createMemoryPlatform(random);
  const plans = new PlanStore({
    platform,
    clock: new InstantClock(),
    random,
    validator: new IntentValidator(),
    builder: new PlanBuilder(),
  });
  return { platform, plans };
}

async function putInForce(plans: PlanStore, member: string, note: string): Promise<string> {
  const port = member === 'dobrescu' ? 9001 : 9002;
  const targets = [`127.0.0.1:${port}`, `127.0.0.2:${port}`];
  const plan = await plans.propose(createTestIntent(member, { note, targets }), 'key');
  await plans.confirm({ member, planId: plan.id, operator: 'key' });
  return plan.id;
}

const signal = new AbortController().signal;

test('a node applies confirmed plans, and reads one row when nothing changed', async () => {
  const { platform, plans } = createPlatform();
  const { node } = createNode(platform);
  const changes: (readonly string[])[] = [];
  node.onDidChange((change) => changes.push(change.members));
  await putInForce(plans, 'dobrescu', 'one');
  await node.runRound(signal);
  assert.ok(node.isReady());
  await putInForce(plans, 'donautal', 'two');
  await putInForce(plans, 'donautal', 'three');
  await node.runRound(signal);
  assert.deepEqual(changes, [['dobrescu'], ['donautal']]);
  assert.equal(node.getCurrent().fleetRevision, 3);
  assert.equal(node.getCurrent().members.get('donautal')?.intent?.note, 'three');
  const readsBefore = platform.table.readCount;
  await node.runRound(signal);
  assert.equal(platform.table.readCount - readsBefore, 1);
});

/*
 * Guards against a removed route that is in force again on some nodes. The store serves reads from an
 * older copy after a restart, or a paused peer resumes, and the node applies what it read last instead
 * of the newest.
 */
test('stale reads and outdated peers never revert the configuration', async () => {
  const { platform, plans } = createPlatform();
  const { node, peers, invariants } = createNode(platform);
  const old = createNode(platform);
  await putInForce(plans, 'dobrescu', 'one');
  await old.node.runRound(signal);
  await putInForce(plans, 'dobrescu', 'two');
  await node.runRound(signal);
  platform.table.faults.staleness = 4;
  peers.peers = [new DirectPeer(old.node)];
  for (let round = 0; round < 50; round += 1) {
    await node.runRound(signal);
    assert.equal(node.getCurrent().members.get('dobrescu')?.intent?.note, 'two');
  }
  assert.ok(node.getCounters().dropped > 0);
  assert.equal(invariants.getViolationCount(InvariantName.ConfigurationNeverReverts), 0);
});

test('the invariant detects a revert when the revision check is disabled', () => {
  class RevertingConfig extends AppliedConfig {
    protected override isNewer(): boolean {
      return true;
    }
  }
  const invariants = new InvariantRegistry();
  const applied = new RevertingConfig(invariants);
  const config = { member: 'dobrescu', fleetRevision: 2n } as MemberConfig;
  applied.apply({ fleetRevision: 2, members: [{ ...config, memberRevision: 2n }] });
  applied.apply({ fleetRevision: 2, members: [{ ...config, memberRevision: 1n }] });
  assert.equal(invariants.getViolationCount(InvariantName.ConfigurationNeverReverts), 1);
});

/*
 * Guards against a replaced VM that serves without routes, or with outdated ones, during an outage of
 * the store. Its peers have different revisions, and it reports ready on the first response or on none.
 */
test('during an outage a new node applies the highest revision of several peers before it is ready', async () => {
  const { platform, plans } = createPlatform();
  const behind = createNode(platform);
  const ahead = createNode(platform);
  await putInForce(plans, 'dobrescu', 'one');
  await behind.node.runRound(signal);
  await putInForce(plans, 'dobrescu', 'two');
  await ahead.node.runRound(signal);
  platform.table.faults.isUnavailable = true;
  const fresh = createNode(platform);
  await fresh.node.runRound(signal);
  assert.equal(fresh.node.isReady(), false);
  fresh.peers.peers = [new DirectPeer(createNode(platform).node)];
  await fresh.node.runRound(signal);
  assert.equal(fresh.node.isReady(), false, 'a peer without a configuration does not suffice');
  fresh.peers.peers = [new DirectPeer(behind.node), new DirectPeer(ahead.node)];
  await fresh.node.runRound(signal);
  assert.ok(fresh.node.isReady());
  assert.equal(fresh.node.getCurrent().fleetRevision, 2);
});

test('an announcement wakes the node, which fetches from the announcer instead of the store', async () => {
  const { platform, plans } = createPlatform();
  const clock = new ManualClock();
  const first = createNode(platform, clock);
  const second = createNode(platform, clock);
  await putInForce(plans, 'dobrescu', 'one');
  const abort = new AbortController();
  const running = second.node.run(abort.signal);
  await second.node.waitForReady(abort.signal);
  await putInForce(plans, 'dobrescu', 'two');
  first.peers.peers = [new DirectPeer(second.node, new DirectPeer(first.node))];
  await first.node.runRound(signal);
  const reads = platform.table.readCount;
  await clock.advanceBy(1);
  assert.equal(second.node.getCurrent().fleetRevision, 2);
  assert.equal(platform.table.readCount, reads);
  abort.abort(new Error('done'));
  await running;
});

/*
 * Guards against a partitioned node that serves an outdated configuration for hours. The store is
 * unavailable and every peer is unreachable, one of them unresponsive instead of refusing; the age of
 * the last response must be bounded.
 */
test('a node without store and peers is isolated after the limit, and recovers', async () => {
  const { platform, plans } = createPlatform();
  const { node, peers, clock } = createNode(platform);
  const other = createNode(platform, clock);
  await putInForce(plans, 'dobrescu', 'one');
  const unresponsive = new DirectPeer(other.node);
  const refusing = new DirectPeer(other.node);
  peers.peers = [unresponsive, refusing];
  const abort = new AbortController();
  const running = node.run(abort.signal);
  await clock.advanceBy(5000);
  assert.equal(node.isIsolated(), false);
  platform.table.faults.isUnavailable = true;
  await clock.advanceBy(40_000);
  assert.equal(node.isIsolated(), false, 'peers are reachable');
  unresponsive.isUnresponsive = true;
  refusing.isRefusing = true;
  await clock.advanceBy(45_000);
  assert.ok(node.isIsolated());
  platform.table.faults.isUnavailable = false;
  await clock.advanceBy(10_000);
  assert.equal(node.isIsolated(), false);
  abort.abort(new Error('done'));
  await running;
});

/** A clock that simulates pauses of the process: time advances by `pauseMs`, but no timers fire. */
class PausedClock extends ManualClock {
  pauseMs = 0;

  override getMonotonicTime(): number {
    return super.getMonotonicTime() + this.pauseMs;
  }
}

/*
 * Guards against work for a target half a minute after a confirmed plan removed it. A node is paused
 * while the store's response is in its socket, and the plan is confirmed meanwhile. The node resumes,
 * reads the response and serves the requests that wait in its sockets. The response is as old as the
 * pause and must not count as a current one.
 */
test('a response that arrived before a pause does not count as current', async () => {
  const { platform, plans } = createPlatform();
  const clock = new PausedClock();
  const { node } = createNode(platform, clock);
  await putInForce(plans, 'dobrescu', 'one');
  const read = platform.table.read.bind(platform.table);
  platform.table.read = async (...args) => {
    const rows = await read(...args);
    clock.pauseMs += 27_000;
    return rows;
  };
  await node.runRound(signal);
  assert.ok(node.isStale());
  platform.table.read = read;
  await node.runRound(signal);
  assert.equal(node.isStale(), false);
});

test("one member's missing object does not delay another member's change", async () => {
  const { platform, plans } = createPlatform();
  const { node } = createNode(platform);
  const planId = await putInForce(plans, 'dobrescu', 'one');
  platform.objects.remove(formatIntentKey('dobrescu', planId));
  await putInForce(plans, 'donautal', 'two');
  await node.runRound(signal);
  assert.equal(node.getCurrent().members.get('donautal')?.intent?.note, 'two');
  assert.equal(node.getCurrent().fleetRevision, 0);
  assert.equal(node.isReady(), false);
});
