import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { Socket } from 'node:net';
import { connect } from 'node:net';
import type { TestContext } from 'node:test';
import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import {
  createSilentLogger,
  Emitter,
  InvariantRegistry,
  parseEndpoint,
  ResultCode,
  RunState,
  SystemClock,
} from '@parsleymux/base';
import type { IFleetConfigChange } from '@parsleymux/config';
import { ConfigService } from '@parsleymux/config';
import type { ResponseBody, IResponse } from '@parsleymux/routing';
import { LimitsSchema, MemberConfigSchema, TimingSchema } from '@parsleymux/schema';
import { NodeStage, NodeState } from '../../app/common/nodeState.js';
import { NodeMetrics } from '../../metrics/node/nodeMetrics.js';
import type { HomeRouter } from '../common/homeRouter.js';
import { CallerServer } from './callerServer.js';

const HOST = 'survey.example';
const STALL_MS = 300;
const LARGE_BYTES = 64 * 1024 * 1024;

class FixedConfig extends ConfigService {
  readonly onDidChange = new Emitter<IFleetConfigChange>().onDidFire;

  override getCurrent() {
    const member = create(MemberConfigSchema, {
      member: 'm',
      intent: {
        member: 'm',
        routes: [
          {
            name: 'r',
            host: HOST,
            pathPrefix: '/',
            service: 's',
            idempotent: true,
            deadlineMs: 10_000,
          },
        ],
      },
    });
    return { fleetRevision: 1, members: new Map([['m', member]]) };
  }
}

interface IFixture {
  readonly state: NodeState;
  /** The signals of the requests that were passed on. */
  readonly signals: readonly AbortSignal[];
  openCaller(version?: string, connection?: string): Promise<Socket>;
}

async function openFixture(
  t: TestContext,
  makeBody: () => ResponseBody | Promise<ResponseBody>,
  stage: NodeStage = NodeStage.Serving,
): Promise<IFixture> {
  const state = new NodeState();
  state.setStage(stage);
  const signals: AbortSignal[] = [];
  const serve = async (_request: unknown, signal: AbortSignal): Promise<IResponse> => {
    signals.push(signal);
    const head = { status: 200, headers: [], code: ResultCode.Ok, runState: RunState.Ran };
    return { ...head, body: await makeBody() };
  };
  const server = new CallerServer({
    clock: new SystemClock(),
    config: new FixedConfig(),
    router: { serve } as unknown as HomeRouter,
    state,
    metrics: new NodeMetrics({
      invariants: new InvariantRegistry(),
      state,
      log: createSilentLogger(),
    }),
    limits: create(LimitsSchema, {
      headerBytes: 16_384,
      callerConnections: 100,
      requestBodyBytes: 1000,
      requestsInHand: 100,
      requestBytesInHand: 100_000,
    }),
    timing: create(TimingSchema, {
      defaultDeadlineMs: 10_000,
      callerHeaderMs: 10_000,
      callerRequestMs: 10_000,
      callerStallMs: STALL_MS,
    }),
    isIsolated: () => false,
  });
  const { host, port } = parseEndpoint(await server.listen('127.0.0.1:0'));
  const sockets: Socket[] = [];
  t.after(async () => {
    for (const socket of sockets) socket.destroy();
    await server.dispose();
  });
  return {
    state,
    signals,
    openCaller: async (version = '1.1', connection = 'close') => {
      const socket = connect({ host, port });
      sockets.push(socket);
      await once(socket, 'connect');
      socket.write(`GET / HTTP/${version}\r\nHost: ${HOST}\r\nConnection: ${connection}\r\n\r\n`);
      return socket;
    },
  };
}

async function readToEnd(socket: Socket): Promise<string> {
  let text = '';
  socket.on('data', (chunk: Buffer) => (text += chunk.toString('latin1')));
  socket.on('error', () => undefined);
  await once(socket, 'close');
  return text;
}

async function waitUntilIdle(state: NodeState): Promise<void> {
  await state.waitUntilIdle(new AbortController().signal);
}

test('a caller that does not read its response is disconnected, and its memory is released', async (t) => {
  // Guards against a node whose memory grows and whose shutdown never ends. It arises when callers
  // request large responses and stop reading, and a write waits for its reader without a time limit.
  const fixture = await openFixture(t, () => Buffer.alloc(LARGE_BYTES));
  const socket = await fixture.openCaller();
  socket.pause();
  while (fixture.state.getInFlight() === 0) await new Promise((resolve) => setImmediate(resolve));
  await waitUntilIdle(fixture.state);
  const text = await readToEnd(socket.resume());
  assert.ok(text.length < LARGE_BYTES);
});

test('a caller that reads slowly but steadily gets its complete response', async (t) => {
  const fixture = await openFixture(t, () => Buffer.alloc(8 * 1024 * 1024, 'x'));
  const socket = await fixture.openCaller();
  let received = 0;
  socket.on('data', (chunk: Buffer) => {
    received += chunk.length;
    socket.pause();
    setTimeout(() => socket.resume(), 5);
  });
  while (received < 8 * 1024 * 1024) await once(socket, 'data');
  assert.ok(received > 8 * 1024 * 1024);
});

test('a streamed response whose source fails is visibly truncated', async (t) => {
  // Guards against a caller that accepts a truncated list as complete. It arises when the target's
  // connection breaks after the head was sent, and the response is ended normally: that writes the last
  // chunk, which marks a chunked body as complete.
  const fixture = await openFixture(t, async function* () {
    yield Buffer.from('half');
    // Leaves time for the head and the first half to reach the caller.
    await new Promise((resolve) => setTimeout(resolve, 50));
    throw new Error('the source failed');
  });
  const text = await readToEnd(await fixture.openCaller());
  assert.match(text, /^HTTP\/1\.1 200 /);
  assert.match(text, /half/);
  assert.doesNotMatch(text, /\r\n0\r\n\r\n$/);
});

test('a streamed response to HTTP/1.0 is refused, since its end looks like a truncation', async (t) => {
  const fixture = await openFixture(t, async function* () {
    yield Buffer.from('half');
    await Promise.resolve();
  });
  const text = await readToEnd(await fixture.openCaller('1.0'));
  assert.match(text, /parsleymux-result: 3006/);
  assert.match(text, /parsleymux-run-state: ran/);
});

test('a source that pauses beyond the stall limit of callers is not treated as a stalled caller', async (t) => {
  // Guards against truncated responses of slow targets whose callers read immediately. It arises when a
  // target pauses between two parts, and the limit on an idle connection does not distinguish a pause of
  // the target from one of the caller.
  const fixture = await openFixture(t, async function* () {
    yield Buffer.from('first');
    await new Promise((resolve) => setTimeout(resolve, STALL_MS * 3));
    yield Buffer.from('second');
  });
  const text = await readToEnd(await fixture.openCaller());
  assert.match(text, /first[^]*second[^]*\r\n0\r\n\r\n$/);
});

test('a streamed response is read from its source only as fast as the caller reads', async (t) => {
  let bytesRead = 0;
  const chunk = Buffer.alloc(64 * 1024);
  const fixture = await openFixture(t, async function* () {
    while (bytesRead < LARGE_BYTES) {
      bytesRead += chunk.length;
      yield chunk;
      await Promise.resolve();
    }
  });
  const socket = await fixture.openCaller();
  socket.pause();
  while (fixture.state.getInFlight() === 0) await new Promise((resolve) => setImmediate(resolve));
  // The caller reads nothing, so the node disconnects it; until then it must not have read everything.
  await waitUntilIdle(fixture.state);
  assert.ok(bytesRead < LARGE_BYTES / 2, `${bytesRead} bytes were read from the source`);
});

test('a node without configuration responds "not ready" instead of "unknown host"', async (t) => {
  // Guards against a 404 for an existing host during a rolling replacement. It arises when a lagging
  // balancer sends callers to a node that has just opened its port and whose route table is still empty.
  const fixture = await openFixture(t, () => Buffer.alloc(1), NodeStage.Starting);
  const text = await readToEnd(await fixture.openCaller());
  assert.match(text, /^HTTP\/1\.1 503 /);
  assert.match(text, new RegExp(`parsleymux-result: ${ResultCode.NotReady}\r\n`));
  assert.match(text, /retry-after: 1\r\n/);
});

test(
  'all requests of a connection end when their caller leaves',
  { timeout: 10_000 },
  async (t) => {
    // Guards against requests behind the first one that go on and hold their member's share for ever.
    const released = new AbortController();
    const fixture = await openFixture(t, async function* () {
      yield Buffer.from('half');
      await once(released.signal, 'abort');
    });
    const socket = await fixture.openCaller('1.1', 'keep-alive');
    socket.write(`GET / HTTP/1.1\r\nHost: ${HOST}\r\n\r\n`.repeat(2));
    while (fixture.signals.length < 3) await new Promise((resolve) => setImmediate(resolve));
    socket.destroy();
    while (fixture.signals[0]?.aborted !== true)
      await new Promise((resolve) => setImmediate(resolve));
    assert.deepEqual(
      fixture.signals.map(({ aborted }) => aborted),
      [true, true, true],
    );
    released.abort();
    await waitUntilIdle(fixture.state);
  },
);

test('a shutdown cuts no request behind another one', { timeout: 10_000 }, async (t) => {
  // Guards against a response that closes the connection while a request behind it is at work.
  const releases: (() => void)[] = [];
  const fixture = await openFixture(t, async () => {
    await new Promise<void>((resolve) => releases.push(resolve));
    return Buffer.from('complete');
  });
  const next = `GET / HTTP/1.1\r\nHost: ${HOST}\r\n\r\n`;
  const socket = await fixture.openCaller('1.1', 'keep-alive');
  socket.write(next);
  while (fixture.signals.length < 2) await new Promise((resolve) => setImmediate(resolve));
  fixture.state.setStage(NodeStage.ShuttingDown);
  socket.write(next);
  const end = readToEnd(socket);
  // Leaves time for the third request to arrive.
  await new Promise((resolve) => setTimeout(resolve, 50));
  for (const release of releases.reverse()) {
    release();
    await new Promise((resolve) => setImmediate(resolve));
  }
  const [, first, second, ...others] = (await end).split('HTTP/1.1 200 ');
  assert.match(first ?? '', /connection: keep-alive[^]*complete/i);
  assert.match(second ?? '', /connection: close[^]*complete/i);
  assert.deepEqual(others, []);
  assert.equal(fixture.signals.length, 2, 'the request behind the close is not passed on');
});
