import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock, SeededRandom, createSilentLogger } from '@parsleymux/base';
import type { DatagramBody } from '../../grants/common/datagramChannel.js';
import { DatagramChannel } from '../../grants/common/datagramChannel.js';
import type { IMember, ITableChanges } from '../common/authority.js';
import { Authority, AuthorityTable, StoreCallError, StoreFailure } from '../common/authority.js';
import { NodeDirectory } from '../common/nodeDirectory.js';
import { UnavailableTransport } from '../../test/unavailableTransport.js';
import { DirectoryService } from './directoryService.js';

const SELF: IMember = {
  capacity: 1,
  address: '127.0.0.1:1',
  failureDomain: 'north',
  stateAddress: '127.0.0.1:2',
  incarnation: 1,
};

/** Counts reads; reads of changes stay pending until they are aborted. */
class CountingTable<T> extends AuthorityTable<T> {
  override readonly malformedRows = 0;
  reads = 0;
  changeReads = 0;

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
    this.changeReads += 1;
    return new Promise((_, reject) => {
      signal.addEventListener('abort', () => {
        reject(new StoreCallError(StoreFailure.Reset, 'aborted'));
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
    transport: new UnavailableTransport(),
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
  assert.notEqual(computeRank(directory), 0);
  const running = service.run(stop.signal);
  await clock.advanceBy(100);
  stop.abort();
  await running;
  const hellos = channel.sent.filter((body) => body.case === 'hello').length;
  return { reads: authority.catalog.reads + authority.targets.reads, hellos };
}

/** The first follower always reads, so the test requires that this node isn't the first. */
function computeRank(directory: NodeDirectory): number {
  directory.members.setAll(makeMembers(), 0);
  const rank = directory.rankFollowers(SELF.failureDomain).indexOf(SELF.address);
  directory.members.setAll({ version: 0, changes: [] }, 0);
  return rank;
}

test('a restarted node reads immediately, nodes of a new fleet first send a hello to followers', async () => {
  // Guards against rejecting callers for some 0.2 s after all nodes restart, because each node waits for
  // followers that have just started too.
  assert.deepEqual(await countEarlyReads(false), { reads: 2, hellos: 0 });
  assert.deepEqual(await countEarlyReads(true), { reads: 0, hellos: 2 });
});

test('a node of a new fleet registers once, before it reads the list of members', async () => {
  // Guards against needless calls to the store. With a list read before anyone registered, nodes have no
  // follower and read every table themselves; and because they aren't on it, they register again.
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

test('a node of a new fleet waits longer for updates than a restarted node', async () => {
  // Guards against many nodes that each read all tables: while the nodes of a new fleet register, followers
  // change with each registration, and copies get older than usual.
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
    return authority.targets.changeReads;
  };
  assert.equal(await countReads(true), 0);
  assert.equal(await countReads(false), 1);
  // Once callers send requests, the usual limit applies. Otherwise a draining target gets requests for more
  // than 2 s when the follower is partitioned.
  assert.equal(await countReads(true, true), 1);
});

test('a node that shuts down does not register again after it removed its registration', async () => {
  // Guards against grant requests to a stopping home: its check for a registration that another node
  // removed must not apply to one that it removed itself.
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

test('a node missing from a restored store registers again and keeps its member list', async () => {
  // Guards against a home that receives no grant requests because the restored store lacks its row.
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
