import assert from 'node:assert/strict';
import { EventEmitter, once } from 'node:events';
import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { createSilentLogger } from '@parsleymux/base';
import { HelloSchema, RetryUseSchema } from '@parsleymux/schema';
import { UdpChannel } from './udpChannel.js';

test('a datagram that cannot be encoded is counted and dropped', async () => {
  // Guards against the end of the process at a message with a number that its field can't hold.
  const sender = await UdpChannel.open('127.0.0.1:0', createSilentLogger());
  const receiver = await UdpChannel.open('127.0.0.1:0', createSilentLogger());
  try {
    const received = new EventEmitter();
    receiver.setHandler((_sender, body) => received.emit('datagram', body.case));
    const next = once(received, 'datagram');
    for (const partMs of [512.5, -1, 2 ** 32, NaN]) {
      const value = create(RetryUseSchema, { partMs });
      sender.send(receiver.address, { case: 'retryUse', value });
    }
    assert.equal(sender.counts.unsent, 4);
    sender.send(receiver.address, { case: 'hello', value: create(HelloSchema) });
    assert.deepEqual(await next, ['hello']);
  } finally {
    sender.dispose();
    receiver.dispose();
  }
});
