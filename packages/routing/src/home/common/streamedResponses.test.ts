import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MuxError, RunState } from '@parsleymux/base';
import type { ResponseBody } from '../../request/common/request.js';
import { discardBody } from '../../request/common/responseBody.js';
import { buildResponse, buildRequest, MEMBER, SERVICE } from '../../test/common/builders.js';
import { createHomeFixture } from '../../test/common/homeFixture.js';
import { TransportError, TransportFailure } from '../../transport/common/targetTransport.js';

const signal = new AbortController().signal;

/** A body whose source stays open until it is read to the end or discarded. */
class OpenBody implements AsyncIterable<Uint8Array> {
  isOpen = true;

  [Symbol.asyncIterator](): AsyncIterator<Uint8Array> {
    let chunks = 2;
    return {
      next: () => {
        if (chunks-- > 0) return Promise.resolve({ done: false, value: new Uint8Array([1]) });
        this.isOpen = false;
        return Promise.resolve({ done: true, value: undefined });
      },
      return: () => {
        this.isOpen = false;
        return Promise.resolve({ done: true, value: undefined });
      },
    };
  }
}

async function readAll(body: ResponseBody): Promise<number> {
  if (body instanceof Uint8Array) return body.length;
  let length = 0;
  for await (const chunk of body) length += chunk.length;
  return length;
}

test('a streamed response holds its slot until it was read to the end', async () => {
  const { home } = createHomeFixture(1, () =>
    Promise.resolve(buildResponse({ body: new OpenBody() })),
  );
  const response = await home.handle(buildRequest(), signal);
  assert.equal(home.getSpareSlots(MEMBER, SERVICE), 3);
  assert.equal(await readAll(response.body), 2);
  assert.equal(home.getSpareSlots(MEMBER, SERVICE), 4);
});

test('a streamed response that is discarded unread releases its slot', async () => {
  // A generator that was never started does not run its finally block when it is discarded. If the slot
  // were released there, callers that disconnect before the first byte would leak all slots of a target.
  const body = new OpenBody();
  const { home } = createHomeFixture(1, () => Promise.resolve(buildResponse({ body })));
  const response = await home.handle(buildRequest(), signal);
  await discardBody(response.body);
  assert.equal(home.getSpareSlots(MEMBER, SERVICE), 4);
  assert.equal(body.isOpen, false);
});

test('a retried request releases slot and connection of a large error response', async () => {
  // A target responds 500 with a body above the buffer limit; its stream is discarded unread.
  const body = new OpenBody();
  const { home, transport } = createHomeFixture(2, () => Promise.resolve(buildResponse()));
  transport.respond = () => {
    const isFirst = transport.sent.length === 1;
    return Promise.resolve(isFirst ? buildResponse({ status: 500, body }) : buildResponse());
  };
  const response = await home.handle(buildRequest(), signal);
  assert.equal(response.status, 200);
  assert.equal(home.getSpareSlots(MEMBER, SERVICE), 8);
  assert.equal(body.isOpen, false);
});

test('a failure to connect to a later target does not hide that an earlier one may have run', async () => {
  // The connection to the first target breaks after dispatch, and the second target refuses connections.
  // If only the last attempt counted, the caller would receive "not run" for an executed request.
  const { home, transport, invariants } = createHomeFixture(2, () =>
    Promise.resolve(buildResponse()),
  );
  transport.respond = (_request, options) => {
    const mayHaveRun = transport.sent.length === 1;
    if (mayHaveRun) options.onDispatch?.();
    const failure = mayHaveRun ? TransportFailure.Broken : TransportFailure.Connect;
    return Promise.reject(new TransportError({ failure, mayHaveRun, reusedConnection: false }));
  };
  await assert.rejects(home.handle(buildRequest(), signal), (error: unknown) => {
    return error instanceof MuxError && error.runState === RunState.MayHaveRun;
  });
  assert.equal(transport.sent.length, 2);
  assert.equal(invariants.getViolationCount('truthful_refusal'), 0);
});
