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

interface IBench {
  readonly state: NodeState;
  openCaller(version?: string): Promise<Socket>;
}

async function openBench(
  t: TestContext,
  makeBody: () => ResponseBody,
  stage: NodeStage = NodeStage.Serving,
): Promise<IBench> {
  const state = new NodeState();
  state.setStage(stage);
  const serve = (): Promise<IResponse> => {
    const answer = { status: 200, headers: [], code: ResultCode.Ok, runState: RunState.Ran };
    return Promise.resolve({ ...answer, body: makeBody() });
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
    openCaller: async (version = '1.1') => {
      const socket = connect({ host, port });
      sockets.push(socket);
      await once(socket, 'connect');
      socket.write(`GET / HTTP/${version}\r\nHost: ${HOST}\r\nConnection: close\r\n\r\n`);
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

test('a caller that reads nothing of its answer is cut, and its memory is free again', async (t) => {
  // Symptom: a node's memory grows with callers that read nothing, and it never finishes leaving.
  // Sequence: callers ask for large answers and stop reading; each answer waits in memory.
  // Cause: a write waits for its reader without any limit.
  const bench = await openBench(t, () => Buffer.alloc(LARGE_BYTES));
  const socket = await bench.openCaller();
  socket.pause();
  while (bench.state.getInFlight() === 0) await new Promise((resolve) => setImmediate(resolve));
  await waitUntilIdle(bench.state);
  const text = await readToEnd(socket.resume());
  assert.ok(text.length < LARGE_BYTES);
});

test('a caller that reads slowly but steadily gets its whole answer', async (t) => {
  const bench = await openBench(t, () => Buffer.alloc(8 * 1024 * 1024, 'x'));
  const socket = await bench.openCaller();
  let received = 0;
  socket.on('data', (chunk: Buffer) => {
    received += chunk.length;
    socket.pause();
    setTimeout(() => socket.resume(), 5);
  });
  while (received < 8 * 1024 * 1024) await once(socket, 'data');
  assert.ok(received > 8 * 1024 * 1024);
});

test('a streamed answer whose source breaks is cut visibly', async (t) => {
  // Symptom: a caller keeps half a cut list as if it were whole.
  // Sequence: the head of a streamed answer is out when the target's connection breaks.
  // Cause: ending the response in good order writes the mark of a whole chunked body.
  const bench = await openBench(t, async function* () {
    yield Buffer.from('half');
    // So that the head and the first half are with the caller.
    await new Promise((resolve) => setTimeout(resolve, 50));
    throw new Error('the source broke');
  });
  const text = await readToEnd(await bench.openCaller());
  assert.match(text, /^HTTP\/1\.1 200 /);
  assert.match(text, /half/);
  assert.doesNotMatch(text, /\r\n0\r\n\r\n$/);
});

test('a streamed answer to HTTP/1.0 is refused, for its end could not be told from a cut', async (t) => {
  const bench = await openBench(t, async function* () {
    yield Buffer.from('half');
    await Promise.resolve();
  });
  const text = await readToEnd(await bench.openCaller('1.0'));
  assert.match(text, /parsleymux-result: 3006/);
  assert.match(text, /parsleymux-run-state: ran/);
});

test('a source that pauses for longer than callers may is not taken for a caller that does', async (t) => {
  // Symptom: streamed answers of slow targets are cut though their callers read at once.
  // Sequence: the target sends the first part, works on, and sends the rest.
  // Cause: a limit on the connection's silence that does not ask whose silence it is.
  const bench = await openBench(t, async function* () {
    yield Buffer.from('first');
    await new Promise((resolve) => setTimeout(resolve, STALL_MS * 3));
    yield Buffer.from('second');
  });
  const text = await readToEnd(await bench.openCaller());
  assert.match(text, /first[^]*second[^]*\r\n0\r\n\r\n$/);
});

test('a streamed answer is read from its source only as fast as the caller reads', async (t) => {
  let taken = 0;
  const chunk = Buffer.alloc(64 * 1024);
  const bench = await openBench(t, async function* () {
    while (taken < LARGE_BYTES) {
      taken += chunk.length;
      yield chunk;
      await Promise.resolve();
    }
  });
  const socket = await bench.openCaller();
  socket.pause();
  while (bench.state.getInFlight() === 0) await new Promise((resolve) => setImmediate(resolve));
  // The caller reads nothing, so the node cuts it; until then it must not have taken all.
  await waitUntilIdle(bench.state);
  assert.ok(taken < LARGE_BYTES / 2, `${taken} bytes were taken from the source`);
});

test('a node without configuration says "not ready", and no host is unknown to it', async (t) => {
  // Symptom: during a rolling replacement some callers get 404 for a host that exists.
  // Sequence: a fresh node opens its port; a lagging balancer sends it callers at once.
  // Cause: an empty table of routes looked like one without the caller's host.
  const bench = await openBench(t, () => Buffer.alloc(1), NodeStage.Starting);
  const text = await readToEnd(await bench.openCaller());
  assert.match(text, /^HTTP\/1\.1 503 /);
  assert.match(text, new RegExp(`parsleymux-result: ${ResultCode.NotReady}\r\n`));
  assert.match(text, /retry-after: 1\r\n/);
});
