import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock, createSilentLogger } from '@parsleymux/base';
import { HomeService } from '@parsleymux/scheduling';
import type { RetryWindow } from '@parsleymux/scheduling';
import { makeGrantRequest, makeTarget } from '@parsleymux/scheduling/testing';
import { makeQuarantine } from '@parsleymux/scheduling/testing';
import { MemoryNetwork } from '../../test/memoryNetwork.js';
import { RetrySharing } from './retrySharing.js';

const SERVICE = 'booking';
const TARGETS = [makeTarget('t1', { slots: 1000 })];
const BURST = 100;

class Home {
  readonly homes: HomeService;
  readonly sharing: RetrySharing;

  constructor(
    network: MemoryNetwork,
    address: string,
    rankHomes: () => readonly string[],
    windowMs = 10_000,
  ) {
    const { clock } = network;
    const retries = { windowMs, ratio: 0.2, burst: BURST };
    const log = createSilentLogger();
    const quarantine = makeQuarantine(clock);
    this.homes = new HomeService({ clock, log, quarantine, retries, floorShare: 0.7 });
    this.homes.setTargets(TARGETS);
    const channel = network.open(address);
    const { homes } = this;
    this.sharing = new RetrySharing({ channel, clock, homes, rankHomes, incarnation: 1 });
    channel.setHandler((_sender, body) => {
      if (body.case === 'retryUse') this.sharing.handleRetryUse(body.value);
    });
    this.sharing.start();
  }

  get retries(): RetryWindow {
    return this.homes.getScheduler(SERVICE).retries;
  }

  /** Requests `count` retries; returns how many were granted. */
  requestRetries(count: number): number {
    const scheduler = this.homes.getScheduler(SERVICE);
    let granted = 0;
    for (let index = 0; index < count; index += 1) {
      const request = makeGrantRequest({ attempt: 2, isIdempotent: true });
      scheduler.requestGrant(request, 'entry', ({ kind }) => {
        if (kind === 'granted') granted += 1;
      });
    }
    return granted;
  }
}

function openHomes(windowMs?: number): {
  network: MemoryNetwork;
  ranking: string[];
  homes: Home[];
} {
  const network = new MemoryNetwork(new ManualClock());
  const ranking = ['first', 'second', 'third'];
  const homes = ranking.map((address) => new Home(network, address, () => ranking, windowMs));
  return { network, ranking, homes };
}

test('successive homes share one burst of retries', async () => {
  // Guards against exceeding the limit in a rolling restart, in which the home of a service changes several
  // times: if the counts were lost with each home, every new one would have a burst of its own.
  const { homes, network, ranking } = openHomes();
  const [first, second, third] = homes as [Home, Home, Home];
  await network.clock.advanceBy(12_000);
  const granted = first.requestRetries(BURST);
  assert.equal(granted, BURST / 2);
  first.sharing.announce();
  await network.clock.advanceBy(10);
  ranking.shift();
  assert.equal(second.requestRetries(BURST), 0);
  await network.clock.advanceBy(1000);
  ranking.shift();
  assert.equal(third.requestRetries(BURST), 0, 'the second home forwarded the counts of the first');
});

test('a node that just joined has a tenth of the usual burst until it receives complete counts', async () => {
  const { homes, network, ranking } = openHomes();
  const [first] = homes as [Home];
  await network.clock.advanceBy(12_000);
  first.requestRetries(1);
  const joined = new Home(network, 'joined', () => ranking);
  ranking.unshift('joined');
  assert.equal(joined.requestRetries(BURST), BURST / 20);
  await network.clock.advanceBy(1100);
  assert.equal(joined.requestRetries(BURST), BURST / 2 - BURST / 20 - 1);
});

test('an entry that decides locally has no burst', async () => {
  // Guards against excess retries while homes are unresponsive: a hundred entries may decide locally, and
  // each would have half a burst.
  const { network, ranking } = openHomes();
  const entry = new Home(network, 'entry', () => ranking);
  await network.clock.advanceBy(12_000);
  assert.equal(entry.requestRetries(BURST), 0);
});

test('counts of a home with another window length are ignored', async () => {
  const { homes, network } = openHomes();
  const [first, second] = homes as [Home, Home];
  await network.clock.advanceBy(12_000);
  first.requestRetries(5);
  Object.defineProperty(first.retries, 'partMs', { value: 1 });
  first.sharing.announce();
  await network.clock.advanceBy(10);
  assert.equal(second.retries.countPeerRetries(network.clock.getMonotonicTime()), 0);
});

test('homes share retries whatever the length of the window', async () => {
  // Guards against the end of a home's process at counts whose message can't be encoded.
  for (const windowMs of [10_250, 4100.5, 4.1 * 1000, 333, 7]) {
    const { homes, network, ranking } = openHomes(windowMs);
    const [first, second] = homes as [Home, Home];
    await network.clock.advanceBy(12_000);
    assert.equal(first.requestRetries(BURST), BURST / 2);
    first.sharing.announce();
    await network.clock.advanceBy(1);
    ranking.shift();
    assert.equal(second.retries.countPeerRetries(network.clock.getMonotonicTime()), BURST / 2);
  }
});
