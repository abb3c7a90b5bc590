import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock, ResultCode, RunState } from '@parsleymux/base';
import type { ISendOptions, ITargetResponse, ITargetRequest } from '@parsleymux/routing';
import { TargetTransport, TransportError, TransportFailure } from '@parsleymux/routing';
import type { IGrantRequest, GrantOutcome } from '@parsleymux/scheduling';
import type { Selection } from '../../grants/common/targetSelector.js';
import { TargetSelector } from '../../grants/common/targetSelector.js';
import { makeKeyChecker } from '../../test/builders.js';
import { makeQuarantine } from '@parsleymux/scheduling/testing';
import { makeRoute, makeTarget } from '@parsleymux/scheduling/testing';
import { ANONYMOUS } from '../../tenants/common/keyChecker.js';
import type { IEntryResponse, IEntryRequest } from './entryRequest.js';
import { TargetDispatcher } from '../../relay/common/targetDispatcher.js';
import { PathHealth } from './pathHealth.js';
import { RequestRunner } from './requestRunner.js';
import { ShutdownLimit } from './shutdownLimit.js';
import { TargetNotices } from './targetNotices.js';

type Reply = ITargetResponse | TransportError | (() => Promise<ITargetResponse>);

/** Sends the replies in order, and records the requests. */
class ScriptedTransport extends TargetTransport {
  readonly sent: ITargetRequest[] = [];
  readonly options: ISendOptions[] = [];

  constructor(private readonly replies: readonly Reply[]) {
    super();
  }

  override async send(request: ITargetRequest, options: ISendOptions): Promise<ITargetResponse> {
    const reply = this.replies[this.sent.length];
    this.sent.push(request);
    this.options.push(options);
    if (reply === undefined) throw new Error('unexpected request');
    if (reply instanceof TransportError) throw reply;
    return typeof reply === 'function' ? reply() : Promise.resolve(reply);
  }

  override retireConnections(): void {
    // There are no idle connections.
  }

  override hasIdleConnection(): boolean {
    return false;
  }

  override getConnectionCount(): number {
    return 0;
  }
}

/** Grants a different target for each request. */
class CountingSelector extends TargetSelector {
  readonly requests: IGrantRequest[] = [];
  readonly outcomes: GrantOutcome[] = [];

  override choose(request: IGrantRequest): Promise<Selection> {
    this.requests.push(request);
    const target = makeTarget(`t${this.requests.length}`);
    const report = (outcome: GrantOutcome): void => {
      this.outcomes.push(outcome);
    };
    const needsFreshConnection = this.requests.length > 1;
    const grant = { target, home: 'h', suspicion: 0, needsFreshConnection, report };
    return Promise.resolve({ kind: 'granted', grant });
  }
}

class RefusingSelector extends TargetSelector {
  override choose(): Promise<Selection> {
    return Promise.resolve({
      kind: 'refused',
      code: ResultCode.QueueFull,
      retryAfterMs: 700,
      home: 'h',
    });
  }
}

function makeResponse(status: number, fields: Partial<ITargetResponse> = {}): ITargetResponse {
  const body = Buffer.from('body');
  return { status, headers: [], body, notRun: false, draining: false, latencyMs: 1, ...fields };
}

function makeError(failure: TransportFailure, mayHaveRun: boolean): TransportError {
  return new TransportError({ failure, mayHaveRun, reusedConnection: false });
}

interface IFixture {
  readonly response: IEntryResponse;
  readonly transport: ScriptedTransport;
  readonly selector: CountingSelector;
}

async function run(
  replies: readonly Reply[],
  isIdempotent: boolean,
  refusing?: TargetSelector,
  clock = new ManualClock(),
  notices = new TargetNotices(clock),
): Promise<IFixture> {
  const selector = new CountingSelector();
  const transport = new ScriptedTransport(replies);
  const runner = new RequestRunner({
    clock,
    selector: refusing ?? selector,
    dispatcher: new TargetDispatcher({ clock, transport }),
    quarantine: makeQuarantine(clock),
    keys: makeKeyChecker(clock),
    notices,
    paths: new PathHealth(clock, () => undefined),
    shutdownLimit: new ShutdownLimit(clock),
    failureDomain: 'north',
    listTargets: () => [],
    isAuthentic: ({ headers }) => !headers.some(([name]) => name === 'forged'),
    listTargetHeaders: (id) => [['expected', id]],
  });
  const request: IEntryRequest = {
    id: 'q1',
    sender: ANONYMOUS,
    catalogVersion: 1,
    catalogAgeMs: 0,
    route: makeRoute({ isIdempotent }),
    service: 'booking',
    method: 'POST',
    path: '/orders/1',
    headers: [],
    body: new Uint8Array(),
    fingerprints: ['f1'],
    arrivedMs: 0,
    deadlineMs: 2000,
  };
  const response = await runner.run(request, new AbortController().signal);
  return { response, transport, selector };
}

for (const [name, reply] of [
  ['a failure of the target', makeResponse(500)],
  ['a broken connection', makeError(TransportFailure.Broken, true)],
  ['a time-out', makeError(TransportFailure.Timeout, true)],
  ['a success that is not authentic', makeResponse(200, { headers: [['forged', '1']] })],
] as const) {
  test(`a request that is not idempotent is sent once: ${name}`, async () => {
    // Guards against a booking that runs twice: a target runs it, its response is lost, and the node
    // concludes that the request has not run and sends it to another target.
    const { response, transport } = await run([reply], false);
    assert.equal(transport.sent.length, 1);
    assert.ok(response.status >= 500);
    assert.notEqual(response.status, 503);
    assert.notEqual(response.runState, RunState.NotRun);
  });

  test(`an idempotent request goes to another target: ${name}`, async () => {
    const { response, selector, transport } = await run([reply, makeResponse(200)], true);
    assert.equal(response.status, 200);
    assert.equal(transport.sent.length, 2);
    assert.deepEqual(selector.requests[1]?.excluded, ['t1']);
    assert.equal(selector.requests[1].attempt, 2);
  });
}

for (const [name, reply] of [
  ['the target sheds it', makeResponse(503, { notRun: true })],
  ['another target has its address', makeResponse(421, { notRun: true })],
  ['the connection fails', makeError(TransportFailure.Connect, false)],
] as const) {
  test(`a request that has certainly not run is retried: ${name}`, async () => {
    const { response, transport } = await run([reply, makeResponse(200)], false);
    assert.equal(response.status, 200);
    assert.equal(transport.sent.length, 2);
  });
}

test('a request that all targets shed is refused with a Retry-After and as not run', async () => {
  const shed = makeResponse(503, { notRun: true });
  const { response } = await run([shed, shed], false);
  assert.equal(response.status, 503);
  assert.equal(response.runState, RunState.NotRun);
  assert.ok(response.headers.some(([name]) => name === 'retry-after'));
});

test('the last failure response of a target is returned unchanged', async () => {
  const { response } = await run([makeResponse(500), makeResponse(502)], true);
  assert.equal(response.status, 502);
  assert.equal(Buffer.from(response.body).toString(), 'body');
});

test('a refusal by the home is returned immediately, with its Retry-After in seconds', async () => {
  const { response } = await run([], false, new RefusingSelector());
  assert.equal(response.status, 503);
  assert.deepEqual(
    response.headers.find(([name]) => name === 'retry-after'),
    ['retry-after', '0.70'],
  );
});

test('an idempotent request does not wait for a hanging target', async () => {
  // Guards against reads that time out while most targets respond quickly: a target accepts a request and
  // never responds, and the second target is tried only after the first has failed.
  const clock = new ManualClock();
  const hang = (): Promise<ITargetResponse> => new Promise(() => undefined);
  const running = run([hang, makeResponse(200)], true, undefined, clock);
  await clock.advanceBy(700);
  const { response, transport } = await running;
  assert.equal(response.status, 200);
  assert.equal(transport.sent.length, 2);
});

/** Grants the first request, and queues the second until it is cancelled. */
class QueueingSelector extends CountingSelector {
  isCancelled = false;

  override choose(request: IGrantRequest, signal?: AbortSignal): Promise<Selection> {
    if (request.attempt === 1) return super.choose(request);
    return new Promise((_, reject) => {
      signal?.addEventListener('abort', () => {
        this.isCancelled = true;
        reject(new Error('cancelled'));
      });
    });
  }
}

test('a response that is ready does not wait for a second target', async () => {
  // Guards against late responses under load: a read is slow, the grant request for a second target is queued
  // because all slots are taken, and the response of the first target waits for that grant.
  const clock = new ManualClock();
  const selector = new QueueingSelector();
  const late = async (): Promise<ITargetResponse> => {
    await clock.sleep(800);
    return makeResponse(200);
  };
  const running = run([late], true, selector, clock);
  let hasResponded = false;
  void running.then(() => {
    hasResponded = true;
  });
  await clock.advanceBy(900);
  assert.equal(hasResponded, true);
  assert.equal(selector.isCancelled, true);
});

test('a request that is not idempotent waits for its only target', async () => {
  const clock = new ManualClock();
  const late = async (): Promise<ITargetResponse> => {
    await clock.sleep(1500);
    return makeResponse(200);
  };
  const running = run([late], false, undefined, clock);
  await clock.advanceBy(1600);
  assert.equal((await running).transport.sent.length, 1);
});

test('a stale connection is reported as such, and the next attempt uses a new one', async () => {
  // Guards against a series of requests that fail on broken connections: a target drops idle connections
  // silently, and each attempt uses another of them because the failure is reported like any other.
  const { failure, mayHaveRun } = { failure: TransportFailure.Broken, mayHaveRun: true };
  const stale = new TransportError({ failure, mayHaveRun, reusedConnection: true });
  const { response, selector, transport } = await run([stale, makeResponse(200)], true);
  assert.equal(response.status, 200);
  assert.deepEqual(selector.outcomes, ['stale', 'succeeded']);
  assert.deepEqual(
    transport.options.map(({ freshConnection }) => freshConnection),
    [false, true],
  );
});

test('a request that was misdirected counts as a retry when it is sent again', async () => {
  // Guards against retries that exceed the retry limit after targets moved: the address now belongs to
  // another target, which responds that it has not run the request, and the second attempt counts as first.
  const misdirected = makeResponse(421, { notRun: true });
  const { selector } = await run([misdirected, makeResponse(200)], false);
  assert.deepEqual(
    selector.requests.map(({ attempt, isRetry }) => ({ attempt, isRetry })),
    [
      { attempt: 1, isRetry: false },
      { attempt: 1, isRetry: true },
    ],
  );
});

test('a request that reached no target does not count as a retry when it is sent again', async () => {
  const unreachable = makeError(TransportFailure.Connect, false);
  const { selector } = await run([unreachable, makeResponse(200)], false);
  assert.deepEqual(
    selector.requests.map(({ isRetry }) => isRetry),
    [false, false],
  );
});

test('the record of an attempt contains the advertised rate limit, also after shedding', async () => {
  const shed = makeResponse(503, { notRun: true, rateLimit: 0.5 });
  const { response } = await run([shed, makeResponse(200, { rateLimit: 2 })], true);
  assert.deepEqual(
    response.attempts.map(({ rateLimit }) => rateLimit),
    [0.5, 2],
  );
});

test('notices in the response of another target are not recorded for the intended one', async () => {
  // Guards against a healthy target that is excluded because a target at its former address is draining.
  const clock = new ManualClock();
  const other = makeResponse(421, { notRun: true, draining: true, rateLimit: 1 });
  const notices = new TargetNotices(clock);
  await run([other, makeResponse(200)], true, undefined, clock, notices);
  assert.equal(notices.isDraining(makeTarget('t1')), false);
  assert.deepEqual(notices.listLimits([makeTarget('t1')]), []);
});
