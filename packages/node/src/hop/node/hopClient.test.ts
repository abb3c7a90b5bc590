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

async function openHop(t: TestContext, listener: RequestListener) {
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

function writeAs(response: ServerResponse, exchange: string, text: string): void {
  response.writeHead(200, {
    [HopHeader.Code]: '0',
    [HopHeader.RunState]: 'ran',
    [HopHeader.Kind]: HopKind.Answer,
    [HopHeader.Exchange]: exchange,
    'content-length': text.length,
  });
  response.end(text);
}

function getExchange(request: IncomingMessage): string {
  return String(request.headers[HopHeader.Exchange]);
}

async function takeFailure(run: Promise<unknown>): Promise<HopFailure> {
  const outcome: unknown = await run.catch((error: unknown) => error);
  assert.ok(outcome instanceof HopError, `expected a HopError, got ${String(outcome)}`);
  return outcome.failure;
}

test('an answer to another exchange is never given to a caller', async (t) => {
  // Symptom: two callers of one entry get each other's answers.
  // Sequence: a home answers two requests in the wrong order, each on the other's connection.
  // Cause: HTTP/1.1 has no identifier of its own; both answers are whole and well-formed.
  const held: [IncomingMessage, ServerResponse][] = [];
  const send = await openHop(t, (request, response) => {
    held.push([request, response]);
    if (held.length < 2) return;
    const [first, second] = held;
    writeAs(second![1], getExchange(first![0]), 'to first');
    writeAs(first![1], getExchange(second![0]), 'to second');
  });
  const failures = await Promise.all([takeFailure(send('/first')), takeFailure(send('/second'))]);
  assert.deepEqual(failures, [HopFailure.Lost, HopFailure.Lost]);
});

test('an answer that is cut anywhere is a lost exchange, not a short answer', async (t) => {
  const send = await openHop(t, (request, response) => {
    response.writeHead(200, {
      [HopHeader.Code]: '0',
      [HopHeader.Kind]: HopKind.Answer,
      [HopHeader.Exchange]: getExchange(request),
      'content-length': 10,
    });
    response.write('half');
    setImmediate(() => response.destroy());
  });
  assert.equal(await takeFailure(send('/')), HopFailure.Lost);
});

test('a streamed answer that is cut throws after what came', async (t) => {
  const send = await openHop(t, (request, response) => {
    response.writeHead(200, {
      [HopHeader.Code]: '0',
      [HopHeader.Kind]: HopKind.Answer,
      [HopHeader.Exchange]: getExchange(request),
      [HopHeader.Streamed]: '1',
    });
    response.write('half');
    setImmediate(() => response.destroy());
  });
  const answer = await send('/');
  assert.ok(!(answer.body instanceof Uint8Array));
  const body = answer.body;
  await assert.rejects(async () => {
    for await (const chunk of body) assert.equal(Buffer.from(chunk).toString(), 'half');
  });
});
