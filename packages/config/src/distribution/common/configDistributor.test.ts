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

/** Calls another distributor directly, unless the way to it is cut. */
class DirectPeer extends ConfigPeer {
  isCut = false;
  isSilent = false;

  constructor(
    private readonly target: ConfigDistributor,
    private readonly back?: ConfigPeer,
  ) {
    super();
  }

  override async announce(fleetRevision: number): Promise<number> {
    await this.checkWay();
    return this.target.receiveAnnouncement(fleetRevision, this.back);
  }

  override async fetchAfter(fleetRevision: number): Promise<IConfigSnapshot> {
    await this.checkWay();
    return this.target.getAfter(fleetRevision);
  }

  private async checkWay(): Promise<void> {
    if (this.isSilent) await new Promise(() => undefined);
    if (this.isCut) throw new Error('cut');
  }
}

class ListedPeers extends ConfigPeerSource {
  peers: ConfigPeer[] = [];

  override pick(count: number): readonly ConfigPeer[] {
    return this.peers.slice(0, count);
  }
}

interface INodeFixture {
  readonly node: ConfigDistributor;
  readonly peers: ListedPeers;
  readonly clock: ManualClock;
  readonly invariants: InvariantRegistry;
}

function createNode(
  platform: IMemoryPlatform,
  clock = new ManualClock(),
  applied?: AppliedConfig,
): INodeFixture {
  const peers = new ListedPeers();
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

test('a node applies what is confirmed, and reads one row when nothing changed', async () => {
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
 * Symptom: a route that an operator removed comes back on some nodes.
 * Sequence: the store restarts and answers from a lagging copy; a paused peer resumes.
 * Cause: applying whatever was read last instead of the newest.
 */
test('stale reads and old peers never take the configuration back', async () => {
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
  assert.equal(invariants.getViolations(InvariantName.ConfigurationNeverReverts), 0);
});

test('without the check, the invariant trips', () => {
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
  assert.equal(invariants.getViolations(InvariantName.ConfigurationNeverReverts), 1);
});

/*
 * Symptom: a replaced VM serves without routes, or with old ones, while the store is out.
 * Sequence: the store goes out, a VM is replaced, its peers know different revisions.
 * Cause: reporting ready on the first answer, or on none.
 */
test('a fresh node during an outage takes the highest of several peers before it is ready', async () => {
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
  assert.equal(fresh.node.isReady(), false, 'another fresh node tells nothing');
  fresh.peers.peers = [new DirectPeer(behind.node), new DirectPeer(ahead.node)];
  await fresh.node.runRound(signal);
  assert.ok(fresh.node.isReady());
  assert.equal(fresh.node.getCurrent().fleetRevision, 2);
});

test('an announcement wakes the node, which spares the store and asks the announcer', async () => {
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
 * Symptom: a node cut off from everything serves an old configuration for hours.
 * Sequence: store out; every way to peers cut, one of them silent instead of refused.
 * Cause: no bound on how old the last word from the rest may be.
 */
test('a node without store and peers is isolated after the limit, and recovers', async () => {
  const { platform, plans } = createPlatform();
  const { node, peers, clock } = createNode(platform);
  const other = createNode(platform, clock);
  await putInForce(plans, 'dobrescu', 'one');
  const silent = new DirectPeer(other.node);
  const cut = new DirectPeer(other.node);
  peers.peers = [silent, cut];
  const abort = new AbortController();
  const running = node.run(abort.signal);
  await clock.advanceBy(5000);
  assert.equal(node.isIsolated(), false);
  platform.table.faults.isUnavailable = true;
  await clock.advanceBy(40_000);
  assert.equal(node.isIsolated(), false, 'peers suffice');
  silent.isSilent = true;
  cut.isCut = true;
  await clock.advanceBy(45_000);
  assert.ok(node.isIsolated());
  platform.table.faults.isUnavailable = false;
  await clock.advanceBy(10_000);
  assert.equal(node.isIsolated(), false);
  abort.abort(new Error('done'));
  await running;
});

/** A clock that goes on while the process is stopped and its timers are not. */
class PausedClock extends ManualClock {
  pauseMs = 0;

  override getMonotonicTime(): number {
    return super.getMonotonicTime() + this.pauseMs;
  }
}

/*
 * Symptom: a target that left by a confirmed plan gets work half a minute later.
 * Sequence: a node asks the store; it is paused with the answer in its socket; the plan is
 * confirmed; the node resumes, reads the answer, and serves the requests that wait in its sockets.
 * Cause: the answer's arrival counted as word of now, though it is as old as the pause.
 */
test('an answer that came before a pause is no word of now', async () => {
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

test("one member's missing object does not hold up another member's change", async () => {
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
