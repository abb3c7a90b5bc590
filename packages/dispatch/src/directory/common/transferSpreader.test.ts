import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock } from '@parsleymux/base';
import { TransferSpreader } from './transferSpreader.js';

const STATE = { table: 'catalog', state: '1' };
const BYTES = 60_000;
/** Links of 10 and 200 Mbit/s. */
const SLOW_BYTES_PER_MS = 1250;
const FAST_BYTES_PER_MS = 25_000;

/** Lets peers request a table at the same moment; returns the nodes to which they were redirected. */
function requestAll(spreader: TransferSpreader, peers: readonly string[], state = STATE) {
  return peers.flatMap((peer) => {
    const other = spreader.findOther(state, peer, BYTES);
    if (other === undefined) spreader.recordTransfer(state, peer, BYTES);
    return other ?? [];
  });
}

function listPeers(count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `peer-${index}`);
}

test('a node with a slow link redirects to the nodes that it sent the table, evenly', () => {
  const clock = new ManualClock();
  const spreader = new TransferSpreader({ clock, bytesPerMs: SLOW_BYTES_PER_MS });
  const redirected = requestAll(spreader, listPeers(36));
  assert.equal(redirected.length, 33);
  for (const peer of listPeers(3)) {
    assert.equal(redirected.filter((other) => other === peer).length, 11);
  }
});

test('a node with a fast link sends to all', () => {
  const clock = new ManualClock();
  const spreader = new TransferSpreader({ clock, bytesPerMs: FAST_BYTES_PER_MS });
  assert.deepEqual(requestAll(spreader, listPeers(36)), []);
});

test('a node is not redirected to one that has only an earlier state', () => {
  const clock = new ManualClock();
  const spreader = new TransferSpreader({ clock, bytesPerMs: SLOW_BYTES_PER_MS });
  requestAll(spreader, listPeers(36));
  assert.equal(spreader.findOther({ table: 'catalog', state: '2' }, 'peer-9', BYTES), undefined);
});

test('a node is not redirected to itself, and not once the link is free again', async () => {
  const clock = new ManualClock();
  const spreader = new TransferSpreader({ clock, bytesPerMs: SLOW_BYTES_PER_MS });
  requestAll(spreader, listPeers(4));
  assert.notEqual(spreader.findOther(STATE, 'peer-0', BYTES), 'peer-0');
  await clock.advanceBy(1000);
  assert.equal(spreader.findOther(STATE, 'peer-9', BYTES), undefined);
});

test('transfers of another table do not change who has this one', () => {
  // Guards against a follower that sends to all nodes itself because they fetch two tables at the same time.
  const clock = new ManualClock();
  const spreader = new TransferSpreader({ clock, bytesPerMs: SLOW_BYTES_PER_MS });
  requestAll(spreader, listPeers(4));
  spreader.recordTransfer({ table: 'targets', state: '1' }, 'peer-9', BYTES);
  assert.notEqual(spreader.findOther(STATE, 'peer-8', BYTES), undefined);
});
