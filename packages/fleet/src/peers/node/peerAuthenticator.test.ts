import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock } from '@parsleymux/base';
import { PeerAuthenticator } from './peerAuthenticator.js';

const OLD_KEY = Buffer.alloc(32, 1);
const NEW_KEY = Buffer.alloc(32, 2);

function makePair(senderKeys: readonly Uint8Array[], receiverKeys: readonly Uint8Array[]) {
  const clock = new ManualClock({ startMs: 1_700_000_000_000 });
  const sender = new PeerAuthenticator({ keys: senderKeys, clock, selfAddress: 'a:1' });
  const receiver = new PeerAuthenticator({ keys: receiverKeys, clock, selfAddress: 'b:1' });
  return { clock, sender, receiver };
}

test('a proof is valid for its receiver, its path and a bounded time', async () => {
  const { clock, sender, receiver } = makePair([OLD_KEY], [OLD_KEY]);
  const proof = sender.makeProof('b:1', '/hop');
  assert.ok(receiver.verifyProof(proof, '/hop'));
  assert.ok(!receiver.verifyProof(proof, '/other'));
  assert.ok(!sender.verifyProof(proof, '/hop'));
  await clock.advanceBy(60_001);
  assert.ok(!receiver.verifyProof(proof, '/hop'));
});

test('missing and malformed proofs and those of another key are refused', () => {
  const { receiver } = makePair([OLD_KEY], [OLD_KEY]);
  const foreign = makePair([NEW_KEY], []).sender.makeProof('b:1', '/hop');
  for (const proof of [undefined, '', 'x', '1700000000000', '1700000000000 zz', '-1 00', foreign]) {
    assert.ok(!receiver.verifyProof(proof, '/hop'), String(proof));
  }
});

test('the key can be replaced node by node', () => {
  const { sender, receiver } = makePair([NEW_KEY, OLD_KEY], [OLD_KEY, NEW_KEY]);
  assert.ok(receiver.verifyProof(sender.makeProof('b:1', '/hop'), '/hop'));
});

test('a key that is too short is refused at start', () => {
  assert.throws(() => makePair([Buffer.alloc(4)], []), /at least 16 bytes/);
});
