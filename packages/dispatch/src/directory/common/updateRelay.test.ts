import assert from 'node:assert/strict';
import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { ManualClock, createSilentLogger } from '@parsleymux/base';
import type { UpdateReceived } from '@parsleymux/schema';
import { FollowedChangesSchema, UpdateReceivedSchema, UpdateSchema } from '@parsleymux/schema';
import type { DatagramBody } from '../../grants/common/datagramChannel.js';
import { DatagramChannel } from '../../grants/common/datagramChannel.js';
import { makeCatalog } from '../../test/builders.js';
import { CatalogHistory } from './catalogHistory.js';
import { FollowedTable } from './followedTable.js';
import { NodeDirectory } from './nodeDirectory.js';
import { TableEncoder } from './tableEncoder.js';
import type { ITableSource } from './tableFetcher.js';
import { encodeChanges } from './tableMessages.js';
import { UpdateRelay } from './updateRelay.js';

const LIMIT_MS = 4500;
const ENCODER = new TableEncoder({ history: new CatalogHistory(), catalogTable: 'catalog' });
const PEERS = ['127.0.0.2:1', '127.0.0.3:1', '127.0.0.4:1', '127.0.0.5:1'];

class RecordingChannel extends DatagramChannel {
  override readonly address = '127.0.0.1:1';
  readonly sent: { readonly address: string; readonly body: DatagramBody }[] = [];

  override send(address: string, body: DatagramBody): void {
    this.sent.push({ address, body });
  }

  override setHandler(): void {
    // Tests call the handlers directly.
  }

  override dispose(): void {
    // Nothing is open.
  }
}

function confirm(sequence: bigint): UpdateReceived {
  return create(UpdateReceivedSchema, { sequence });
}

interface IFixture {
  readonly clock: ManualClock;
  readonly channel: RecordingChannel;
  readonly relay: UpdateRelay;
  readonly table: FollowedTable<unknown>;
  /** Names of the tables that were fetched. */
  readonly fetched: readonly string[];
}

function openFixture(): IFixture {
  const clock = new ManualClock();
  const channel = new RecordingChannel();
  const table = new FollowedTable<unknown>({ name: 't', clock, isSame: () => false });
  const fetched: string[] = [];
  const relay = new UpdateRelay({
    channel,
    clock,
    log: createSilentLogger(),
    statePort: 7201,
    tables: [table],
    encoder: ENCODER,
    listPeers: () => PEERS,
    fetchTable: ({ name }) => {
      fetched.push(name);
      return Promise.resolve();
    },
  });
  return { clock, channel, fetched, relay, table };
}

/** Announces updates at the interval of a follower. */
async function announceFor(ms: number, relay: UpdateRelay, clock: ManualClock): Promise<void> {
  for (let passedMs = 0; passedMs <= ms; passedMs += 900) {
    relay.announce();
    await clock.advanceBy(900);
  }
}

test('only a peer that confirms nothing is listed as silent', async () => {
  const { clock, relay } = openFixture();
  await announceFor(LIMIT_MS, relay, clock);
  for (const peer of PEERS.slice(1)) relay.handleUpdateReceived(peer, confirm(1n));
  assert.deepEqual(relay.listSilent(LIMIT_MS), [PEERS[0]]);
});

test('a node that receives no confirmations lists no peer as silent', async () => {
  // Guards against removing the registrations of a whole failure domain: a node that is partitioned from its
  // peers, but reaches the store, takes over as follower, and nobody confirms its updates.
  const { clock, relay } = openFixture();
  await announceFor(LIMIT_MS, relay, clock);
  assert.deepEqual(relay.listSilent(LIMIT_MS), []);
});

test('changes are sent in one datagram, and those too large for it are only announced', () => {
  const { channel, relay, table } = openFixture();
  table.setAll({ version: 1, changes: [] }, 0);
  table.apply(1, { version: 2, changes: [{ key: 'a', value: 'small' }] }, 0);
  relay.announce();
  table.apply(2, { version: 3, changes: [{ key: 'b', value: 'x'.repeat(20_000) }] }, 0);
  relay.announce();
  const updates = channel.sent.flatMap(({ body }) => (body.case === 'update' ? [body.value] : []));
  assert.equal(updates[0]?.changes[0]?.rows.length, 1);
  const last = updates[updates.length - 1]?.changes[0];
  assert.equal(last?.rows.length, 0);
  assert.equal(last.after, 3n);
});

test('an update that a peer did not confirm is repeated once', async () => {
  // Guards against nodes that read the store themselves because an update was lost and their copy gets too
  // old before the next one arrives.
  const { channel, clock, relay } = openFixture();
  relay.announce();
  for (const peer of PEERS.slice(1)) relay.handleUpdateReceived(peer, confirm(1n));
  await clock.advanceBy(400);
  const sent = channel.sent.map(({ address }) => address);
  assert.deepEqual(sent, [...PEERS, PEERS[0]]);
});

test('a peer gets only the changes since the update that it confirmed', () => {
  // Guards against peers that fetch whole tables several times a second when a few dozen targets register
  // within seconds, because all changes of the last five seconds don't fit into one update.
  const { channel, relay, table } = openFixture();
  table.setAll({ version: 1, changes: [] }, 0);
  table.apply(1, { version: 2, changes: [{ key: 'a', value: '1' }] }, 0);
  relay.announce();
  relay.handleUpdateReceived(PEERS[0]!, confirm(1n));
  table.apply(2, { version: 3, changes: [{ key: 'b', value: '2' }] }, 0);
  relay.announce();
  const sent = channel.sent.slice(PEERS.length).map(({ address, body }) => {
    const changes = body.case === 'update' ? body.value.changes[0] : undefined;
    return { address, after: changes?.after, keys: changes?.rows.map(({ key }) => key) };
  });
  assert.deepEqual(sent[0], { address: PEERS[0], after: 2n, keys: ['b'] });
  assert.deepEqual(sent[1], { address: PEERS[1], after: 1n, keys: ['a', 'b'] });
});

test('a node that becomes the follower again lists no peer as silent for the time in between', async () => {
  // Guards against removing registrations of live peers: they could not confirm any update while another
  // node was the follower and this one sent none.
  const { clock, relay } = openFixture();
  relay.announce();
  relay.handleUpdateReceived(PEERS[0]!, confirm(1n));
  await clock.advanceBy(LIMIT_MS + 1000);
  relay.announce();
  await clock.advanceBy(10);
  for (const peer of PEERS.slice(2)) relay.handleUpdateReceived(peer, confirm(2n));
  assert.deepEqual(relay.listSilent(LIMIT_MS), []);
});

test('a peer that read a restored table applies no changes or proofs of one that retains entries', () => {
  // Guards against accepting a revoked key on the proof of a follower that still has its revocation.
  const clock = new ManualClock();
  const fetched: string[] = [];
  const tables = [0, 1].map(() => {
    const isSame = (left: unknown, right: unknown) => left === right;
    return new FollowedTable<unknown>({
      name: 't',
      clock,
      isSame,
      restoreGrace: { missingMs: 2000, removedMs: 6000 },
    });
  });
  const [follower, peer] = tables as [FollowedTable<unknown>, FollowedTable<unknown>];
  const key = { key: 'a', value: 1 };
  follower.setAll({ era: 1, version: 8, changes: [key] }, 0);
  follower.apply(8, { era: 1, version: 9, changes: [{ key: 'a', value: undefined }] }, 0);
  for (const table of tables) table.setAll({ era: 2, version: 8, changes: [key] }, 0);
  assert.deepEqual(
    tables.map(({ era, isRetaining, version }) => [era, version, isRetaining]),
    [
      [2, 8, true],
      [2, 8, false],
    ],
  );
  const relay = new UpdateRelay({
    channel: new RecordingChannel(),
    clock,
    log: createSilentLogger(),
    statePort: 7201,
    tables: [peer],
    encoder: ENCODER,
    listPeers: () => PEERS,
    fetchTable: (table) => {
      fetched.push(table.name);
      return Promise.resolve();
    },
  });
  const encoded = encodeChanges('t', 8, follower.listRecent(8).content);
  const changes = [create(FollowedChangesSchema, { ...encoded, proofAgeMs: 0 })];
  relay.handleUpdate(PEERS[0]!, create(UpdateSchema, { sequence: 1n, changes, statePort: 1 }));
  assert.deepEqual(fetched, ['t']);
  assert.equal(peer.getProofAgeMs(), Infinity);
});

test('a peer that a follower wrongly takes for up to date fetches the table', () => {
  // Guards against rows that stay outdated because the peer confirmed a former process's update of this number.
  const follower = openFixture();
  follower.table.setAll({ version: 5, changes: [{ key: 'a', value: 'changed' }] }, 0);
  follower.relay.announce();
  follower.relay.handleUpdateReceived(PEERS[0]!, confirm(1n));
  follower.table.apply(5, { version: 6, changes: [{ key: 'b', value: 'added' }] }, 0);
  follower.relay.announce();
  const update = follower.channel.sent.flatMap(({ address, body }) => {
    return address === PEERS[0] && body.case === 'update' ? [body.value] : [];
  })[1]!;
  assert.equal(update.changes[0]?.after, 5n);
  const peer = openFixture();
  peer.table.setAll({ version: 3, changes: [{ key: 'a', value: 'former' }] }, 0);
  peer.relay.handleUpdate('127.0.0.1:1', update);
  assert.deepEqual(peer.fetched, ['t']);
  assert.equal(peer.table.version, 3, 'the change is not applied to an incomplete copy');
});

test('a newer configuration is fetched whole although this copy is of a later state', async () => {
  // Guards against a node that refuses all requests as outdated, because a read has skipped the change.
  const { channel, clock } = openFixture();
  const directory = new NodeDirectory(clock);
  const sources: ITableSource[] = [];
  const relay = new UpdateRelay({
    channel,
    clock,
    log: createSilentLogger(),
    statePort: 7201,
    tables: directory.listTables(),
    encoder: directory.encoder,
    listPeers: () => PEERS,
    fetchTable: (_table, source) => {
      sources.push(source);
      return Promise.resolve();
    },
  });
  directory.catalog.setAll(
    { version: 150, changes: [{ key: 'config', value: makeCatalog(4, []) }] },
    clock.getMonotonicTime(),
  );
  const changes = [encodeChanges('catalog', 140, { version: 140, changes: [] })];
  const handleUpdate = (catalogVersion: bigint) => {
    const update = create(UpdateSchema, { sequence: 1n, changes, statePort: 7202, catalogVersion });
    relay.handleUpdate('127.0.0.9:1', update);
  };
  handleUpdate(4n);
  assert.deepEqual(sources, []);
  handleUpdate(5n);
  await clock.advanceBy(10);
  assert.deepEqual(sources, [{ stateAddress: '127.0.0.9:7202', isWhole: true }]);
});
