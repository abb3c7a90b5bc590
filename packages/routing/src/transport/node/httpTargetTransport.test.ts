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

function makeTextResponse(text: string): string {
  return `HTTP/1.1 200 OK\r\ncontent-length: ${text.length}\r\n\r\n${text}`;
}

function toText(body: unknown): string {
  assert.ok(body instanceof Uint8Array);
  return Buffer.from(body).toString();
}

async function waitUntil(isDone: () => boolean): Promise<void> {
  while (!isDone()) await new Promise((resolve) => setImmediate(resolve));
}

test('hop-by-hop headers are dropped in both directions, repeated headers are kept', async (t) => {
  const fixture = await openTransportFixture(t, ({ socket }) => {
    socket.write(
      'HTTP/1.1 200 OK\r\nConnection: keep-alive, x-private\r\nX-Private: 1\r\nSet-Cookie: a\r\n' +
        'Set-Cookie: b\r\nTransfer-Encoding: chunked\r\nParsleymux-Draining: true\r\n\r\n' +
        '3\r\nabc\r\n0\r\n\r\n',
    );
  });
  const response = await fixture.send({
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
  assert.deepEqual(response.headers, [
    ['set-cookie', 'a'],
    ['set-cookie', 'b'],
  ]);
  assert.equal(toText(response.body), 'abc');
  assert.equal(response.draining, true);
  assert.equal(response.notRun, false);
  const { head, body } = fixture.target.requests[0]!;
  assert.equal(body, 'hello');
  assert.match(head, /x-end: 2/i);
  assert.match(head, /host: booking\.example/i);
  assert.doesNotMatch(head, /x-hop|expect|transfer-encoding|999999/i);
  const timeoutMs = Number(/parsleymux-timeout-ms: ([0-9]+)/.exec(head)?.[1]);
  assert.ok(timeoutMs > 0 && timeoutMs <= 500);
});

test("a target's report that it did not run the request is passed on", async (t) => {
  const fixture = await openTransportFixture(t, ({ socket }) => {
    socket.write('HTTP/1.1 503 No\r\nparsleymux-run-state: not-run\r\ncontent-length: 0\r\n\r\n');
  });
  assert.equal((await fixture.send()).notRun, true);
});

test('connections are reused one request at a time, never between members', async (t) => {
  const fixture = await openTransportFixture(t, ({ socket }) =>
    socket.write(makeTextResponse('ok')),
  );
  await fixture.send();
  await fixture.send();
  assert.equal(fixture.target.connections, 1);
  await Promise.all([fixture.send(), fixture.send()]);
  assert.equal(fixture.target.connections, 2);
  await fixture.send({ member: 'other' });
  assert.equal(fixture.target.connections, 3);
  assert.equal(fixture.transport.getConnectionCount('other', fixture.target.address), 1);
});

test('a fresh connection is one that no request used before', async (t) => {
  const fixture = await openTransportFixture(t, ({ socket }) =>
    socket.write(makeTextResponse('ok')),
  );
  await fixture.send();
  await fixture.send({}, { freshConnection: true });
  assert.equal(fixture.target.connections, 2);
});

test('retired connections serve no further request, even when in use at that moment', async (t) => {
  const held: IRawRequest[] = [];
  const fixture = await openTransportFixture(t, (request) => held.push(request));
  const first = fixture.send();
  const second = fixture.send();
  await fixture.target.waitForRequests(2);
  held[0]!.socket.write(makeTextResponse('ok'));
  await first;
  fixture.transport.retireConnections('m', fixture.target.address);
  held[1]!.socket.write(makeTextResponse('ok'));
  assert.equal(toText((await second).body), 'ok');
  const third = fixture.send();
  await fixture.target.waitForRequests(3);
  assert.equal(held[2]!.connection, 2);
  held[2]!.socket.write(makeTextResponse('ok'));
  await third;
});

test('the connection limit holds; a fresh connection replaces the longest idle one', async (t) => {
  const held: IRawRequest[] = [];
  const fixture = await openTransportFixture(t, (request) => held.push(request), {
    getConnectionLimit: () => 1,
  });
  let dispatches = 0;
  const onDispatch = () => (dispatches += 1);
  const first = fixture.send({}, { onDispatch });
  await fixture.target.waitForRequests(1);
  const refused = await takeError(fixture.send({}, { onDispatch }));
  assert.equal(refused.failure, TransportFailure.NoConnection);
  assert.equal(refused.mayHaveRun, false);
  assert.equal(dispatches, 1);
  held[0]!.socket.write(makeTextResponse('ok'));
  await first;
  const second = fixture.send({}, { freshConnection: true });
  await fixture.target.waitForRequests(2);
  assert.equal(held[1]!.connection, 1);
  held[1]!.socket.write(makeTextResponse('ok'));
  await second;
  assert.equal(fixture.transport.getConnectionCount('m', fixture.target.address), 1);
});

test('a refused connection counts as certainly not run, and nothing is dispatched', async (t) => {
  const fixture = await openTransportFixture(t, () => undefined);
  const closed = createServer().listen(0, '127.0.0.1');
  await once(closed, 'listening');
  const { port } = closed.address() as AddressInfo;
  closed.close();
  let dispatches = 0;
  const error = await takeError(
    fixture.send({ target: `127.0.0.1:${port}` }, { onDispatch: () => (dispatches += 1) }),
  );
  assert.equal(error.failure, TransportFailure.Connect);
  assert.equal(error.mayHaveRun, false);
  assert.equal(dispatches, 0);
});

/** The system clock, plus the time for which the process was stopped. */
class PausedClock extends SystemClock {
  pauseMs = 0;

  override getMonotonicTime(): number {
    return super.getMonotonicTime() + this.pauseMs;
  }
}

test('a request whose deadline passed while the process was stopped is not dispatched', async (t) => {
  // Guards against a booking that runs long after an operator settled it as not run: the node takes
  // a connection, is stopped past the deadline and resumes, and the connection is ready before the
  // timers have fired. Timers alone do not enforce the deadline.
  const clock = new PausedClock();
  const fixture = await openTransportFixture(
    t,
    ({ socket }) => socket.write(makeTextResponse('ran')),
    {
      clock,
    },
  );
  let dispatches = 0;
  const sending = fixture.send({ timeoutMs: 1000 }, { onDispatch: () => (dispatches += 1) });
  clock.pauseMs = 900_000;
  const error = await takeError(sending);
  assert.equal(error.failure, TransportFailure.Timeout);
  assert.equal(error.mayHaveRun, false);
  assert.equal(dispatches, 0);
});

for (const method of ['GET', 'PUT', 'POST']) {
  for (const isReused of [false, true]) {
    test(`a ${method} whose connection breaks after the target read it is never resent (reused: ${isReused})`, async (t) => {
      // Guards against a booking that is executed twice though the node dispatched it once: the
      // target reads and executes the request, its connection breaks, and an HTTP client that
      // reconnects by itself resends requests that it considers safe.
      const fixture = await openTransportFixture(t, ({ socket, index }) => {
        if (isReused && index === 0) socket.write(makeTextResponse('ok'));
        else socket.destroy();
      });
      if (isReused) await fixture.send();
      const body = method === 'GET' ? Buffer.alloc(0) : Buffer.from('booking');
      const error = await takeError(fixture.send({ method, body }));
      assert.equal(error.failure, TransportFailure.Broken);
      assert.equal(error.mayHaveRun, true);
      assert.equal(error.reusedConnection, isReused);
      // A resent request would arrive before the response to this later one.
      await takeError(fixture.send({ path: '/later' }));
      assert.equal(fixture.target.requests.length, isReused ? 3 : 2);
    });
  }
}

test('cancelling closes the connection', async (t) => {
  const fixture = await openTransportFixture(t, () => undefined);
  const abort = new AbortController();
  const sent = takeError(fixture.send({}, { signal: abort.signal }));
  await fixture.target.waitForRequests(1);
  const [socket] = fixture.target.openSockets;
  const closed = once(socket!, 'close');
  abort.abort();
  const error = await sent;
  assert.equal(error.failure, TransportFailure.Cancelled);
  assert.equal(error.mayHaveRun, true);
  await closed;
  const early = await takeError(fixture.send({}, { signal: abort.signal }));
  assert.equal(early.mayHaveRun, false);
  assert.equal(fixture.target.requests.length, 1);
});

test('a response that arrives after the timeout does not reach the next request', async (t) => {
  // Guards against a caller that receives the response to another request: a request times out, the
  // next one uses the same connection, and then the response to the first arrives. HTTP/1.1 matches
  // responses to requests by order alone.
  const clock = new ManualClock();
  const held: IRawRequest[] = [];
  const fixture = await openTransportFixture(t, (request) => held.push(request), { clock });
  const first = takeError(fixture.send({ path: '/first', timeoutMs: 100 }));
  await fixture.target.waitForRequests(1);
  await clock.advanceBy(100);
  const error = await first;
  assert.equal(error.failure, TransportFailure.Timeout);
  assert.equal(error.mayHaveRun, true);
  const second = fixture.send({ path: '/second' });
  held[0]!.socket.write(makeTextResponse('response to first'));
  await fixture.target.waitForRequests(2);
  held[1]!.socket.write(makeTextResponse('response to second'));
  assert.equal(toText((await second).body), 'response to second');
});

test('a silent connection times out and is reported as reused; a fresh one works', async (t) => {
  // Guards against requests that hang though the target responds to others: an intermediary drops
  // an idle connection without a reset, so that only the missing response shows it, while new
  // connections work.
  const clock = new ManualClock();
  const fixture = await openTransportFixture(
    t,
    ({ socket, connection, index }) => {
      if (connection > 0 || index === 0) socket.write(makeTextResponse('ok'));
    },
    { clock },
  );
  await fixture.send();
  const silent = takeError(fixture.send({ timeoutMs: 100 }));
  await fixture.target.waitForRequests(2);
  await clock.advanceBy(100);
  const error = await silent;
  assert.equal(error.failure, TransportFailure.Timeout);
  assert.equal(error.reusedConnection, true);
  await fixture.send({}, { freshConnection: true });
  assert.equal(fixture.target.connections, 2);
});

test('no state is kept of a target whose last connection has closed', async (t) => {
  // Guards against memory and metrics that grow with every target that ever existed: plans add and
  // remove targets for weeks, and pools that are never removed accumulate.
  const registry = new Registry();
  const fixture = await openTransportFixture(
    t,
    ({ socket }) => socket.end(makeTextResponse('bye')),
    {
      registry,
    },
  );
  await fixture.send();
  await waitUntil(() => fixture.transport.getConnectionCount('m', fixture.target.address) === 0);
  assert.ok(!(await registry.metrics()).includes(`target="${fixture.target.address}"`));
});
