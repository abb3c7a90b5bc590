import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { MuxError } from '@parsleymux/base';
import { ResultCode, RunState } from '@parsleymux/base';
import { TargetState } from '@parsleymux/schema';
import type { Respond } from '../../test/common/builders.js';
import {
  buildResponse,
  buildRequest,
  buildRoute,
  buildService,
  MEMBER,
  OTHER_MEMBER,
  SERVICE,
} from '../../test/common/builders.js';
import { createHomeFixture } from '../../test/common/homeFixture.js';
import { TransportError, TransportFailure } from '../../transport/common/targetTransport.js';

const signal = new AbortController().signal;

function breakConnection(mayHaveRun: boolean): Respond {
  return (_request, options) => {
    if (mayHaveRun) options.onDispatch?.();
    const failure = mayHaveRun ? TransportFailure.Broken : TransportFailure.Connect;
    return Promise.reject(new TransportError({ failure, mayHaveRun, reusedConnection: false }));
  };
}

test('a failed idempotent request is retried on another target', async () => {
  const { home, transport } = createHomeFixture(2, () => Promise.resolve(buildResponse()));
  transport.respond = (request, options) => {
    if (transport.sent.length === 1) return breakConnection(true)(request, options);
    return Promise.resolve(buildResponse());
  };
  const response = await home.handle(buildRequest(), signal);
  assert.equal(response.runState, RunState.Ran);
  assert.equal(new Set(transport.sent).size, 2);
});

test('a non-idempotent request is not retried once a byte may have been sent', async () => {
  // A target receives a booking and the connection breaks. If that counted as "not run", a retry would
  // execute the booking on a second target.
  const { home, transport } = createHomeFixture(2, breakConnection(true));
  const request = buildRequest({ route: buildRoute(false), idempotencyKey: 'k' });
  await assert.rejects(home.handle(request, signal), (error: MuxError) => {
    return error.runState === RunState.MayHaveRun && error.code === ResultCode.TargetFailed;
  });
  assert.equal(transport.sent.length, 1);
});

test('a non-idempotent request is retried when no byte was sent', async () => {
  const { home, transport } = createHomeFixture(2, breakConnection(false));
  transport.respond = (request, options) => {
    if (transport.sent.length === 1) return breakConnection(false)(request, options);
    options.onDispatch?.();
    return Promise.resolve(buildResponse());
  };
  const request = buildRequest({ route: buildRoute(false), idempotencyKey: 'k' });
  const response = await home.handle(request, signal);
  assert.equal(response.code, ResultCode.Ok);
});

test('a target that is draining or past its removal time gets no new requests', async () => {
  const { home, transport, configService } = createHomeFixture(3, () =>
    Promise.resolve(buildResponse()),
  );
  await home.handle(buildRequest(), signal);
  const service = buildService(3);
  service.targets[0]!.state = TargetState.DRAINING;
  service.targets[1]!.leaveAtMs = 1_000_000n;
  configService.apply([service]);
  transport.sent.length = 0;
  for (let index = 0; index < 10; index += 1) await home.handle(buildRequest(), signal);
  assert.deepEqual(new Set(transport.sent), new Set(['t2']));
});

test('requests never exceed the slots, and a full queue refuses truthfully with a retry time', async () => {
  const { home, transport, clock, respondAfter } = createHomeFixture(
    1,
    () => Promise.resolve(buildResponse()),
    {
      queueFactor: 1,
    },
  );
  transport.respond = respondAfter(100);
  const requests = Array.from({ length: 9 }, () => home.handle(buildRequest(), signal));
  const settled = Promise.allSettled(requests);
  await clock.advanceBy(50);
  assert.equal(transport.sent.length, 4);
  assert.equal(home.getSpareSlots(MEMBER, SERVICE), -4);
  await clock.advanceBy(1000);
  const refused = (await settled).filter((result) => result.status === 'rejected');
  assert.equal(refused.length, 1);
  const error = refused[0]?.reason as MuxError;
  assert.equal(error.code, ResultCode.QueueFull);
  assert.equal(error.runState, RunState.NotRun);
  assert.ok((error.retryAfterMs ?? 0) >= 100);
});

test('a caller disconnect cancels a read but not a booking', async () => {
  const { home, transport, clock, respondAfter } = createHomeFixture(1, () =>
    Promise.resolve(buildResponse()),
  );
  transport.respond = respondAfter(100);
  const abort = new AbortController();
  const booking = home.handle(
    buildRequest({ route: buildRoute(false), idempotencyKey: 'k' }),
    abort.signal,
  );
  const read = home.handle(buildRequest(), abort.signal);
  const readResult = Promise.allSettled([read]);
  await clock.advanceBy(10);
  abort.abort(new Error('caller disconnected'));
  await clock.advanceBy(200);
  assert.equal((await readResult)[0].status, 'rejected');
  assert.equal((await booking).code, ResultCode.Ok);
  assert.equal(home.getInFlight(), 0);
});

test('a flood from one member is limited to its share, and another member is served', async () => {
  // If requests were admitted in order of arrival, a flood from one member would use all places of the
  // node, and requests of other members would be refused.
  const { home, transport, clock, respondAfter } = createHomeFixture(
    4,
    () => Promise.resolve(buildResponse()),
    { queueFactor: 10 },
    { maxInFlight: 20 },
  );
  transport.respond = respondAfter(100);
  const quiet = home.handle(buildRequest({ member: OTHER_MEMBER }), signal);
  const flood = Array.from({ length: 40 }, () => home.handle(buildRequest(), signal));
  const settled = Promise.allSettled(flood);
  const late = home.handle(buildRequest({ member: OTHER_MEMBER }), signal);
  await clock.advanceBy(1000);
  assert.equal((await quiet).code, ResultCode.Ok);
  assert.equal((await late).code, ResultCode.Ok);
  const refused = (await settled).filter((result) => result.status === 'rejected');
  assert.equal(refused.length, 30);
  assert.ok(refused.every((result) => (result.reason as MuxError).code === ResultCode.MemberLimit));
  await home.dispose();
});

test('an idle home is closed and recreated by the next request', async () => {
  const { home, clock } = createHomeFixture(2, () => Promise.resolve(buildResponse()));
  await home.handle(buildRequest(), signal);
  assert.equal(home.getStatus().length, 1);
  await clock.advanceBy(200_000);
  assert.equal(home.getStatus().length, 0);
  const deadlineMs = clock.getMonotonicTime() + 1000;
  assert.equal((await home.handle(buildRequest({ deadlineMs }), signal)).code, ResultCode.Ok);
  await home.dispose();
});
