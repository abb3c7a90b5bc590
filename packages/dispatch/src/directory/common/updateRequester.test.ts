import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock, createSilentLogger } from '@parsleymux/base';
import { AnnouncedVersions } from './announcedVersions.js';
import { CopyMonitor } from './copyMonitor.js';
import { DomainForwarder } from './domainForwarder.js';
import { FollowedTable } from './followedTable.js';
import { UpdateRequester } from './updateRequester.js';

const MAX_AGE_MS = 1500;
const NEWER_WAIT_MS = 400;

interface IFixture {
  readonly clock: ManualClock;
  readonly table: FollowedTable<string>;
  readonly announced: AnnouncedVersions;
  /** Addresses from which updates were requested, in order. */
  readonly requests: string[];
  /** Number of requests for a newer configuration. */
  readonly counts: { newer: number };
  readonly stop: () => Promise<void>;
}

function startFixture(): IFixture {
  const clock = new ManualClock();
  const log = createSilentLogger();
  const table = new FollowedTable<string>({ name: 't', clock, isSame: (a, b) => a === b });
  const announced = new AnnouncedVersions(clock);
  const monitor = new CopyMonitor({
    clock,
    log,
    tables: [table as FollowedTable<unknown>],
    getMaxAgeMs: () => MAX_AGE_MS,
    describeSources: () => ({}),
  });
  const requests: string[] = [];
  const counts = { newer: 0 };
  const requester = new UpdateRequester({
    clock,
    log,
    announced,
    monitor,
    listSources: () => ['a', 'b'],
    getNewerWaitMs: () => NEWER_WAIT_MS,
    sendRequest: (address) => requests.push(address),
    onWillRequestNewer: () => {
      counts.newer += 1;
    },
  });
  const end = new AbortController();
  const running = monitor.run(end.signal);
  const stop = async () => {
    requester.dispose();
    end.abort();
    await running;
  };
  return { announced, clock, counts, requests, stop, table };
}

test('a node with outdated copies asks one source after the other until they are current', async () => {
  // Guards against a node that waits for a follower that doesn't know of it, or that is outdated itself.
  const { clock, requests, stop, table } = startFixture();
  table.setAll({ version: 1, changes: [] }, clock.getMonotonicTime());
  await clock.advanceBy(MAX_AGE_MS - 1);
  assert.deepEqual(requests, []);
  await clock.advanceBy(400);
  assert.deepEqual(requests, ['a', 'b', 'a']);
  table.setAll({ version: 1, changes: [] }, clock.getMonotonicTime());
  await clock.advanceBy(1000);
  assert.equal(requests.length, 3);
  await stop();
});

test('a node asks less often while nobody sends it anything newer', async () => {
  // Guards against followers that are busy with requests while the store is out.
  const { clock, requests, stop, table } = startFixture();
  table.setAll({ version: 1, changes: [] }, clock.getMonotonicTime());
  await clock.advanceBy(MAX_AGE_MS + 20_000);
  assert.ok(requests.length <= 25, `${requests.length} requests in 20 s`);
  await stop();
});

test('a newer configuration is requested from a node that has it, unless it arrives by itself', async () => {
  // Guards against a node that knows of a newer configuration and waits for a follower that lacks it.
  const { announced, clock, counts, requests, stop } = startFixture();
  announced.recordApplied(4);
  announced.recordAnnounced(5, 'x');
  await clock.advanceBy(NEWER_WAIT_MS - 1);
  announced.recordApplied(5);
  await clock.advanceBy(1000);
  assert.deepEqual(requests, []);
  announced.recordAnnounced(6, 'x');
  announced.recordAnnounced(7, 'y');
  announced.recordAnnounced(6, 'z');
  await clock.advanceBy(NEWER_WAIT_MS + 200);
  assert.deepEqual(requests, ['y', 'y']);
  assert.equal(counts.newer, 2);
  announced.recordApplied(7);
  await clock.advanceBy(1000);
  assert.equal(requests.length, 2);
  await stop();
});

test('a follower sends on what it receives from other failure domains only', async () => {
  // Guards against two nodes of a failure domain that send each other the same updates without end.
  const clock = new ManualClock();
  const table = new FollowedTable<string>({ name: 't', clock, isSame: (a, b) => a === b });
  const state = { isFollower: true, announced: 0 };
  const forwarder = new DomainForwarder({
    clock,
    tables: [table as FollowedTable<unknown>],
    isFollower: () => state.isFollower,
    listPeers: () => ['peer'],
    announce: () => {
      state.announced += 1;
    },
  });
  forwarder.recordUpdate('peer');
  await clock.advanceBy(100);
  assert.equal(state.announced, 0);
  forwarder.recordUpdate('other');
  table.setAll({ version: 1, changes: [{ key: 'k', value: 'v' }] }, 0);
  await clock.advanceBy(100);
  assert.equal(state.announced, 1);
  table.setAll({ version: 2, changes: [{ key: 'k', value: 'w' }] }, 0);
  await clock.advanceBy(100);
  assert.equal(state.announced, 2);
  state.isFollower = false;
  forwarder.recordUpdate('other');
  await clock.advanceBy(100);
  assert.equal(state.announced, 2);
  forwarder.dispose();
});
