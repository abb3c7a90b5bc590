import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock, ResultCode, RunState } from '@parsleymux/base';
import type { ISendOptions, ITargetResponse, ITargetRequest } from '@parsleymux/routing';
import { TargetTransport, TransportError, TransportFailure } from '@parsleymux/routing';
import type { IGrantRequest } from '../../grants/common/grant.js';
import type { GrantOutcome } from '../../grants/common/grant.js';
import type { Selection } from '../../grants/common/targetSelector.js';
import { TargetSelector } from '../../grants/common/targetSelector.js';
import { makeKeyChecker, makeQuarantine, makeRoute, makeTarget } from '../../test/builders.js';
import { ANONYMOUS } from '../../tenants/common/keyChecker.js';
import type { IEntryAnswer, IEntryRequest } from './entryRequest.js';
import { PathHealth } from './pathHealth.js';
import { RequestRunner } from './requestRun.js';
import { TargetNotices } from './targetNotices.js';

type Reply = ITargetResponse | TransportError | (() => Promise<ITargetResponse>);

/** Replies in turn, and remembers what it was sent. */
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
    if (reply === undefined) throw new Error('one request too many');
    if (reply instanceof TransportError) throw reply;
    return typeof reply === 'function' ? reply() : Promise.resolve(reply);
  }

  override retireConnections(): void {
    // None are kept.
  }

  override hasIdleConnection(): boolean {
    return false;
  }

  override getConnectionCount(): number {
    return 0;
  }
}

/** Grants another target each time. */
class CountingSelector extends TargetSelector {
  readonly asked: IGrantRequest[] = [];
  readonly outcomes: GrantOutcome[] = [];

  override choose(request: IGrantRequest): Promise<Selection> {
    this.asked.push(request);
    const target = makeTarget(`t${this.asked.length}`);
    const report = (outcome: GrantOutcome): void => {
      this.outcomes.push(outcome);
    };
    const needsFreshConnection = this.asked.length > 1;
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

function makeAnswer(status: number, fields: Partial<ITargetResponse> = {}): ITargetResponse {
  const body = Buffer.from('body');
  return { status, headers: [], body, notRun: false, draining: false, latencyMs: 1, ...fields };
}

function makeError(failure: TransportFailure, mayHaveRun: boolean): TransportError {
  return new TransportError({ failure, mayHaveRun, reusedConnection: false });
}

interface IBench {
  readonly answer: IEntryAnswer;
  readonly transport: ScriptedTransport;
  readonly selector: CountingSelector;
}

async function run(
  replies: readonly Reply[],
  isIdempotent: boolean,
  refusing?: TargetSelector,
  clock = new ManualClock(),
  notices = new TargetNotices(clock),
): Promise<IBench> {
  const selector = new CountingSelector();
  const transport = new ScriptedTransport(replies);
  const runner = new RequestRunner({
    clock,
    selector: refusing ?? selector,
    transport,
    quarantine: makeQuarantine(clock),
    keys: makeKeyChecker(clock),
    notices,
    paths: new PathHealth(clock, () => undefined),
    failureDomain: 'north',
    listTargets: () => [],
    isAuthentic: ({ headers }) => !headers.some(([name]) => name === 'forged'),
    listTargetHeaders: (id) => [['expected', id]],
  });
  const request: IEntryRequest = {
    id: 'q1',
    sender: ANONYMOUS,
    catalogVersion: 1,
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
  const answer = await runner.run(request, new AbortController().signal);
  return { answer, transport, selector };
}

for (const [name, reply] of [
  ['a failure of the target', makeAnswer(500)],
  ['a broken connection', makeError(TransportFailure.Broken, true)],
  ['a time-out', makeError(TransportFailure.Timeout, true)],
  ['a success that no target vouches for', makeAnswer(200, { headers: [['forged', '1']] })],
] as const) {
  test(`a booking is sent once: ${name}`, async () => {
    // Symptom: a booking runs twice. Sequence: a target runs it and its answer is lost; the node
    // sends it to another. Cause: no answer was taken for not run.
    const { answer, transport } = await run([reply], false);
    assert.equal(transport.sent.length, 1);
    assert.ok(answer.status >= 500);
    assert.notEqual(answer.status, 503);
    assert.notEqual(answer.runState, RunState.NotRun);
  });

  test(`an idempotent request goes to another target: ${name}`, async () => {
    const { answer, selector, transport } = await run([reply, makeAnswer(200)], true);
    assert.equal(answer.status, 200);
    assert.equal(transport.sent.length, 2);
    assert.deepEqual(selector.asked[1]?.excluded, ['t1']);
    assert.equal(selector.asked[1].attempt, 2);
  });
}

for (const [name, reply] of [
  ['the target says so', makeAnswer(503, { notRun: true })],
  ['another target has the address', makeAnswer(421, { notRun: true })],
  ['no connection was made', makeError(TransportFailure.Connect, false)],
] as const) {
  test(`a booking that has certainly not run is sent again: ${name}`, async () => {
    const { answer, transport } = await run([reply, makeAnswer(200)], false);
    assert.equal(answer.status, 200);
    assert.equal(transport.sent.length, 2);
  });
}

test('a refusal by all targets is a refusal with when to come back, for nothing has run', async () => {
  const shed = makeAnswer(503, { notRun: true });
  const { answer } = await run([shed, shed], false);
  assert.equal(answer.status, 503);
  assert.equal(answer.runState, RunState.NotRun);
  assert.ok(answer.headers.some(([name]) => name === 'retry-after'));
});

test('the last failure that a target gave is handed on as it came', async () => {
  const { answer } = await run([makeAnswer(500), makeAnswer(502)], true);
  assert.equal(answer.status, 502);
  assert.equal(Buffer.from(answer.body).toString(), 'body');
});

test('a refusal of the home is answered at once, its wait in seconds', async () => {
  const { answer } = await run([], false, new RefusingSelector());
  assert.equal(answer.status, 503);
  assert.deepEqual(
    answer.headers.find(([name]) => name === 'retry-after'),
    ['retry-after', '0.70'],
  );
});

test('a request that may be repeated does not wait for a target that hangs', async () => {
  // Symptom: reads time out while most targets answer at once. Sequence: a target accepts a request
  // and never answers. Cause: the second target was asked only after the first had failed.
  const clock = new ManualClock();
  const hang = (): Promise<ITargetResponse> => new Promise(() => undefined);
  const running = run([hang, makeAnswer(200)], true, undefined, clock);
  await clock.advanceBy(700);
  const { answer, transport } = await running;
  assert.equal(answer.status, 200);
  assert.equal(transport.sent.length, 2);
});

/** Grants the first question, and leaves the second in a queue until it is withdrawn. */
class QueueingSelector extends CountingSelector {
  isWithdrawn = false;

  override choose(request: IGrantRequest, signal?: AbortSignal): Promise<Selection> {
    if (request.attempt === 1) return super.choose(request);
    return new Promise((_, reject) => {
      signal?.addEventListener('abort', () => {
        this.isWithdrawn = true;
        reject(new Error('withdrawn'));
      });
    });
  }
}

test('an answer that is ready does not wait for a second target', async () => {
  // Symptom: answers arrive late under load. Sequence: a read is slow, a second target is asked for,
  // all slots are taken and the question is queued; the first target answers. Cause: the answer
  // waited for the question.
  const clock = new ManualClock();
  const selector = new QueueingSelector();
  const late = async (): Promise<ITargetResponse> => {
    await clock.sleep(800);
    return makeAnswer(200);
  };
  const running = run([late], true, selector, clock);
  let isAnswered = false;
  void running.then(() => {
    isAnswered = true;
  });
  await clock.advanceBy(900);
  assert.equal(isAnswered, true);
  assert.equal(selector.isWithdrawn, true);
});

test('a booking waits for the one target that it was sent to', async () => {
  const clock = new ManualClock();
  const late = async (): Promise<ITargetResponse> => {
    await clock.sleep(1500);
    return makeAnswer(200);
  };
  const running = run([late], false, undefined, clock);
  await clock.advanceBy(1600);
  assert.equal((await running).transport.sent.length, 1);
});

test('a kept connection that broke is told as such, and the next attempt takes a new one', async () => {
  // Symptom: one request after the other fails with a broken connection. Sequence: a target forgets
  // idle connections without notice; each request finds another of them. Cause: a broken kept
  // connection was told like any other failure, and kept ones went on being used.
  const { failure, mayHaveRun } = { failure: TransportFailure.Broken, mayHaveRun: true };
  const stale = new TransportError({ failure, mayHaveRun, reusedConnection: true });
  const { answer, selector, transport } = await run([stale, makeAnswer(200)], true);
  assert.equal(answer.status, 200);
  assert.deepEqual(selector.outcomes, ['stale', 'succeeded']);
  assert.deepEqual(
    transport.options.map(({ freshConnection }) => freshConnection),
    [false, true],
  );
});

test('a request that another target turned away is a retry when it is sent again', async () => {
  // Symptom: a service gets more arrivals than the limit of retries allows after its targets moved.
  // Sequence: an address belongs to another target now, which answers that it has not run the request;
  // the request is sent again. Cause: it counted as sent for the first time, as if nobody were reached.
  const misdirected = makeAnswer(421, { notRun: true });
  const { selector } = await run([misdirected, makeAnswer(200)], false);
  assert.deepEqual(
    selector.asked.map(({ attempt, isRetry }) => ({ attempt, isRetry })),
    [
      { attempt: 1, isRetry: false },
      { attempt: 1, isRetry: true },
    ],
  );
});

test('a request that reached no target is not a retry when it is sent again', async () => {
  const unreachable = makeError(TransportFailure.Connect, false);
  const { selector } = await run([unreachable, makeAnswer(200)], false);
  assert.deepEqual(
    selector.asked.map(({ isRetry }) => isRetry),
    [false, false],
  );
});

test('the record of an attempt says which limit the target named, also where it shed', async () => {
  const shed = makeAnswer(503, { notRun: true, rateLimit: 0.5 });
  const { answer } = await run([shed, makeAnswer(200, { rateLimit: 2 })], true);
  assert.deepEqual(
    answer.attempts.map(({ rateLimit }) => rateLimit),
    [0.5, 2],
  );
});

test('what another target says at an address is not taken for the word of the one that was meant', async () => {
  // Guards against a sound target that is left alone because the next one at its former address leaves.
  const clock = new ManualClock();
  const other = makeAnswer(421, { notRun: true, draining: true, rateLimit: 1 });
  const notices = new TargetNotices(clock);
  await run([other, makeAnswer(200)], true, undefined, clock, notices);
  assert.equal(notices.isLeaving(makeTarget('t1')), false);
  assert.deepEqual(notices.listLimits([makeTarget('t1')]), []);
});
