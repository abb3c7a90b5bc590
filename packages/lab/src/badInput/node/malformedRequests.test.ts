import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect } from 'node:net';
import { after, before, test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { ResultCode } from '@parsleymux/base';
import { parseTargetAddress } from '@parsleymux/routing';
import fc from 'fast-check';
import { LabWorld } from '../../processes/node/labWorld.js';
import {
  IDEMPOTENCY_KEY_LINE,
  SURVEY_HOST,
  REFUSED_REQUESTS,
  REFUSED_ON_ANY_PORT,
  SMUGGLING_REQUESTS,
  makeBookingRequest,
} from '../common/requestCases.js';
import type { IRawExchange } from './rawHttpClient.js';
import { sendRawRequest } from './rawHttpClient.js';

const FUZZ_SEED = 20260;
const FUZZ_RUNS = 150;

const CONNECTION_LIMIT = 40;

const world = new LabWorld({
  seed: 7,
  nodeCount: 2,
  nodeTiming: { callerHeaderMs: 1000, callerRequestMs: 2000, callerStallMs: 1000 },
  nodeLimits: { callerConnections: CONNECTION_LIMIT },
});
let address = '';

before(async () => {
  await world.start();
  await world.applyIntents();
  address = world.getNodes()[0]!.addresses.caller;
  await waitUntilServing();
});

after(() => world.dispose());

async function sendValidRequest(): Promise<IRawExchange> {
  return sendRawRequest(address, [
    `GET /survey HTTP/1.1\r\nHost: ${SURVEY_HOST}\r\nConnection: close\r\n\r\n`,
  ]);
}

async function waitUntilServing(): Promise<void> {
  for (;;) {
    const { statuses } = await sendValidRequest();
    if (statuses[0] === 200) return;
    await sleep(50);
  }
}

/** Checks that all nodes run, serve valid requests and have counted no invariant violation. */
async function assertNodesHealthy(): Promise<void> {
  assert.deepEqual((await sendValidRequest()).statuses, [200]);
  for (const node of world.getNodes()) {
    const metrics = (await node.fetchMetrics()) ?? '';
    assert.doesNotMatch(metrics, /^parsleymux_invariant_violations_total\{[^}]*\} [1-9]/m);
  }
  assert.equal(world.getNodes().length, 2);
}

for (const [name, code, request] of REFUSED_REQUESTS) {
  test(`${name}: rejected with ${code}, not run, and the nodes keep serving`, async () => {
    const exchange = await sendRawRequest(address, [request]);
    assert.deepEqual(exchange.results, [code], exchange.text);
    assert.deepEqual(exchange.runStates, ['not-run']);
    assert.ok(exchange.isClosedByNode);
    await assertNodesHealthy();
  });
}

for (const [name, request] of SMUGGLING_REQUESTS) {
  test(`request smuggling by ${name} is rejected and reaches no target`, async () => {
    // Guards against forwarding a request whose end is ambiguous. Another proxy on its path reads it
    // differently: a target executes a request that no caller sent, or a caller receives the response
    // to another caller's request.
    const exchange = await sendRawRequest(address, [request], { isHalfClosing: true });
    assert.deepEqual(exchange.results, [ResultCode.MalformedRequest], exchange.text);
    assert.deepEqual(exchange.runStates, ['not-run']);
    const executions = await world.fetchExecutions();
    assert.ok(!JSON.stringify(executions).includes('smuggled'));
    await assertNodesHealthy();
  });
}

for (const [name, code, request] of REFUSED_ON_ANY_PORT) {
  test(`${name} on the admin port: rejected with ${code}, and the nodes keep serving`, async () => {
    const exchange = await sendRawRequest(world.getNodes()[0]!.addresses.admin, [request]);
    assert.deepEqual(exchange.results, [code], exchange.text);
    await assertNodesHealthy();
  });
}

test('a chunked body is rejected as soon as it exceeds the limit', async () => {
  const chunk = `10000\r\n${'x'.repeat(0x10000)}\r\n`;
  const head = makeBookingRequest([IDEMPOTENCY_KEY_LINE, 'Transfer-Encoding: chunked']);
  const exchange = await sendRawRequest(address, [head, ...new Array<string>(20).fill(chunk)]);
  assert.deepEqual(exchange.results, [ResultCode.BodyTooLarge]);
  await assertNodesHealthy();
});

test('the error for garbage after a request is never taken for the response to that request', async () => {
  // Guards against reporting "not run" for a booking that runs: invalid bytes follow a request in
  // flight on the same connection, and the node writes the error for them first. Responses are
  // matched by order alone, so the caller takes that error for the response to its booking.
  const valid = makeBookingRequest(['Idempotency-Key: k-garbage', 'Content-Length: 0']);
  const exchange = await sendRawRequest(address, [valid, 'GARBAGE\r\n\r\n']);
  if (exchange.results[0] !== undefined) {
    assert.notEqual(exchange.results[0], ResultCode.MalformedRequest, exchange.text);
  }
  await assertNodesHealthy();
});

test('two pipelined requests on one connection are answered in order', async () => {
  const bad = `GET / HTTP/1.1\r\nHost: nobody.example\r\nConnection: close\r\n\r\n`;
  const good = `GET /survey HTTP/1.1\r\nHost: ${SURVEY_HOST}\r\n\r\n`;
  const exchange = await sendRawRequest(address, [good + bad]);
  assert.deepEqual(exchange.results, [ResultCode.Ok, ResultCode.UnknownHost]);
});

test('a caller cannot impersonate the fleet: its parsleymux headers are not forwarded', async () => {
  const lines = [
    'Parsleymux-Hop-Member: donautal',
    'Parsleymux-Result: 0',
    'Connection: close, idempotency-key',
    IDEMPOTENCY_KEY_LINE,
    'Content-Length: 0',
  ];
  const exchange = await sendRawRequest(address, [makeBookingRequest(lines)]);
  assert.deepEqual(exchange.results.length, 1);
  await assertNodesHealthy();
});

for (const [name, request] of [
  ['a header', `GET /survey HTTP/1.1\r\nHost: ${SURVEY_HOST}\r\nX: `],
  ['a body', makeBookingRequest([IDEMPOTENCY_KEY_LINE, 'Content-Length: 10'], 'half')],
] as const) {
  test(`${name} that never ends times out, and other callers are served meanwhile`, async () => {
    // Guards against an idle node that accepts no connections: callers open connections and never
    // complete a request, and without a timeout each of them holds its connection forever.
    const slow = Array.from({ length: CONNECTION_LIMIT / 2 }, () =>
      sendRawRequest(address, [request]),
    );
    await assertNodesHealthy();
    for (const exchange of await Promise.all(slow)) {
      assert.deepEqual(exchange.results, [ResultCode.RequestTimeout], exchange.text);
      assert.deepEqual(exchange.runStates, ['not-run']);
    }
    await assertNodesHealthy();
  });
}

test('connections above the limit are rejected with a result code, and the others are served', async () => {
  const sockets = await Promise.all(
    Array.from({ length: CONNECTION_LIMIT }, async () => {
      const socket = connect(parseTargetAddress(address));
      await once(socket, 'connect');
      return socket;
    }),
  );
  const refused = await sendValidRequest();
  assert.deepEqual(refused.results, [ResultCode.TooManyConnections]);
  assert.match(refused.text, /^retry-after: \d+/im);
  const [first] = sockets;
  first!.write(`GET /survey HTTP/1.1\r\nHost: ${SURVEY_HOST}\r\nConnection: close\r\n\r\n`);
  const [chunk] = (await once(first!, 'data')) as [Buffer];
  assert.match(chunk.toString(), /^HTTP\/1\.1 200 /);
  const closed = sockets.slice(1).map((socket) => once(socket, 'close'));
  for (const socket of sockets) socket.destroy();
  await Promise.all(closed);
  await waitUntilServing();
  await assertNodesHealthy();
});

test('randomly mutated requests never crash a node or affect other callers', async () => {
  const base = makeBookingRequest(
    [IDEMPOTENCY_KEY_LINE, 'Content-Length: 5', 'Accept: */*', 'Connection: close'],
    'hello',
  );
  const mutation = fc.record({
    at: fc.nat(base.length),
    removed: fc.nat(6),
    inserted: fc.string({ unit: 'binary-ascii', maxLength: 6 }),
  });
  await fc.assert(
    fc.asyncProperty(fc.array(mutation, { minLength: 1, maxLength: 4 }), async (mutations) => {
      let text = base;
      for (const { at, removed, inserted } of mutations) {
        text = text.slice(0, at) + inserted + text.slice(at + removed);
      }
      const { results, statuses } = await sendRawRequest(address, [text], { isHalfClosing: true });
      // Every response has a result code; a connection may also close without a response.
      return results.length === statuses.length;
    }),
    { seed: FUZZ_SEED, numRuns: FUZZ_RUNS },
  );
  await assertNodesHealthy();
});
