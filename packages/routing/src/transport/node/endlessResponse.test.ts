import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import type { TestContext } from 'node:test';
import { test } from 'node:test';
import { MuxTargetProtocol } from '../common/targetProtocol.js';
import { TransportError, TransportFailure } from '../common/targetTransport.js';
import type { ITransportFixture } from '../test/transportFixture.js';
import { openTransportFixture } from '../test/transportFixture.js';

const HEAD = 'HTTP/1.1 200 OK\r\n';
const CHUNKED = `${HEAD}transfer-encoding: chunked\r\n\r\n`;
const COMPLETE = `${HEAD}content-length: 2\r\n\r\nok`;
const MAX_RESPONSE_BYTES = 8_388_608;
const MAX_BUFFERED_BYTES = 16_777_216;
const CONCURRENT = 6;
const TIMEOUT_MS = 20_000;
const SLOW_TIMEOUT_MS = 300;
const SLOW_INTERVAL_MS = 20;
const BLOCK_BYTES = 65_536;

/** What is sent once, and what is repeated without end. */
interface IEndlessPart {
  readonly begin: string;
  readonly repeated: string;
}

const PARTS: Readonly<Record<string, IEndlessPart>> = {
  'empty lines before the status line': { begin: '', repeated: '\r\n' },
  'bytes that are no HTTP': { begin: '', repeated: 'x' },
  'a version': { begin: 'HTTP/1.', repeated: '1' },
  'a status': { begin: 'HTTP/1.1 2', repeated: '0' },
  'a reason phrase': { begin: 'HTTP/1.1 200 ', repeated: 'O' },
  'interim responses': { begin: '', repeated: 'HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n' },
  'the name of a header': { begin: HEAD, repeated: 'a' },
  'the value of a header': { begin: `${HEAD}a: `, repeated: 'b' },
  'the value of a content-length': { begin: `${HEAD}content-length: `, repeated: '0' },
  'a folded header': { begin: `${HEAD}a: b\r\n`, repeated: ' c\r\n' },
  headers: { begin: HEAD, repeated: 'a: b\r\n' },
  'a body until the end of the connection': { begin: `${HEAD}\r\n`, repeated: 'body' },
  'a chunked body': { begin: CHUNKED, repeated: '4\r\nbody\r\n' },
  'a chunked body of single bytes': { begin: CHUNKED, repeated: '1\r\nx\r\n' },
  'one chunk': { begin: `${CHUNKED}ffffffffff\r\n`, repeated: 'body' },
  'the size of a chunk': { begin: CHUNKED, repeated: '0' },
  'the extension of a chunk': { begin: `${CHUNKED}4;a=`, repeated: 'b' },
  'the extension of the last chunk': { begin: `${CHUNKED}0;`, repeated: 'b' },
  'the name of a trailer': { begin: `${CHUNKED}0\r\n`, repeated: 'a' },
  'the value of a trailer': { begin: `${CHUNKED}0\r\na: `, repeated: 'b' },
  trailers: { begin: `${CHUNKED}0\r\n`, repeated: 'a: b\r\n' },
  'a body with a large length': {
    begin: `${HEAD}content-length: 9999999999\r\n\r\n`,
    repeated: 'a',
  },
};

/** Sends as fast as the connection takes it, until it is closed. */
function sendFast(socket: Socket, { begin, repeated }: IEndlessPart): void {
  const block = Buffer.from(repeated.repeat(Math.ceil(BLOCK_BYTES / repeated.length)));
  const fill = (): void => {
    while (socket.writable && socket.write(block));
  };
  socket.on('drain', fill);
  socket.write(begin);
  fill();
}

function sendSlowly(socket: Socket, { begin, repeated }: IEndlessPart): void {
  socket.write(begin);
  const timer = setInterval(() => {
    if (socket.writable) socket.write(repeated);
  }, SLOW_INTERVAL_MS);
  socket.on('close', () => {
    clearInterval(timer);
  });
}

function openFixture(
  t: TestContext,
  respond: (socket: Socket) => void,
): Promise<ITransportFixture> {
  return openTransportFixture(
    t,
    ({ socket }) => {
      respond(socket);
    },
    {
      protocol: new UnframedProtocol(),
      maxBufferedBytes: MAX_BUFFERED_BYTES,
    },
  );
}

/** Accepts responses that end with their connection. */
class UnframedProtocol extends MuxTargetProtocol {
  override readonly acceptsUnframed = true;
}

async function waitUntil(isTrue: () => boolean): Promise<void> {
  while (!isTrue()) await new Promise((resolve) => setTimeout(resolve, 1));
}

/** Sends several requests at once; returns how each failed. */
async function sendAll(fixture: ITransportFixture, timeoutMs: number): Promise<TransportError[]> {
  const sent = Array.from({ length: CONCURRENT }, () =>
    fixture.send({ method: 'POST', timeoutMs }, { maxResponseBytes: MAX_RESPONSE_BYTES }),
  );
  const results = await Promise.allSettled(sent);
  return results.map((result) => {
    const error: unknown = result.status === 'rejected' ? result.reason : undefined;
    assert.ok(error instanceof TransportError, 'the response counts as complete');
    return error;
  });
}

for (const [name, part] of Object.entries(PARTS)) {
  test(`a fast response without end fails before its deadline: ${name}`, async (t) => {
    // Guards against a node without memory or processor time because targets send without end.
    let mostBytes = 0;
    const fixture = await openFixture(t, (socket) => {
      sendFast(socket, part);
    });
    const timer = setInterval(() => {
      mostBytes = Math.max(mostBytes, fixture.transport.bufferedBytes);
    }, 1);
    const errors = await sendAll(fixture, TIMEOUT_MS).finally(() => {
      clearInterval(timer);
    });
    for (const { failure, mayHaveRun } of errors) {
      assert.notEqual(failure, TransportFailure.Timeout);
      assert.ok(mayHaveRun);
    }
    assert.ok(mostBytes <= MAX_BUFFERED_BYTES, `${mostBytes} bytes`);
    assert.equal(fixture.transport.bufferedBytes, 0);
    assert.equal(fixture.target.requests.length, CONCURRENT);
    await waitUntil(() => fixture.target.openSockets.size === 0);
  });

  test(`a slow response without end fails at its deadline: ${name}`, async (t) => {
    // Guards against a request that is held for as long as its target sends something.
    const fixture = await openFixture(t, (socket) => {
      sendSlowly(socket, part);
    });
    for (const { mayHaveRun } of await sendAll(fixture, SLOW_TIMEOUT_MS)) assert.ok(mayHaveRun);
    assert.equal(fixture.transport.bufferedBytes, 0);
    assert.equal(fixture.target.requests.length, CONCURRENT);
    await waitUntil(() => fixture.target.openSockets.size === 0);
  });
}

for (const repeated of ['\r\n', 'x', COMPLETE]) {
  test(`a connection on which bytes without end follow a response is closed: ${JSON.stringify(repeated.slice(0, 8))}`, async (t) => {
    // Guards against a node that is kept busy by an idle connection.
    const fixture = await openFixture(t, (socket) => {
      socket.write(COMPLETE);
      setImmediate(() => {
        sendFast(socket, { begin: '', repeated });
      });
    });
    const { status } = await fixture.send({ timeoutMs: TIMEOUT_MS });
    assert.equal(status, 200);
    await waitUntil(() => fixture.target.openSockets.size === 0);
    assert.equal(fixture.target.connections, 1);
  });
}

test('the largest of several responses is given up when they exceed the memory together', async (t) => {
  // Guards against small responses that fail because another target sends without end.
  const fixture = await openTransportFixture(
    t,
    ({ head, socket }) => {
      if (head.startsWith('GET /small')) socket.write(COMPLETE);
      else sendFast(socket, { begin: CHUNKED, repeated: `400\r\n${'x'.repeat(1024)}\r\n` });
    },
    { maxBufferedBytes: 1_048_576 },
  );
  const large = fixture.send({ path: '/large' }, { maxResponseBytes: Infinity });
  const failed = assert.rejects(large, (error) => {
    return error instanceof TransportError && error.failure === TransportFailure.TooLarge;
  });
  const { body } = await fixture.send({ path: '/small' }, { maxResponseBytes: Infinity });
  assert.equal(Buffer.from(body as Uint8Array).toString(), 'ok');
  await failed;
  assert.equal(fixture.transport.bufferedBytes, 0);
});
