import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { Server } from 'node:http';
import { createServer } from 'node:http';
import { createServer as createTlsServer } from 'node:https';
import { connect } from 'node:net';
import type { TestContext } from 'node:test';
import { test } from 'node:test';
import { connect as connectTls } from 'node:tls';
import type { ResultCode as Code } from '@parsleymux/base';
import { listenOn, MuxError, parseEndpoint, ResultCode } from '@parsleymux/base';
import { generate } from 'selfsigned';
import { CallerConnections } from './callerConnections.js';

interface IFixture {
  readonly port: number;
  readonly refused: Code[];
  countConnections(): Promise<number>;
}

async function openFixture(t: TestContext, server: Server, limit: number): Promise<IFixture> {
  const refused: Code[] = [];
  const connections = new CallerConnections({
    server,
    limit,
    onDidRefuse: (code) => refused.push(code),
  });
  server.on('request', (request, response) => {
    try {
      connections.checkLimit(request);
      response.end('served');
    } catch (error) {
      assert.ok(error instanceof MuxError);
      response.end(String(error.code));
    }
  });
  const { port } = parseEndpoint(await listenOn(server, '127.0.0.1:0'));
  t.after(() => {
    server.closeAllConnections();
    server.close();
  });
  const countConnections = () =>
    new Promise<number>((resolve, reject) => {
      server.getConnections((error, count) => {
        if (error === null) resolve(count);
        else reject(error);
      });
    });
  return { port, refused, countConnections };
}

async function openTlsServer(): Promise<Server> {
  const pair = await generate([{ name: 'commonName', value: 'server' }], { keySize: 2048 });
  return createTlsServer({ cert: pair.cert, key: pair.private });
}

test('over TLS the limit of connections is met with a number as well', async (t) => {
  const bench = await openFixture(t, await openTlsServer(), 1);
  const options = { port: bench.port, host: '127.0.0.1', rejectUnauthorized: false };
  const first = connectTls(options);
  await once(first, 'secureConnect');
  const second = connectTls(options);
  await once(second, 'secureConnect');
  second.write('GET / HTTP/1.1\r\nhost: x\r\n\r\n');
  const [chunk] = (await once(second, 'data')) as [Buffer];
  assert.ok(chunk.toString().endsWith(String(ResultCode.TooManyConnections)));
  first.destroy();
  second.destroy();
});

test('plain text on a TLS port ends the connection and nothing else', async (t) => {
  const bench = await openFixture(t, await openTlsServer(), 10);
  const socket = connect({ port: bench.port, host: '127.0.0.1' });
  socket.on('error', () => undefined);
  socket.write('GET / HTTP/1.1\r\nhost: x\r\n\r\n');
  socket.resume();
  await once(socket, 'close');
  while ((await bench.countConnections()) > 0)
    await new Promise((resolve) => setImmediate(resolve));
  assert.deepEqual(bench.refused, [ResultCode.MalformedRequest]);
});

test('a refused connection is closed though its caller keeps its side open', async (t) => {
  // Symptom: connections pile up that carry nothing, until no caller gets one.
  // Sequence: a caller sends what is no HTTP, is refused, and neither reads nor closes.
  // Cause: ending the node's side leaves a connection half open for as long as the caller likes.
  const bench = await openFixture(t, createServer(), 10);
  const socket = connect({ port: bench.port, host: '127.0.0.1', allowHalfOpen: true });
  socket.on('error', () => undefined);
  socket.write('GARBAGE\r\n\r\n');
  socket.resume();
  await once(socket, 'end');
  while ((await bench.countConnections()) > 0)
    await new Promise((resolve) => setImmediate(resolve));
  socket.destroy();
  assert.deepEqual(bench.refused, [ResultCode.MalformedRequest]);
});
