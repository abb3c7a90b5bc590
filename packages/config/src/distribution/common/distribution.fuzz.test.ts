import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  InvariantName,
  InvariantRegistry,
  ManualClock,
  MuxError,
  ResultCode,
  SeededRandom,
} from '@parsleymux/base';
import fc from 'fast-check';
import { IntentValidator } from '../../intents/common/intentValidator.js';
import { PlanBuilder } from '../../plans/common/planBuilder.js';
import { isDraining } from '../../plans/common/capacity.js';
import { PlanStore } from '../../plans/common/planStore.js';
import { InstantClock } from '../../testing/instantClock.js';
import { createTestIntent } from '../../testing/intents.js';
import { createMemoryPlatform } from '../../testing/memoryPlatform.js';
import { AppliedConfig } from './appliedConfig.js';
import { ConfigDistributor } from './configDistributor.js';
import type { IConfigSnapshot } from './configPeer.js';
import { ConfigPeer, ConfigPeerSource } from './configPeer.js';

const NODE_COUNT = 6;
const MEMBERS = ['dobrescu', 'donautal'];
const RUNS = 120;
/** Limit from a confirmation until the change is in force on every reachable node. */
const IN_FORCE_LIMIT_MS = 6000;
/** Longer than the default isolation limit of distributors. */
const PAST_ISOLATION_MS = 60_000;

const steps = fc.record({
  kind: fc.constantFrom(
    'confirm',
    'confirm',
    'block',
    'unblock',
    'outage',
    'stale',
    'replace',
    'wait',
  ),
  first: fc.integer({ min: 0, max: NODE_COUNT - 1 }),
  second: fc.integer({ min: 0, max: NODE_COUNT - 1 }),
});

/** Nodes on one clock, whose links can be blocked in one direction. */
class Fleet {
  readonly clock = new ManualClock();
  readonly random: SeededRandom;
  readonly platform;
  readonly plans: PlanStore;
  readonly blockedLinks = new Set<string>();
  readonly nodes: ConfigDistributor[] = [];
  readonly invariants = new InvariantRegistry();
  readonly abort = new AbortController();
  readonly running: Promise<void>[] = [];
  private changeCount = 0;

  constructor(
    seed: number,
    private readonly makeApplied: (invariants: InvariantRegistry) => AppliedConfig,
  ) {
    this.random = new SeededRandom(seed);
    this.platform = createMemoryPlatform(this.random);
    this.plans = new PlanStore({
      platform: this.platform,
      clock: new InstantClock(),
      random: this.random,
      validator: new IntentValidator(),
      builder: new PlanBuilder(),
    });
    for (let index = 0; index < NODE_COUNT; index += 1) this.startNode(index);
  }

  startNode(index: number): void {
    const node = new ConfigDistributor({
      platform: this.platform,
      peers: new FleetPeers(this, index),
      clock: this.clock,
      random: this.random,
      invariants: this.invariants,
      applied: this.makeApplied(this.invariants),
    });
    this.nodes[index] = node;
    this.running.push(node.run(this.abort.signal));
  }

  /** Drains or returns a target of a member, so that each configuration differs from the one before. */
  async confirmChange(member: number): Promise<void> {
    this.changeCount += 1;
    const name = MEMBERS[member]!;
    const targets = [`127.0.${member}.1:9001`, `127.0.${member}.2:9001`];
    const intent = createTestIntent(name, { targets, note: `change ${this.changeCount}` });
    const target = intent.services[0]!.targets[1]!;
    target.leaveAtMs = BigInt(this.changeCount % 2);
    for (;;) {
      const plan = await this.plans.propose(intent, 'key');
      const request = { member: name, planId: plan.id, operator: 'key' };
      const isDone = await this.plans.confirm(request).then(
        () => true,
        (error: unknown) => {
          // The plan was based on a stale read; the operator submits the intent again.
          if (error instanceof MuxError && error.code === ResultCode.PlanStale) return false;
          throw error;
        },
      );
      if (isDone) return;
    }
  }

  async stop(): Promise<void> {
    this.abort.abort(new Error('done'));
    await Promise.all(this.running);
  }
}

class FleetPeers extends ConfigPeerSource {
  constructor(
    private readonly fleet: Fleet,
    private readonly localIndex: number,
  ) {
    super();
  }

  override pick(count: number): readonly ConfigPeer[] {
    const peers = this.fleet.nodes
      .map((_, index) => index)
      .filter((index) => index !== this.localIndex);
    const start = this.fleet.random.getInteger(Math.max(1, peers.length));
    return [...peers.slice(start), ...peers.slice(0, start)]
      .slice(0, count)
      .map((index) => new FleetPeer(this.fleet, this.localIndex, index));
  }
}

class FleetPeer extends ConfigPeer {
  constructor(
    private readonly fleet: Fleet,
    private readonly from: number,
    private readonly to: number,
  ) {
    super();
  }

  override async announce(fleetRevision: number): Promise<number> {
    this.checkLink(this.from, this.to);
    const reversePeer = new FleetPeer(this.fleet, this.to, this.from);
    const response = this.fleet.nodes[this.to]!.receiveAnnouncement(fleetRevision, reversePeer);
    await Promise.resolve();
    // The announcement arrived, but its response can be lost.
    this.checkLink(this.to, this.from);
    return response;
  }

  override async fetchAfter(fleetRevision: number): Promise<IConfigSnapshot> {
    this.checkLink(this.from, this.to);
    await Promise.resolve();
    this.checkLink(this.to, this.from);
    return this.fleet.nodes[this.to]!.getAfter(fleetRevision);
  }

  private checkLink(from: number, to: number): void {
    if (this.fleet.blockedLinks.has(`${from}-${to}`)) throw new Error('link is blocked');
  }
}

type Step = Readonly<{ kind: string; first: number; second: number }>;

async function runStep(fleet: Fleet, step: Step): Promise<void> {
  const faults = fleet.platform.table.faults;
  if (step.kind === 'confirm' && !faults.isUnavailable) await fleet.confirmChange(step.first % 2);
  if (step.kind === 'block') fleet.blockedLinks.add(`${step.first}-${step.second}`);
  if (step.kind === 'unblock') fleet.blockedLinks.delete(`${step.first}-${step.second}`);
  if (step.kind === 'outage') faults.isUnavailable = !faults.isUnavailable;
  if (step.kind === 'stale') faults.staleness = faults.staleness === 0 ? 5 : 0;
  if (step.kind === 'replace') fleet.startNode(step.first);
  await fleet.clock.advanceBy(step.kind === 'wait' ? 3000 : 300);
}

function countViolations(fleet: Fleet): number {
  return fleet.invariants.getViolationCount(InvariantName.ConfigurationNeverReverts);
}

/*
 * Guards against a node that serves routes or targets that an operator has removed, because it reverts
 * to an older revision or stops polling. Generates sequences of one-way network faults, outages, stale
 * reads, replaced VMs and confirmations.
 */
test('under any faults no node reverts, and all nodes converge soon after recovery', async () => {
  await fc.assert(
    fc.asyncProperty(fc.nat(), fc.array(steps, { maxLength: 40 }), async (seed, list) => {
      const fleet = new Fleet(seed, (invariants) => new AppliedConfig(invariants));
      for (const step of list) await runStep(fleet, step);
      Object.assign(fleet.platform.table.faults, { isUnavailable: false, staleness: 0 });
      fleet.blockedLinks.clear();
      await fleet.confirmChange(0);
      await fleet.clock.advanceBy(IN_FORCE_LIMIT_MS);
      await fleet.stop();
      const newest = Math.max(...fleet.nodes.map((node) => node.getCurrent().fleetRevision));
      for (const node of fleet.nodes) {
        assert.ok(node.isReady());
        assert.equal(node.getCurrent().fleetRevision, newest);
      }
      const expected = (await fleet.plans.getIntent('dobrescu')).intent?.note;
      const notes = fleet.nodes.map((node) => node.getCurrent().members.get('dobrescu'));
      for (const config of notes) assert.equal(config?.intent?.note, expected);
      assert.equal(countViolations(fleet), 0);
    }),
    { seed: 21, numRuns: RUNS },
  );
});

/*
 * Guards against new work for a drained target minutes after the plan was confirmed. All messages
 * between one node and its peers are lost, or the store becomes unavailable right after the
 * confirmation, when only one node has read it. A node must be able to learn of changes from the store
 * alone and from peers alone.
 */
test('every node applies a drain within seconds through the store alone or peers alone', async () => {
  const fleet = new Fleet(3, (invariants) => new AppliedConfig(invariants));
  await fleet.confirmChange(0);
  await fleet.confirmChange(0);
  await fleet.clock.advanceBy(IN_FORCE_LIMIT_MS);
  for (let index = 0; index < NODE_COUNT; index += 1) {
    fleet.blockedLinks.add(`${index}-2`);
    fleet.blockedLinks.add(`2-${index}`);
  }
  await fleet.confirmChange(0);
  await fleet.clock.advanceBy(IN_FORCE_LIMIT_MS);
  assert.deepEqual(listDraining(fleet), Array(NODE_COUNT).fill(true), 'through the store alone');
  fleet.blockedLinks.clear();
  await fleet.confirmChange(0);
  await fleet.nodes[0]!.runRound(fleet.abort.signal);
  fleet.platform.table.faults.isUnavailable = true;
  await fleet.clock.advanceBy(IN_FORCE_LIMIT_MS);
  assert.deepEqual(listDraining(fleet), Array(NODE_COUNT).fill(false), 'through peers alone');
  await fleet.stop();
});

/*
 * Documents a known limit: a group of partitioned nodes sends work to a drained target for as long as
 * the partition lasts, past the isolation limit. Only node 0 reads the drain before the store becomes
 * unavailable; the other nodes reach each other, but not node 0. Any exchange counts as contact,
 * because the group can't distinguish this from an outage of the store. Draining at an instant in the
 * future (`leaveAtMs`) avoids the limit.
 */
test('nodes partitioned as a group keep the former plan, and apply the new one after recovery', async () => {
  const fleet = new Fleet(4, (invariants) => new AppliedConfig(invariants));
  await fleet.confirmChange(0);
  await fleet.confirmChange(0);
  await fleet.clock.advanceBy(IN_FORCE_LIMIT_MS);
  const before = listDraining(fleet);
  for (let index = 1; index < NODE_COUNT; index += 1) {
    fleet.blockedLinks.add(`${index}-0`);
    fleet.blockedLinks.add(`0-${index}`);
  }
  await fleet.confirmChange(0);
  await fleet.nodes[0]!.runRound(fleet.abort.signal);
  fleet.platform.table.faults.isUnavailable = true;
  await fleet.clock.advanceBy(PAST_ISOLATION_MS);
  const group = fleet.nodes.slice(1);
  assert.equal(fleet.nodes[0]!.isIsolated(), true, 'no contact with store or peers');
  assert.ok(group.every((node) => !node.isIsolated()));
  assert.deepEqual(listDraining(fleet).slice(1), before.slice(1));
  fleet.blockedLinks.clear();
  await fleet.clock.advanceBy(IN_FORCE_LIMIT_MS);
  assert.deepEqual(listDraining(fleet), Array(NODE_COUNT).fill(!before[0]));
  await fleet.stop();
});

test('the invariant detects reverts under the same faults when the revision checks are disabled', async () => {
  class RevertingConfig extends AppliedConfig {
    protected override isNewer(): boolean {
      return true;
    }

    protected override chooseRevision(_: number, offered: number): number {
      return offered;
    }
  }
  let violations = 0;
  for (let seed = 1; seed <= 20; seed += 1) {
    const fleet = new Fleet(seed, (invariants) => new RevertingConfig(invariants));
    const list = fc.sample(fc.array(steps, { minLength: 40, maxLength: 40 }), {
      seed,
      numRuns: 1,
    })[0]!;
    for (const step of list) await runStep(fleet, step);
    await fleet.stop();
    violations += countViolations(fleet);
  }
  assert.ok(violations > 0);
});

function listDraining(fleet: Fleet): readonly boolean[] {
  return fleet.nodes.map((node) => {
    const intent = node.getCurrent().members.get('dobrescu')?.intent;
    return intent?.services[0]?.targets.some(isDraining) ?? false;
  });
}
