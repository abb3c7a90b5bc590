import assert from 'node:assert/strict';
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { TestContext } from 'node:test';
import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { listenOn, SystemClock } from '@parsleymux/base';
import { PeerAuthenticator } from '@parsleymux/fleet';
import type { IResponse, IRoutedRequest } from '@parsleymux/routing';
import { RouteSchema } from '@parsleymux/schema';
import { HopError, HopFailure } from '../common/hopError.js';
import { HopHeader, HopKind } from '../common/hopProtocol.js';
import { HopClient } from './hopClient.js';

const clock = new SystemClock();

async function openHopServer(t: TestContext, listener: RequestListener) {
  const server = createServer(listener);
  const peer = await listenOn(server, '127.0.0.1:0');
  const authenticator = new PeerAuthenticator({ keys: [], clock, selfAddress: '127.0.0.1:1' });
  const client = new HopClient({ clock, authenticator, firstHeartbeatMs: 10_000 });
  t.after(async () => {
    await client.dispose();
    server.closeAllConnections();
    server.close();
  });
  return (path: string): Promise<IResponse> => {
    return client.send(
      peer,
      { request: makeRequest(path), memberRevision: 1 },
      new AbortController().signal,
    );
  };
}

function makeRequest(path: string): IRoutedRequest {
  return {
    member: 'm',
    route: create(RouteSchema, { name: 'r' }),
    method: 'GET',
    path,
    headers: [],
    body: new Uint8Array(),
    deadlineMs: clock.getMonotonicTime() + 10_000,
    caller: 'c',
    idempotencyKey: undefined,
  };
}

function writeResponseTo(response: ServerResponse, exchange: string, text: string): void {
  response.writeHead(200, {
    [HopHeader.Code]: '0',
    [HopHeader.RunState]: 'ran',
    [HopHeader.Kind]: HopKind.Response,
    [HopHeader.Exchange]: exchange,
    'content-length': text.length,
  });
  response.end(text);
}

function getExchange(request: IncomingMessage): string {
  return String(request.headers[HopHeader.Exchange]);
}

async function getFailure(run: Promise<unknown>): Promise<HopFailure> {
  const outcome: unknown = await run.catch((error: unknown) => error);
  assert.ok(outcome instanceof HopError, `expected a HopError, got ${String(outcome)}`);
  return outcome.failure;
}

test('a response to another exchange is never passed to a caller', async (t) => {
  // Guards against two callers of one entry that get each other's responses. It arises when a home
  // responds to two requests in the wrong order, each on the other's connection: HTTP/1.1 has no exchange
  // identifier, and both responses are complete and well-formed.
  const pending: [IncomingMessage, ServerResponse][] = [];
  const send = await openHopServer(t, (request, response) => {
    pending.push([request, response]);
    if (pending.length < 2) return;
    const [first, second] = pending;
    writeResponseTo(second![1], getExchange(first![0]), 'to first');
    writeResponseTo(first![1], getExchange(second![0]), 'to second');
  });
  const failures = await Promise.all([getFailure(send('/first')), getFailure(send('/second'))]);
  assert.deepEqual(failures, [HopFailure.Lost, HopFailure.Lost]);
});

test('a truncated response is a lost exchange, not a short response', async (t) => {
  const send = await openHopServer(t, (request, response) => {
    response.writeHead(200, {
      [HopHeader.Code]: '0',
      [HopHeader.Kind]: HopKind.Response,
      [HopHeader.Exchange]: getExchange(request),
      'content-length': 10,
    });
    response.write('half');
    setImmediate(() => response.destroy());
  });
  assert.equal(await getFailure(send('/')), HopFailure.Lost);
});

test('a streamed response that is truncated throws after the received part', async (t) => {
  const send = await openHopServer(t, (request, response) => {
    response.writeHead(200, {
      [HopHeader.Code]: '0',
      [HopHeader.Kind]: HopKind.Response,
      [HopHeader.Exchange]: getExchange(request),
      [HopHeader.Streamed]: '1',
    });
    response.write('half');
    setImmediate(() => response.destroy());
  });
  const received = await send('/');
  assert.ok(!(received.body instanceof Uint8Array));
  const body = received.body;
  await assert.rejects(async () => {
    for await (const chunk of body) assert.equal(Buffer.from(chunk).toString(), 'half');
  });
});
