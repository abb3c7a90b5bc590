import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { Socket } from 'node:net';
import { test } from 'node:test';
import { MuxTargetProtocol } from '../common/targetProtocol.js';
import type { ITargetResponse } from '../common/targetTransport.js';
import { TransportError, TransportFailure } from '../common/targetTransport.js';
import type { IRawRequest } from '../test/rawTarget.js';
import { resetSocket } from '../test/rawTarget.js';
import { MAX_RESPONSE_BYTES, openTransportFixture } from '../test/transportFixture.js';

const BODY = 'a whole answer';

async function readText(body: ITargetResponse['body']): Promise<string> {
  if (body instanceof Uint8Array) return Buffer.from(body).toString();
  let text = '';
  for await (const chunk of body) text += Buffer.from(chunk).toString();
  return text;
}

function writeLength(text: string, connection: string): string {
  return `HTTP/1.1 200 OK\r\nconnection: ${connection}\r\ncontent-length: ${text.length}\r\n\r\n${text}`;
}

function writeChunked(text: string, connection: string): string {
  const parts = [text.slice(0, 5), text.slice(5)].map(
    (part) => `${part.length.toString(16)}\r\n${part}\r\n`,
  );
  return `HTTP/1.1 200 OK\r\nconnection: ${connection}\r\ntransfer-encoding: chunked\r\n\r\n${parts.join('')}0\r\n\r\n`;
}

for (const [framing, write] of [
  ['content-length', writeLength],
  ['chunked', writeChunked],
] as const) {
  for (const connection of ['keep-alive', 'close']) {
    for (const end of ['end', 'reset'] as const) {
      test(`${framing}, connection: ${connection}: cut at any byte by ${end}, no answer looks whole`, async (t) => {
        // Symptom: a caller gets the first part of a cut list, with status 200 and no error.
        // Sequence: the target's process ends, or its path breaks, while it writes an answer.
        // Cause: where the connection's end also ends the answer, half an answer has the same
        // form as a whole one; some clients finish any answer marked "connection: close" so.
        const whole = write(BODY, connection);
        const bench = await openTransportFixture(t, ({ socket, index }) => {
          socket.write(whole.slice(0, index));
          // The written bytes must arrive ahead of the reset.
          if (end === 'end') socket.end();
          else setImmediate(() => socket.resetAndDestroy());
        });
        for (let cut = 0; cut < whole.length; cut += 1) {
          const outcome = await bench.send().catch((error: unknown) => error);
          assert.ok(outcome instanceof TransportError, `cut at byte ${cut} looked whole`);
          assert.ok(outcome.mayHaveRun);
          assert.ok(
            outcome.failure === TransportFailure.Truncated ||
              outcome.failure === TransportFailure.Broken,
          );
        }
        assert.equal(bench.target.connections, whole.length);
      });
    }
  }
  test(`${framing}: streamed answers that are cut throw after what came`, async (t) => {
    const text = 'x'.repeat(MAX_RESPONSE_BYTES * 3);
    const bench = await openTransportFixture(t, ({ socket }) => {
      socket.write(write(text, 'close').slice(0, -50));
      socket.end();
    });
    const answer = await bench.send({}, { streamLarge: true });
    await assert.rejects(readText(answer.body), (error: unknown) => {
      return error instanceof TransportError && error.failure === TransportFailure.Truncated;
    });
  });

  test(`${framing}: large answers are streamed whole, or refused`, async (t) => {
    const text = 'x'.repeat(MAX_RESPONSE_BYTES * 300);
    const bench = await openTransportFixture(t, ({ socket }) =>
      socket.write(write(text, 'keep-alive')),
    );
    const answer = await bench.send({}, { streamLarge: true });
    assert.equal(await readText(answer.body), text);
    await assert.rejects(bench.send(), (error: unknown) => {
      return error instanceof TransportError && error.failure === TransportFailure.TooLarge;
    });
    assert.equal((await bench.send({}, { streamLarge: true })).status, 200);
    assert.equal(bench.target.connections, 2);
  });
}

for (const header of [
  '',
  'Transfer-Encoding: gzip\r\n',
  'Transfer-Encoding: chunked, identity\r\n',
]) {
  test(`an answer without framing of its own is refused (${header.trim() || 'no header'})`, async (t) => {
    const bench = await openTransportFixture(t, ({ socket }) => {
      socket.end(`HTTP/1.1 200 OK\r\n${header}\r\n${BODY}`);
    });
    await assert.rejects(bench.send(), (error: unknown) => {
      return error instanceof TransportError && error.failure === TransportFailure.Truncated;
    });
  });
}

class UnframedProtocol extends MuxTargetProtocol {
  override readonly acceptsUnframed = true;
}

for (const connection of ['', 'connection: close\r\n']) {
  test(`an answer that its connection ends is whole only when that ended in order (${connection.trim() || 'no header'})`, async (t) => {
    // Symptom: a caller gets half an answer with status 200 and a length that fits the half.
    // Sequence: a target that frames its answers by the end of the connection crashes on the way.
    // Cause: the HTTP client takes a reset of such a connection for its end.
    const whole = `HTTP/1.1 200 OK\r\n${connection}\r\n${BODY}`;
    const bench = await openTransportFixture(
      t,
      ({ socket, index }) => {
        const isWhole = index >= whole.length;
        socket.write(whole.slice(0, isWhole ? whole.length : index));
        if (isWhole) {
          socket.end();
          return;
        }
        // The written bytes must arrive ahead of the reset.
        setImmediate(() => {
          resetSocket(socket);
        });
      },
      { protocol: new UnframedProtocol() },
    );
    for (let cut = 0; cut < whole.length; cut += 1) {
      const outcome = await bench.send().catch((error: unknown) => error);
      assert.ok(outcome instanceof TransportError, `reset at byte ${cut} looked whole`);
    }
    assert.equal(await readText((await bench.send()).body), BODY);
  });
}

test('answers that have no body need no framing', async (t) => {
  const bench = await openTransportFixture(t, ({ socket, index }) => {
    const status = ['204 No Content', '304 Not Modified', '200 OK'][index]!;
    socket.write(
      `HTTP/1.1 ${status}\r\nconnection: keep-alive\r\n${index === 0 ? '' : 'content-length: 99\r\n'}\r\n`,
    );
  });
  for (const method of ['GET', 'GET', 'HEAD']) {
    const answer = await bench.send({ method });
    assert.equal(await readText(answer.body), '');
  }
});

for (const [name, extra] of [
  ['a whole answer', writeLength('stale', 'keep-alive')],
  ['bytes that are no answer', 'surplus'],
] as const) {
  test(`${name} after the body, at once: the next request gets its own answer`, async (t) => {
    // Symptom: a caller gets the answer to a request that it never sent.
    // Sequence: the target writes more than its framing says, or answers twice.
    // Cause: what is left on the connection would be read as the next answer.
    const bench = await openTransportFixture(t, ({ socket, index }) => {
      socket.write(writeLength(`answer ${index}`, 'keep-alive') + extra);
    });
    for (const index of [0, 1, 2]) {
      assert.equal(await readText((await bench.send()).body), `answer ${index}`);
    }
    assert.equal(bench.target.connections, 3);
  });

  test(`${name} after the body, while idle: the connection is dropped`, async (t) => {
    const bench = await openTransportFixture(t, ({ socket, index }) => {
      socket.write(writeLength(`answer ${index}`, 'keep-alive'));
    });
    await bench.send();
    const [socket] = bench.target.openSockets;
    const closed = once(socket!, 'close');
    socket!.write(extra);
    await closed;
    assert.equal(await readText((await bench.send()).body), 'answer 1');
    assert.equal(bench.target.connections, 2);
  });
}

test('an answer that names another attempt is refused', async (t) => {
  // Symptom: two callers get each other's answers. Sequence: a target that works on several
  // requests answers them in the wrong order, each on the other's connection.
  // Cause: only an identifier that the target echoes can show it; framing is intact.
  const held: IRawRequest[] = [];
  const bench = await openTransportFixture(t, (request) => held.push(request));
  const sent = [bench.send({ path: '/0' }), bench.send({ path: '/1' })].map((run) => {
    return run.catch((error: unknown) => error);
  });
  await bench.target.waitForRequests(2);
  const ids = held.map(({ head }) => /parsleymux-attempt-id: (\S+)/.exec(head)![1]!);
  for (const [index, request] of held.entries()) {
    const id = ids[1 - index]!;
    request.socket.write(
      `HTTP/1.1 200 OK\r\nparsleymux-attempt-id: ${id}\r\ncontent-length: 2\r\n\r\nok`,
    );
  }
  for (const run of sent) {
    const outcome = await run;
    assert.ok(outcome instanceof TransportError && outcome.failure === TransportFailure.Broken);
  }
});

test('a slow reader slows the target instead of filling the memory', async (t) => {
  // Symptom: the node's memory grows by the size of every answer that a slow caller reads.
  // Sequence: the target writes 64 MB; the reader takes the first chunk and then nothing.
  // Cause: without back-pressure all that arrives is kept for the reader.
  const totalBytes = 64 * 1024 * 1024;
  const chunk = Buffer.alloc(256 * 1024, 'x');
  let accepted = 0;
  let onStalled: () => void = () => undefined;
  const stalled = new Promise<void>((resolve) => (onStalled = resolve));
  const bench = await openTransportFixture(t, ({ socket }) => {
    socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${totalBytes}\r\n\r\n`);
    const push = () => {
      while (accepted < totalBytes) {
        accepted += chunk.length;
        if (!socket.write(chunk)) {
          const timer = setTimeout(onStalled, 300);
          socket.once('drain', () => {
            clearTimeout(timer);
            push();
          });
          return;
        }
      }
      onStalled();
    };
    push();
  });
  const answer = await bench.send({}, { streamLarge: true });
  assert.ok(!(answer.body instanceof Uint8Array));
  const iterator = answer.body[Symbol.asyncIterator]();
  await iterator.next();
  await stalled;
  // What the two kernels buffer on loopback is a few MB; 64 MB must not have been taken.
  assert.ok(accepted < totalBytes / 2, `the target could write ${accepted} bytes`);
  let received = 0;
  for (;;) {
    const result = await iterator.next();
    if (result.done === true) break;
    received += result.value.byteLength;
  }
  assert.ok(received > totalBytes - chunk.length);
});

test('a reader that gives up early drops the connection', async (t) => {
  const bench = await openTransportFixture(t, ({ socket }) => {
    socket.write(writeLength('x'.repeat(MAX_RESPONSE_BYTES * 5), 'keep-alive').slice(0, -1));
  });
  const answer = await bench.send({}, { streamLarge: true });
  const [socket] = bench.target.openSockets;
  const closed = once(socket!, 'close');
  assert.ok(!(answer.body instanceof Uint8Array));
  for await (const chunk of answer.body) {
    assert.ok(chunk.byteLength > 0);
    break;
  }
  await closed;
});

for (const connection of ['close', 'keep-alive']) {
  for (const bytes of [65_536, 70_000, 500_000]) {
    for (const end of ['end', 'reset', 'abandon', 'cancel'] as const) {
      test(`a paused answer, connection: ${connection}, ${bytes} bytes, then ${end}: the stream ends, the process lives`, async (t) => {
        // Symptom: the node ends with an assertion inside the HTTP client, for all members.
        // Sequence: an answer marked "connection: close" is paused for a slow reader; then its
        // connection ends, by the target's reset or because the caller hung up.
        // Cause: the client finishes its parser in a socket event, and a paused parser can't.
        const abort = new AbortController();
        const sockets: Socket[] = [];
        const bench = await openTransportFixture(t, ({ socket }) => {
          sockets.push(socket);
          socket.write(writeLength('x'.repeat(bytes + 10_000), connection).slice(0, -10_000));
        });
        const answer = await bench.send({}, { streamLarge: true, signal: abort.signal });
        assert.ok(!(answer.body instanceof Uint8Array));
        const iterator = answer.body[Symbol.asyncIterator]();
        await sleepBriefly();
        if (end === 'end') sockets[0]!.end();
        if (end === 'reset') sockets[0]!.resetAndDestroy();
        if (end === 'abandon') await iterator.return?.();
        if (end === 'cancel') abort.abort();
        await sleepBriefly();
        if (end === 'abandon') assert.equal((await iterator.next()).done, true);
        else
          await assert.rejects(
            readText({ [Symbol.asyncIterator]: () => iterator }),
            TransportError,
          );
        while (bench.target.openSockets.size > 0) await sleepBriefly();
      });
    }
  }
}

function sleepBriefly(): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, 50));
}
