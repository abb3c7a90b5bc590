import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock, SeededRandom, createSilentLogger } from '@parsleymux/base';
import type { DatagramBody } from '../../grants/common/datagramChannel.js';
import { DatagramChannel } from '../../grants/common/datagramChannel.js';
import type { IMember, ITableChanges } from '../common/authority.js';
import { Authority, AuthorityTable, StoreCallError, StoreFailure } from '../common/authority.js';
import { NodeDirectory } from '../common/nodeDirectory.js';
import { DirectoryService } from './directoryService.js';

const SELF: IMember = {
  capacity: 1,
  address: '127.0.0.1:1',
  failureDomain: 'north',
  stateAddress: '127.0.0.1:2',
  incarnation: 1,
};

/** Counts reads of the whole table; holds reads of changes until they are given up. */
class CountingTable<T> extends AuthorityTable<T> {
  override readonly malformedRows = 0;
  reads = 0;
  changesAsked = 0;

  constructor(private readonly content: ITableChanges<T>) {
    super();
  }

  override readAll(): Promise<ITableChanges<T>> {
    this.reads += 1;
    return Promise.resolve(this.content);
  }

  override readChanges(
    _after: number,
    _waitMs: number,
    signal: AbortSignal,
  ): Promise<ITableChanges<T>> {
    this.changesAsked += 1;
    return new Promise((_, reject) => {
      signal.addEventListener('abort', () => {
        reject(new StoreCallError(StoreFailure.Reset, 'given up'));
      });
    });
  }
}

function makeMembers(): ITableChanges<IMember> {
  const others = Array.from({ length: 9 }, (_, index) => `127.0.0.1:${index + 10}`);
  const changes = [SELF.address, ...others].map((address) => ({
    key: address,
    value: { ...SELF, address },
  }));
  return { version: 1, changes };
}

class CountingAuthority extends Authority {
  override readonly catalog = new CountingTable<never>({ version: 1, changes: [] });
  override readonly targets = new CountingTable<never>({ version: 1, changes: [] });
  override readonly members = new CountingTable<IMember>(makeMembers());

  registrations = 0;

  override putMember(): Promise<void> {
    this.registrations += 1;
    return Promise.resolve();
  }

  override removeMember(): Promise<void> {
    return Promise.resolve();
  }
}

class RecordingChannel extends DatagramChannel {
  override readonly address = SELF.address;
  readonly sent: DatagramBody[] = [];

  override send(_address: string, body: DatagramBody): void {
    this.sent.push(body);
  }

  override setHandler(): void {
    // Nothing arrives.
  }

  override dispose(): void {
    // Nothing is open.
  }
}

function startService(isFirstStart: boolean, hasReceivedRequests = false) {
  const clock = new ManualClock();
  const authority = new CountingAuthority();
  const channel = new RecordingChannel();
  const directory = new NodeDirectory(clock);
  const stop = new AbortController();
  const service = new DirectoryService({
    directory,
    authority,
    channel,
    clock,
    random: new SeededRandom(1),
    log: createSilentLogger(),
    self: SELF,
    isFirstStart,
    seeds: [],
    hasReceivedRequests: () => hasReceivedRequests,
  });
  return { authority, channel, clock, directory, service, stop };
}

async function countEarlyReads(isFirstStart: boolean): Promise<{ reads: number; hellos: number }> {
  const { authority, channel, clock, directory, service, stop } = startService(isFirstStart);
  assert.notEqual(makeRank(directory), 0);
  const running = service.run(stop.signal);
  await clock.advanceBy(100);
  stop.abort();
  await running;
  const hellos = channel.sent.filter((body) => body.case === 'hello').length;
  return { reads: authority.catalog.reads + authority.targets.reads, hellos };
}

/** The test says nothing if this node were the first follower, which always reads. */
function makeRank(directory: NodeDirectory): number {
  directory.members.setAll(makeMembers(), 0);
  const rank = directory.rankFollowers(SELF.failureDomain).indexOf(SELF.address);
  directory.members.setAll({ version: 0, changes: [] }, 0);
  return rank;
}

test('a node that starts again reads at once, the nodes of a new fleet ask a follower first', async () => {
  // Symptom: callers are refused for some 0.2 s after all nodes were restarted. Sequence: every
  // node asks followers first, which have only just started too. Cause: the wait for their news was
  // the same at the first start of a fleet, when no caller waits, and at any later one.
  assert.deepEqual(await countEarlyReads(false), { reads: 2, hellos: 0 });
  assert.deepEqual(await countEarlyReads(true), { reads: 0, hellos: 2 });
});

test('a node of a new fleet registers once, before it reads who else is there', async () => {
  // Symptom: the first seconds of 293 nodes cost 1,900 calls to the store in place of 1,100. Sequence:
  // all read the list of members before anybody is on it, so nobody tells them the news, and they
  // read every table themselves; a second later they miss themselves in that list and register again.
  // Cause: the list was read first, and a copy from before the registration was believed.
  const { authority, clock, service, stop } = startService(true);
  const running = service.run(stop.signal);
  while (authority.registrations === 0) {
    assert.equal(authority.members.reads, 0);
    await clock.advanceBy(10);
  }
  await clock.advanceBy(100);
  assert.equal(authority.members.reads, 1);
  await clock.advanceBy(1200);
  assert.equal(authority.registrations, 1);
  stop.abort();
  await running;
});

test('a node of a new fleet waits longer for the news than one that starts again', async () => {
  // Symptom: a third of the calls of the first 20 s come from 150 nodes that read three tables once
  // each. Sequence: the node that would tell them is another one with every node that registers; their
  // copies get older than they bear. Cause: the limit was that of a fleet whose callers wait.
  const countReads = async (isFirstStart: boolean, hasReceivedRequests = false) => {
    const { authority, clock, directory, service, stop } = startService(
      isFirstStart,
      hasReceivedRequests,
    );
    directory.members.setAll(makeMembers(), 0);
    for (const table of [directory.catalog, directory.targets]) {
      table.setAll({ version: 1, changes: [] }, 0);
    }
    const running = service.run(stop.signal);
    await clock.advanceBy(2500);
    stop.abort();
    await running;
    return authority.targets.changesAsked;
  };
  assert.equal(await countReads(true), 0);
  assert.equal(await countReads(false), 1);
  // Symptom: a leaving target gets bookings 2.1 s after the store accepted it. Sequence: callers come
  // 1.3 s after the start of a new fleet, and the node that tells theirs the news is cut off. Cause:
  // it waited as long as if nobody were there; its copy of the targets was 3.7 s old.
  assert.equal(await countReads(true, true), 1);
});

test('a node that leaves does not register again because it misses itself on the list', async () => {
  // Symptom: requests ask a home that is stopping, until it is gone. Sequence: a node that was told to
  // stop takes itself off the list; a second later it looks whether it is still listed. Cause: it took
  // itself for removed by another node, as after a cut, and registered again.
  const { authority, clock, directory, service, stop } = startService(false);
  const running = service.run(stop.signal);
  await clock.advanceBy(100);
  assert.equal(authority.registrations, 1);
  await service.retire(stop.signal);
  directory.members.setAll({ version: 2, changes: [] }, clock.getMonotonicTime());
  await clock.advanceBy(2500);
  assert.equal(authority.registrations, 1);
  stop.abort();
  await running;
});

test('a node that the store came back without registers again at once, and others stay on its list', async () => {
  // Guards against a home that nobody asks any more because the store has lost its row.
  const { authority, clock, directory, service, stop } = startService(false);
  const running = service.run(stop.signal);
  await clock.advanceBy(2000);
  const before = authority.registrations;
  const { changes } = makeMembers();
  directory.members.setAll({ era: 2, version: 0, changes: changes.slice(2) }, 2000);
  await clock.advanceBy(1500);
  assert.equal(authority.registrations, before + 1);
  assert.equal(directory.members.listValues().length, changes.length);
  stop.abort();
  await running;
});
