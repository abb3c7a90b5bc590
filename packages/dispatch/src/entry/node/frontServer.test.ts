import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setImmediate } from 'node:timers/promises';
import { openFront, waitUntil } from '../../test/frontFixture.js';

test('a stopping node closes a connection on which another request always waits', async (t) => {
  // Guards against passing on requests until the node exits, which then cuts them.
  const { front, openCaller, transport } = await openFront(t);
  let received = 0;
  front.server.on('request', () => (received += 1));
  const caller = openCaller();
  caller.send('a');
  caller.send('b');
  await waitUntil(() => transport.sent.length === 2);
  front.connections.stop();
  transport.settle('a');
  await waitUntil(() => caller.responses.length === 1);
  caller.send('c');
  await waitUntil(() => received === 3);
  transport.settle('b');
  await waitUntil(() => caller.isClosed);
  assert.deepEqual(caller.responses, ['200 keep-alive a', '200 close b']);
  assert.deepEqual(transport.sent, ['a', 'b']);
});

test('a stopping node serves a request behind responses that could not announce the close', async (t) => {
  // Guards against a discarded request for which no earlier response tells the caller to send it again.
  const { front, openCaller, transport } = await openFront(t);
  const caller = openCaller();
  caller.send('a');
  caller.send('b');
  await waitUntil(() => transport.sent.length === 2);
  transport.settle('b');
  await setImmediate();
  front.connections.stop();
  caller.send('c');
  await waitUntil(() => transport.sent.length === 3);
  transport.settle('a');
  transport.settle('c');
  await waitUntil(() => caller.isClosed);
  assert.deepEqual(caller.responses, ['200 keep-alive a', '200 keep-alive b', '200 close c']);
});

test('a stopping node announces the close after an internal error too', async (t) => {
  // Guards against a caller that waits for the response to a discarded request.
  const { front, openCaller, selector } = await openFront(t);
  selector.failure = new Error('unexpected');
  front.connections.stop();
  const caller = openCaller();
  caller.send('a');
  caller.send('b');
  await waitUntil(() => caller.isClosed);
  assert.deepEqual(caller.responses, ['500 close']);
});
