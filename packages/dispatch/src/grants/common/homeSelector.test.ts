import assert from 'node:assert/strict';
import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { ManualClock, createSilentLogger } from '@parsleymux/base';
import type { ITargetRecord } from '@parsleymux/scheduling';
import { HomeService, GrantOutcome } from '@parsleymux/scheduling';
import { makeGrantRequest, makeTarget } from '@parsleymux/scheduling/testing';
import { ReportReceivedSchema } from '@parsleymux/schema';
import { makeQuarantine } from '@parsleymux/scheduling/testing';
import { MemoryNetwork } from '../../test/memoryNetwork.js';
import type { DatagramChannel } from './datagramChannel.js';
import { GrantServer } from './grantServer.js';
import { HomeSelector } from './homeSelector.js';
import type { Selection } from './targetSelector.js';

const TARGET = makeTarget('t1', { slots: 2 });
const RANKING = ['home', 'second', 'third'];
const OTHER_TARGET = makeTarget('t9', { service: 'catalog', slots: 1 });

interface INodeOptions {
  readonly ranking: readonly string[];
  readonly targets: readonly ITargetRecord[];
  readonly incarnation: number;
}

class Node {
  /** The targets in this node's copy of the directory. */
  readonly known = new Map([TARGET, OTHER_TARGET].map((target) => [target.id, target]));
  readonly homes: HomeService;
  readonly selector: HomeSelector;
  readonly channel: DatagramChannel;

  constructor(
    network: MemoryNetwork,
    address: string,
    { incarnation = 1, ranking = RANKING, targets = [TARGET] }: Partial<INodeOptions> = {},
  ) {
    const { clock } = network;
    const log = createSilentLogger();
    const retries = { windowMs: 10_000, ratio: 0.2, burst: 50 };
    const quarantine = makeQuarantine(clock);
    this.homes = new HomeService({ clock, log, quarantine, retries, floorShare: 0.7 });
    if (targets.length > 0) this.homes.setTargets(targets);
    this.channel = network.open(address);
    this.selector = new HomeSelector({
      channel: this.channel,
      homes: this.homes,
      clock,
      log,
      incarnation,
      rankHomes: () => ranking,
      findTarget: (id) => this.known.get(id),
    });
    const server = new GrantServer({ channel: this.channel, homes: this.homes, clock });
    this.channel.setHandler((sender, body) => {
      if (body.case === 'ask') server.handleAsk(sender, body.value);
      if (body.case === 'report') server.handleReport(sender, body.value);
      if (body.case === 'decision') this.selector.handleDecision(sender, body.value);
      if (body.case === 'reportReceived') this.selector.handleReportReceived(body.value);
    });
  }

  getInUse(service = 'booking'): number {
    return this.homes.getScheduler(service).listTargets()[0]?.inUse ?? 0;
  }
}

const { signal } = new AbortController();

function openNodes(): { network: MemoryNetwork; entry: Node; home: Node; second: Node } {
  const network = new MemoryNetwork(new ManualClock());
  const home = new Node(network, 'home');
  const second = new Node(network, 'second');
  const entry = new Node(network, 'entry');
  return { network, entry, home, second };
}

function getHome(selection: Selection): string {
  return selection.kind === 'granted' ? selection.grant.home : selection.home;
}

test('the home grants a slot, which is released after the report', async () => {
  const { entry, home, network } = openNodes();
  const pending = entry.selector.choose(makeGrantRequest(), signal);
  await network.clock.advanceBy(10);
  const selection = await pending;
  assert.ok(selection.kind === 'granted');
  assert.equal(home.getInUse(), 1);
  selection.grant.report(GrantOutcome.Succeeded, 5);
  await network.clock.advanceBy(10);
  assert.equal(home.getInUse(), 0);
});

test('no request and no slot is lost while a third of all datagrams are lost', async () => {
  const { entry, home, network } = openNodes();
  network.lossShare = 0.33;
  for (let index = 0; index < 30; index += 1) {
    const pending = entry.selector.choose(makeGrantRequest(), signal);
    await network.clock.advanceBy(400);
    const selection = await pending;
    assert.ok(selection.kind === 'granted');
    selection.grant.report(GrantOutcome.Succeeded, 5);
    await network.clock.advanceBy(1500);
  }
  await network.clock.advanceBy(5000);
  home.homes.getScheduler('booking').advance();
  assert.equal(home.getInUse(), 0);
});

test('an unresponsive home is skipped', async () => {
  // Guards against every request waiting for a crashed home until the retransmissions time out.
  const { entry, home, network } = openNodes();
  void home.channel.dispose();
  const first = entry.selector.choose(makeGrantRequest(), signal);
  await network.clock.advanceBy(60);
  assert.equal(getHome(await first), 'second');
  const next = entry.selector.choose(makeGrantRequest(), signal);
  await network.clock.advanceBy(10);
  assert.equal(getHome(await next), 'second');
});

test('a home without a target list leaves its requests to the next home', async () => {
  // Guards against a burst of rejections after restarts: a home receives grant requests before it has
  // received the list of targets.
  const network = new MemoryNetwork(new ManualClock());
  const home = new Node(network, 'home', { targets: [] });
  new Node(network, 'second');
  const entry = new Node(network, 'entry');
  const pending = entry.selector.choose(makeGrantRequest(), signal);
  const pendingAtHome = home.selector.choose(makeGrantRequest(), signal);
  await network.clock.advanceBy(100);
  for (const selection of [await pending, await pendingAtHome]) {
    assert.equal(selection.kind, 'granted');
    assert.equal(getHome(selection), 'second');
  }
});

test('if no home responds, the entry decides locally', async () => {
  const { entry, home, network, second } = openNodes();
  void home.channel.dispose();
  void second.channel.dispose();
  const pending = entry.selector.choose(makeGrantRequest(), signal);
  await network.clock.advanceBy(200);
  assert.equal(getHome(await pending), 'entry');
});

test('a queued request is granted when a slot is released, or withdrawn by its entry', async () => {
  const { entry, home, network } = openNodes();
  const held = [1, 2].map(() => entry.selector.choose(makeGrantRequest(), signal));
  await network.clock.advanceBy(10);
  const caller = new AbortController();
  const withdrawn = entry.selector.choose(makeGrantRequest(), caller.signal);
  const waiting = entry.selector.choose(makeGrantRequest(), signal);
  await network.clock.advanceBy(400);
  assert.equal(home.homes.getScheduler('booking').queueLength, 2);
  caller.abort(new Error('the caller left'));
  await assert.rejects(withdrawn, /the caller left/);
  const first = await held[0]!;
  assert.ok(first.kind === 'granted');
  first.grant.report(GrantOutcome.Succeeded, 5);
  await network.clock.advanceBy(50);
  assert.equal((await waiting).kind, 'granted');
  assert.equal(home.homes.getScheduler('booking').queueLength, 0);
});

test('the entry does not use a granted target that it knows to be draining', async () => {
  // The home is paused while a target starts draining, and then responds to the pending grant requests.
  // Guards against using such a grant although the entry's own copy is newer.
  const { entry, home, network } = openNodes();
  const remaining = makeTarget('t2', { failureDomain: 'far' });
  home.homes.setTargets([TARGET, remaining]);
  entry.known.set(TARGET.id, { ...TARGET, isDraining: true }).set(remaining.id, remaining);
  for (let index = 0; index < 4; index += 1) {
    const pending = entry.selector.choose(makeGrantRequest(), signal);
    await network.clock.advanceBy(50);
    const selection = await pending;
    assert.equal(selection.kind === 'granted' && selection.grant.target.id, 't2');
    if (selection.kind === 'granted') selection.grant.report(GrantOutcome.Succeeded, 5);
    await network.clock.advanceBy(50);
  }
  assert.equal(home.getInUse(), 0);
});

test('a grant of a different incarnation than the entry knows is returned', async () => {
  // A target restarts at another address under its identifier, and home and entry learn of it at different
  // times. Guards against sending the request to the old address.
  const { entry, home, network } = openNodes();
  home.homes.setTargets([{ ...TARGET, bornMs: 2000 }]);
  entry.known.set(TARGET.id, { ...TARGET, bornMs: 1000 });
  const pending = entry.selector.choose(makeGrantRequest(), signal);
  await network.clock.advanceBy(100);
  assert.equal((await pending).kind, 'refused');
  assert.equal(home.getInUse(), 0);
  entry.known.set(TARGET.id, { ...TARGET, bornMs: 2000 });
  const second = entry.selector.choose(makeGrantRequest(), signal);
  await network.clock.advanceBy(100);
  assert.equal((await second).kind, 'granted');
});

test('a request sent to a second home does not increase the retry allowance twice', async () => {
  // A home receives a grant request but responds too late, and the entry tries the next home. Guards
  // against both homes counting the request, which would raise the retry limit.
  const { entry, home, network, second } = openNodes();
  const handle = network.handlers.get('home');
  const repeatedFlags: boolean[] = [];
  network.handlers.set('home', (sender, body) => {
    if (body.case === 'ask') repeatedFlags.push(body.value.repeated);
    else handle?.(sender, body);
  });
  const pending = entry.selector.choose(makeGrantRequest(), signal);
  await network.clock.advanceBy(100);
  assert.equal(getHome(await pending), 'second');
  assert.deepEqual(repeatedFlags, [false, false], 'one grant request, sent twice');
  const nowMs = network.clock.getMonotonicTime();
  assert.deepEqual(second.homes.getScheduler('booking').retries.listOwn(nowMs).requests, []);
  assert.equal(home.getInUse(), 0);
});

test('a request that received an unusable grant is repeated with its remaining time', async () => {
  // A request is queued at the home, and the entry can't use the target that it is granted. Guards against
  // requesting again with the original time, so that the home queues the request beyond its deadline.
  const { entry, home, network } = openNodes();
  const held = [1, 2].map(() => entry.selector.choose(makeGrantRequest(), signal));
  await network.clock.advanceBy(10);
  const requestedMs: number[] = [];
  const handle = network.handlers.get('home');
  network.handlers.set('home', (sender, body) => {
    if (body.case === 'ask') requestedMs.push(body.value.remainingMs);
    handle?.(sender, body);
  });
  const waiting = entry.selector.choose(makeGrantRequest({ remainingMs: 1500 }), signal);
  await network.clock.advanceBy(800);
  entry.known.set(TARGET.id, { ...TARGET, isDraining: true });
  const first = await held[0]!;
  assert.ok(first.kind === 'granted');
  first.grant.report(GrantOutcome.Succeeded, 5);
  await network.clock.advanceBy(50);
  assert.equal((await waiting).kind, 'refused');
  assert.ok(Math.min(...requestedMs) <= 700, `requested with ${requestedMs.join(', ')} ms left`);
  assert.ok((requestedMs.at(-1) ?? 0) <= 700, `last requested with ${requestedMs.at(-1)} ms left`);
  assert.equal(home.getInUse(), 1);
});

test('a node that decides locally avoids targets that advertise a limit', async () => {
  // Guards against every node granting the whole limit when the homes are unreachable.
  const network = new MemoryNetwork(new ManualClock());
  const node = new Node(network, 'entry', { ranking: [] });
  const limits = [{ targetId: TARGET.id, bornMs: undefined, ratePerS: 2, ageMs: 50 }];
  const selection = await node.selector.choose(makeGrantRequest({ limits }), signal);
  assert.equal(selection.kind, 'refused');
});

interface IRestartedEntry {
  readonly network: MemoryNetwork;
  readonly home: Node;
  /** The process that took the place of the first one. */
  readonly entry: Node;
  /** A grant of the only slot of "catalog" to another node; a request of the former process waits for it. */
  readonly held: Selection;
}

/** An entry is killed while its request is queued at a home, and starts again at its address. */
async function restartEntry(): Promise<IRestartedEntry> {
  const network = new MemoryNetwork(new ManualClock());
  const home = new Node(network, 'home', { targets: [TARGET, OTHER_TARGET] });
  const other = new Node(network, 'other');
  const first = new Node(network, 'entry');
  const request = makeGrantRequest({ service: 'catalog', remainingMs: 20_000 });
  const held = other.selector.choose(request, signal);
  await network.clock.advanceBy(10);
  void first.selector.choose(request, signal);
  await network.clock.advanceBy(10);
  assert.equal(home.homes.getScheduler('catalog').queueLength, 1);
  network.stopSending(first.channel);
  const entry = new Node(network, 'entry', { incarnation: 2 });
  return { network, home, entry, held: await held };
}

test('a restarted entry does not take a decision on a request of its former process', async () => {
  // Guards against running a request at a target that was granted to another request, also of another service.
  const { entry, held, home, network } = await restartEntry();
  const fill = [1, 2].map(() => home.selector.choose(makeGrantRequest(), signal));
  const pending = entry.selector.choose(makeGrantRequest(), signal);
  await network.clock.advanceBy(10);
  assert.ok(held.kind === 'granted');
  held.grant.report(GrantOutcome.Succeeded, 5);
  await network.clock.advanceBy(50);
  assert.equal(home.homes.getScheduler('booking').queueLength, 1, 'the request still waits');
  const [first] = await Promise.all(fill);
  assert.ok(first?.kind === 'granted');
  first.grant.report(GrantOutcome.Succeeded, 5);
  await network.clock.advanceBy(50);
  const selection = await pending;
  assert.equal(selection.kind === 'granted' && selection.grant.target.id, TARGET.id);
});

test('a slot granted to a former process is released at once', async () => {
  // Guards against a slot that stays in use until the deadline of a request that nobody waits for.
  const { held, home, network } = await restartEntry();
  assert.ok(held.kind === 'granted');
  held.grant.report(GrantOutcome.Succeeded, 5);
  await network.clock.advanceBy(50);
  assert.equal(home.homes.getScheduler('catalog').queueLength, 0);
  assert.equal(home.getInUse('catalog'), 0);
});

test('a report is repeated until its own process receives the confirmation', async () => {
  // Guards against a slot that stays in use because a confirmation for a former process ended the repeats.
  const { entry, home, network } = await restartEntry();
  const pending = entry.selector.choose(makeGrantRequest(), signal);
  await network.clock.advanceBy(10);
  const selection = await pending;
  assert.ok(selection.kind === 'granted');
  network.lossShare = 1;
  selection.grant.report(GrantOutcome.Succeeded, 5);
  network.lossShare = 0;
  const confirmation = create(ReportReceivedSchema, { askId: 1n, incarnation: 1 });
  home.channel.send('entry', { case: 'reportReceived', value: confirmation });
  await network.clock.advanceBy(100);
  assert.equal(home.getInUse(), 0);
});

test('a grant of a target of another service is returned', async () => {
  // Guards against trusting a home that does not state which process asked.
  const { entry, home, network } = openNodes();
  const handle = network.handlers.get('entry');
  network.handlers.set('entry', (sender, body) => {
    if (body.case !== 'decision') return;
    network.handlers.set('entry', handle!);
    const value = { ...body.value, targetId: OTHER_TARGET.id, incarnation: 0 };
    handle?.(sender, { case: 'decision', value });
  });
  const pending = entry.selector.choose(makeGrantRequest(), signal);
  await network.clock.advanceBy(100);
  const selection = await pending;
  assert.equal(selection.kind === 'granted' && selection.grant.target.id, TARGET.id);
  assert.equal(home.getInUse(), 1);
});
