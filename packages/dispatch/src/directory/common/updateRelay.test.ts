import assert from 'node:assert/strict';
import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { ManualClock, createSilentLogger } from '@parsleymux/base';
import type { UpdateReceived } from '@parsleymux/schema';
import { FollowedChangesSchema, UpdateReceivedSchema, UpdateSchema } from '@parsleymux/schema';
import type { DatagramBody } from '../../grants/common/datagramChannel.js';
import { DatagramChannel } from '../../grants/common/datagramChannel.js';
import { FollowedTable } from './followedTable.js';
import { encodeChanges } from './tableMessages.js';
import { UpdateRelay } from './updateRelay.js';

const LIMIT_MS = 4500;
const PEERS = ['127.0.0.2:1', '127.0.0.3:1', '127.0.0.4:1', '127.0.0.5:1'];

class RecordingChannel extends DatagramChannel {
  override readonly address = '127.0.0.1:1';
  readonly sent: { readonly address: string; readonly body: DatagramBody }[] = [];

  override send(address: string, body: DatagramBody): void {
    this.sent.push({ address, body });
  }

  override setHandler(): void {
    // Tests hand messages over themselves.
  }

  override dispose(): void {
    // Nothing is open.
  }
}

function confirm(sequence: bigint): UpdateReceived {
  return create(UpdateReceivedSchema, { sequence });
}

interface IBench {
  readonly clock: ManualClock;
  readonly channel: RecordingChannel;
  readonly relay: UpdateRelay;
  readonly table: FollowedTable<unknown>;
}

function openBench(): IBench {
  const clock = new ManualClock();
  const channel = new RecordingChannel();
  const table = new FollowedTable<unknown>({ name: 't', clock, isSame: () => false });
  const relay = new UpdateRelay({
    channel,
    clock,
    log: createSilentLogger(),
    statePort: 7201,
    tables: [table],
    listPeers: () => PEERS,
    fetchTable: () => Promise.resolve(),
  });
  return { clock, channel, relay, table };
}

/** As a follower does: one update after the other. */
async function announceFor(ms: number, relay: UpdateRelay, clock: ManualClock): Promise<void> {
  for (let passedMs = 0; passedMs <= ms; passedMs += 900) {
    relay.announce();
    await clock.advanceBy(900);
  }
}

test('a peer that confirms nothing is silent, the others are not', async () => {
  const { clock, relay } = openBench();
  await announceFor(LIMIT_MS, relay, clock);
  for (const peer of PEERS.slice(1)) relay.handleUpdateReceived(peer, confirm(1n));
  assert.deepEqual(relay.listSilent(LIMIT_MS), [PEERS[0]]);
});

test('a node that hears nobody takes itself for cut off, not the others for gone', async () => {
  // Symptom: all nodes of a failure domain lose their registration at once, and their services
  // change homes. Sequence: one node is cut off from its peers but reaches the store; its copy gets
  // old, it takes over as follower, nobody confirms its updates. Cause: silence of all was taken for
  // the death of each.
  const { clock, relay } = openBench();
  await announceFor(LIMIT_MS, relay, clock);
  assert.deepEqual(relay.listSilent(LIMIT_MS), []);
});

test('changes reach a peer in one datagram, and those too large for it are only announced', () => {
  const { channel, relay, table } = openBench();
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

test('an update that a peer did not confirm is sent to it once more', async () => {
  // Symptom: with a hundred nodes, several times the calls of the followers reach the store.
  // Sequence: a datagram with an update is lost; before the next one comes, its receiver's copy is
  // older than it bears, and it reads the store itself. Cause: nothing repeated a lost update.
  const { channel, clock, relay } = openBench();
  relay.announce();
  for (const peer of PEERS.slice(1)) relay.handleUpdateReceived(peer, confirm(1n));
  await clock.advanceBy(400);
  const sent = channel.sent.map(({ address }) => address);
  assert.deepEqual(sent, [...PEERS, PEERS[0]]);
});

test('a peer gets only what is new since the update that it confirmed', () => {
  // Symptom: peers fetch whole tables several times a second, and read the store themselves when
  // their follower is too busy to serve them. Sequence: a few dozen targets register within seconds.
  // Cause: each update carried the changes of the last five seconds, and soon too many of them.
  const { channel, relay, table } = openBench();
  table.setAll({ version: 1, changes: [] }, 0);
  table.apply(1, { version: 2, changes: [{ key: 'a', value: '1' }] }, 0);
  relay.announce();
  relay.handleUpdateReceived(PEERS[0]!, confirm(1n));
  table.apply(2, { version: 3, changes: [{ key: 'b', value: '2' }] }, 0);
  relay.announce();
  const told = channel.sent.slice(PEERS.length).map(({ address, body }) => {
    const changes = body.case === 'update' ? body.value.changes[0] : undefined;
    return { address, after: changes?.after, keys: changes?.rows.map(({ key }) => key) };
  });
  assert.deepEqual(told[0], { address: PEERS[0], after: 2n, keys: ['b'] });
  assert.deepEqual(told[1], { address: PEERS[1], after: 1n, keys: ['a', 'b'] });
});

test('a node that was not the follower for a while takes nobody for gone when it is again', async () => {
  // Symptom: with a hundred nodes, dozens of registrations are removed and written again every
  // second, homes and followers change all the time. Sequence: a node follows for a moment at the
  // start, steps back, and takes over for a moment some seconds later. Cause: its peers had not
  // confirmed anything for so long, because it had not sent them anything.
  const { clock, relay } = openBench();
  relay.announce();
  relay.handleUpdateReceived(PEERS[0]!, confirm(1n));
  await clock.advanceBy(LIMIT_MS + 1000);
  relay.announce();
  await clock.advanceBy(10);
  for (const peer of PEERS.slice(2)) relay.handleUpdateReceived(peer, confirm(2n));
  assert.deepEqual(relay.listSilent(LIMIT_MS), []);
});

test('a peer that has read an older copy by itself takes neither changes nor proof of one that keeps more', () => {
  // Guards against an ended key that holds again by the proof of a follower which knows that it has ended.
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
