import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { ManualClock, SystemClock } from '@parsleymux/base';
import { Registry } from 'prom-client';
import { TransportError, TransportFailure } from '../common/targetTransport.js';
import type { IRawRequest } from '../test/rawTarget.js';
import { openTransportFixture } from '../test/transportFixture.js';

async function takeError(run: Promise<unknown>): Promise<TransportError> {
  const outcome: unknown = await run.catch((error: unknown) => error);
  assert.ok(outcome instanceof TransportError, `expected a TransportError, got ${String(outcome)}`);
  return outcome;
}

function answerText(text: string): string {
  return `HTTP/1.1 200 OK\r\ncontent-length: ${text.length}\r\n\r\n${text}`;
}

function toText(body: unknown): string {
  assert.ok(body instanceof Uint8Array);
  return Buffer.from(body).toString();
}

async function waitUntil(isDone: () => boolean): Promise<void> {
  while (!isDone()) await new Promise((resolve) => setImmediate(resolve));
}

test('hop-by-hop headers are dropped both ways, repeated headers are kept', async (t) => {
  const bench = await openTransportFixture(t, ({ socket }) => {
    socket.write(
      'HTTP/1.1 200 OK\r\nConnection: keep-alive, x-private\r\nX-Private: 1\r\nSet-Cookie: a\r\n' +
        'Set-Cookie: b\r\nTransfer-Encoding: chunked\r\nParsleymux-Draining: true\r\n\r\n' +
        '3\r\nabc\r\n0\r\n\r\n',
    );
  });
  const answer = await bench.send({
    method: 'POST',
    body: Buffer.from('hello'),
    headers: [
      ['connection', 'x-hop'],
      ['x-hop', '1'],
      ['transfer-encoding', 'chunked'],
      ['expect', '100-continue'],
      ['x-end', '2'],
      ['host', 'booking.example'],
      ['parsleymux-timeout-ms', '999999'],
    ],
    timeoutMs: 500,
  });
  assert.deepEqual(answer.headers, [
    ['set-cookie', 'a'],
    ['set-cookie', 'b'],
  ]);
  assert.equal(toText(answer.body), 'abc');
  assert.equal(answer.draining, true);
  assert.equal(answer.notRun, false);
  const { head, body } = bench.target.requests[0]!;
  assert.equal(body, 'hello');
  assert.match(head, /x-end: 2/i);
  assert.match(head, /host: booking\.example/i);
  assert.doesNotMatch(head, /x-hop|expect|transfer-encoding|999999/i);
  const timeoutMs = Number(/parsleymux-timeout-ms: ([0-9]+)/.exec(head)?.[1]);
  assert.ok(timeoutMs > 0 && timeoutMs <= 500);
});

test("a target's word that it did not run the request is passed on", async (t) => {
  const bench = await openTransportFixture(t, ({ socket }) => {
    socket.write('HTTP/1.1 503 No\r\nparsleymux-run-state: not-run\r\ncontent-length: 0\r\n\r\n');
  });
  assert.equal((await bench.send()).notRun, true);
});

test('connections are reused one request at a time, never between members', async (t) => {
  const bench = await openTransportFixture(t, ({ socket }) => socket.write(answerText('ok')));
  await bench.send();
  await bench.send();
  assert.equal(bench.target.connections, 1);
  await Promise.all([bench.send(), bench.send()]);
  assert.equal(bench.target.connections, 2);
  await bench.send({ member: 'other' });
  assert.equal(bench.target.connections, 3);
  assert.equal(bench.transport.getConnectionCount('other', bench.target.address), 1);
});

test('a fresh connection is one that no request used before', async (t) => {
  const bench = await openTransportFixture(t, ({ socket }) => socket.write(answerText('ok')));
  await bench.send();
  await bench.send({}, { freshConnection: true });
  assert.equal(bench.target.connections, 2);
});

test('retired connections serve no further request, also when in use at that moment', async (t) => {
  const held: IRawRequest[] = [];
  const bench = await openTransportFixture(t, (request) => held.push(request));
  const first = bench.send();
  const second = bench.send();
  await bench.target.waitForRequests(2);
  held[0]!.socket.write(answerText('ok'));
  await first;
  bench.transport.retireConnections('m', bench.target.address);
  held[1]!.socket.write(answerText('ok'));
  assert.equal(toText((await second).body), 'ok');
  const third = bench.send();
  await bench.target.waitForRequests(3);
  assert.equal(held[2]!.connection, 2);
  held[2]!.socket.write(answerText('ok'));
  await third;
});

test('the limit holds; a fresh connection takes the place of the longest idle one', async (t) => {
  const held: IRawRequest[] = [];
  const bench = await openTransportFixture(t, (request) => held.push(request), {
    getConnectionLimit: () => 1,
  });
  let dispatches = 0;
  const onDispatch = () => (dispatches += 1);
  const first = bench.send({}, { onDispatch });
  await bench.target.waitForRequests(1);
  const refused = await takeError(bench.send({}, { onDispatch }));
  assert.equal(refused.failure, TransportFailure.NoConnection);
  assert.equal(refused.mayHaveRun, false);
  assert.equal(dispatches, 1);
  held[0]!.socket.write(answerText('ok'));
  await first;
  const second = bench.send({}, { freshConnection: true });
  await bench.target.waitForRequests(2);
  assert.equal(held[1]!.connection, 1);
  held[1]!.socket.write(answerText('ok'));
  await second;
  assert.equal(bench.transport.getConnectionCount('m', bench.target.address), 1);
});

test('a refused connection is a certain "not run", and nothing was dispatched', async (t) => {
  const bench = await openTransportFixture(t, () => undefined);
  const closed = createServer().listen(0, '127.0.0.1');
  await once(closed, 'listening');
  const { port } = closed.address() as AddressInfo;
  closed.close();
  let dispatches = 0;
  const error = await takeError(
    bench.send({ target: `127.0.0.1:${port}` }, { onDispatch: () => (dispatches += 1) }),
  );
  assert.equal(error.failure, TransportFailure.Connect);
  assert.equal(error.mayHaveRun, false);
  assert.equal(dispatches, 0);
});

/** The machine's clock, with the time added that a process spent stopped. */
class PausedClock extends SystemClock {
  pauseMs = 0;

  override getMonotonicTime(): number {
    return super.getMonotonicTime() + this.pauseMs;
  }
}

test('a request whose deadline passed while the process was stopped is not dispatched', async (t) => {
  // Symptom: a booking runs long after an operator settled it as not run.
  // Sequence: the node takes a connection, is stopped past the deadline, and resumes; the
  // connection is ready before its timers have fired.
  // Cause: the deadline was enforced by timers alone.
  const clock = new PausedClock();
  const bench = await openTransportFixture(t, ({ socket }) => socket.write(answerText('ran')), {
    clock,
  });
  let dispatches = 0;
  const sending = bench.send({ timeoutMs: 1000 }, { onDispatch: () => (dispatches += 1) });
  clock.pauseMs = 900_000;
  const error = await takeError(sending);
  assert.equal(error.failure, TransportFailure.Timeout);
  assert.equal(error.mayHaveRun, false);
  assert.equal(dispatches, 0);
});

for (const method of ['GET', 'PUT', 'POST']) {
  for (const isReused of [false, true]) {
    test(`a ${method} that the target drops after reading is never sent again (reused: ${isReused})`, async (t) => {
      // Symptom: a booking is executed twice though the node dispatched it once.
      // Sequence: the target reads the request, executes it, and its connection breaks.
      // Cause: an HTTP client that reconnects by itself repeats requests it takes for safe.
      const bench = await openTransportFixture(t, ({ socket, index }) => {
        if (isReused && index === 0) socket.write(answerText('ok'));
        else socket.destroy();
      });
      if (isReused) await bench.send();
      const body = method === 'GET' ? Buffer.alloc(0) : Buffer.from('booking');
      const error = await takeError(bench.send({ method, body }));
      assert.equal(error.failure, TransportFailure.Broken);
      assert.equal(error.mayHaveRun, true);
      assert.equal(error.reusedConnection, isReused);
      // A request sent again would have to arrive before the answer to this later one.
      await takeError(bench.send({ path: '/later' }));
      assert.equal(bench.target.requests.length, isReused ? 3 : 2);
    });
  }
}

test('cancelling drops the connection', async (t) => {
  const bench = await openTransportFixture(t, () => undefined);
  const abort = new AbortController();
  const sent = takeError(bench.send({}, { signal: abort.signal }));
  await bench.target.waitForRequests(1);
  const [socket] = bench.target.openSockets;
  const closed = once(socket!, 'close');
  abort.abort();
  const error = await sent;
  assert.equal(error.failure, TransportFailure.Cancelled);
  assert.equal(error.mayHaveRun, true);
  await closed;
  const early = await takeError(bench.send({}, { signal: abort.signal }));
  assert.equal(early.mayHaveRun, false);
  assert.equal(bench.target.requests.length, 1);
});

test('an answer that arrives after the timeout does not reach the next request', async (t) => {
  // Symptom: a caller gets the answer to somebody else's request.
  // Sequence: a request times out; the next one goes over the same connection; then the answer
  // to the first arrives. Cause: HTTP/1.1 matches answers to requests by order alone.
  const clock = new ManualClock();
  const held: IRawRequest[] = [];
  const bench = await openTransportFixture(t, (request) => held.push(request), { clock });
  const first = takeError(bench.send({ path: '/first', timeoutMs: 100 }));
  await bench.target.waitForRequests(1);
  await clock.advanceBy(100);
  const error = await first;
  assert.equal(error.failure, TransportFailure.Timeout);
  assert.equal(error.mayHaveRun, true);
  const second = bench.send({ path: '/second' });
  held[0]!.socket.write(answerText('answer to first'));
  await bench.target.waitForRequests(2);
  held[1]!.socket.write(answerText('answer to second'));
  assert.equal(toText((await second).body), 'answer to second');
});

test('a silent connection times out as a reused one; a fresh one works', async (t) => {
  // Symptom: requests hang though the target answers others.
  // Sequence: something between the ends forgets an idle connection; new ones work.
  // Cause: no reset ever arrives, so only the absence of an answer tells.
  const clock = new ManualClock();
  const bench = await openTransportFixture(
    t,
    ({ socket, connection, index }) => {
      if (connection > 0 || index === 0) socket.write(answerText('ok'));
    },
    { clock },
  );
  await bench.send();
  const silent = takeError(bench.send({ timeoutMs: 100 }));
  await bench.target.waitForRequests(2);
  await clock.advanceBy(100);
  const error = await silent;
  assert.equal(error.failure, TransportFailure.Timeout);
  assert.equal(error.reusedConnection, true);
  await bench.send({}, { freshConnection: true });
  assert.equal(bench.target.connections, 2);
});

test('nothing is kept of a target whose last connection has closed', async (t) => {
  // Symptom: a node's memory and metrics grow with every target that ever was.
  // Sequence: targets are added and removed by plans for weeks. Cause: pools were never let go.
  const registry = new Registry();
  const bench = await openTransportFixture(t, ({ socket }) => socket.end(answerText('bye')), {
    registry,
  });
  await bench.send();
  await waitUntil(() => bench.transport.getConnectionCount('m', bench.target.address) === 0);
  assert.ok(!(await registry.metrics()).includes(`target="${bench.target.address}"`));
});
