import assert from 'node:assert/strict';
import { test } from 'node:test';
import { buildResponse, buildRequest, buildRoute } from '../../test/common/builders.js';
import { createHomeFixture } from '../../test/common/homeFixture.js';
import { TransportError, TransportFailure } from '../../transport/common/targetTransport.js';

const signal = new AbortController().signal;
const ROUNDS = 400;

test('responses too large for a copy are no evidence against a target', async () => {
  // The check of an overdue booking sends a copy of a read, and its response exceeds the size limit of
  // a copy. If the failed exchange counted as silence, healthy targets would be suspected.
  const { home, transport, clock, standings, respondAfter } = createHomeFixture(4, () => {
    return Promise.resolve(buildResponse());
  });
  let number = 0;
  transport.respond = async (request, options) => {
    const isCopy = options.onDispatch === undefined;
    number += 1;
    if (!isCopy) return respondAfter(number % 50 === 0 ? 500 : 10)(request, options);
    await clock.sleep(5);
    throw new TransportError({
      failure: TransportFailure.TooLarge,
      mayHaveRun: true,
      reusedConnection: false,
    });
  };
  for (let round = 0; round < ROUNDS; round += 1) {
    const deadlineMs = clock.getMonotonicTime() + 2000;
    const request = buildRequest({ route: buildRoute(true), deadlineMs });
    void home.handle(request, signal).catch(() => undefined);
    await clock.advanceBy(10);
  }
  assert.ok(transport.retired.length > 0);
  assert.deepEqual(standings, []);
  await home.dispose();
});
