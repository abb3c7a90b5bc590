import assert from 'node:assert/strict';
import { test } from 'node:test';
import { InvariantName } from '@parsleymux/base';
import { TargetObserver } from '../../detection/common/targetObserver.js';
import type { IObservation } from '../../detection/common/targetObserver.js';
import type { Respond } from '../../test/common/builders.js';
import { buildResponse, buildRequest, buildRoute } from '../../test/common/builders.js';
import type { IHomeFixtureOptions } from '../../test/common/homeFixture.js';
import { createHomeFixture } from '../../test/common/homeFixture.js';
import { TransportError, TransportFailure } from '../../transport/common/targetTransport.js';
import { countTrialCopies } from './trial.js';

const signal = new AbortController().signal;

class FixedObserver extends TargetObserver {
  constructor(private readonly succeeded: boolean) {
    super();
  }

  override observe(): Promise<IObservation> {
    return Promise.resolve({ succeeded: this.succeeded, status: 200, latencyMs: 10 });
  }
}

/** Targets respond in 10 ms; the first uses `broken` while `isBroken` is set. */
function setUp(broken: Respond, floorSlots: number, options: IHomeFixtureOptions = {}) {
  const state = { isBroken: false, bookings: 0 };
  const fixture = createHomeFixture(
    4,
    () => Promise.resolve(buildResponse()),
    { floorSlots },
    options,
  );
  const { clock, transport, home } = fixture;
  transport.respond = async (request, sendOptions) => {
    if (request.target === 't0' && request.method === 'POST') state.bookings += 1;
    if (request.target === 't0' && state.isBroken) return broken(request, sendOptions);
    return fixture.respondAfter(10)(request, sendOptions);
  };
  let number = 0;
  /** Sends one request every 5 ms; every third is not idempotent. */
  const run = async (durationMs: number) => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 5) {
      number += 1;
      const isBooking = number % 3 === 0;
      const deadlineMs = clock.getMonotonicTime() + 1000;
      const method = isBooking ? 'POST' : 'GET';
      const request = buildRequest({ route: buildRoute(!isBooking), method, deadlineMs });
      void home.handle(request, signal).catch(() => undefined);
      await clock.advanceBy(5);
    }
  };
  const breakNow = async () => {
    await run(2000);
    state.isBroken = true;
    await run(2000);
  };
  return { ...fixture, state, run, breakNow };
}

const fail: Respond = (_request, options) => {
  options.onDispatch?.();
  return Promise.resolve(buildResponse({ status: 500 }));
};

function makeSilence(fixture: () => ReturnType<typeof setUp>): Respond {
  return async (request, options) => {
    await fixture()
      .clock.sleep(request.timeoutMs, options.signal)
      .catch(() => undefined);
    throw new TransportError({
      failure: TransportFailure.Timeout,
      mayHaveRun: true,
      reusedConnection: false,
    });
  };
}

test('a failing target is ejected, tried with copies only, and returns after it recovers', async () => {
  // If callers' requests were used to test whether an ejected target has recovered, bookings, which
  // must not run twice, would be lost on a target that has not.
  const { state, run, breakNow, standings, table, home } = setUp(fail, 8);
  await breakNow();
  assert.ok(standings.includes('t0 ejected'));
  const bookings = state.bookings;
  await run(20_000);
  assert.equal(state.bookings, bookings);
  assert.ok(standings.includes('t0 trial'));
  state.isBroken = false;
  await run(60_000);
  assert.equal(standings.at(-1), 't0 serving');
  assert.ok(state.bookings > bookings);
  assert.equal([...table.rows.values()][0]?.value.includes('t0'), false);
  await home.dispose();
});

test('a failing target that the floor protects remains usable as the last choice', async () => {
  const { breakNow, standings, invariants, state, run, home } = setUp(fail, 16);
  await breakNow();
  assert.ok(standings.includes('t0 suspect'));
  assert.equal(standings.includes('t0 ejected'), false);
  assert.equal(invariants.getViolationCount(InvariantName.CapacityFloor), 0);
  const bookings = state.bookings;
  await run(2000);
  assert.equal(state.bookings, bookings);
  await home.dispose();
});

test('a failing target is demoted but not ejected while the store is unavailable', async () => {
  // If an unreachable ledger counted as a grant, two homes could eject all targets of a service
  // during an outage of the store.
  const { breakNow, standings, table, home } = setUp(fail, 8);
  table.isDown = true;
  await breakNow();
  assert.ok(standings.includes('t0 suspect'));
  assert.equal(standings.includes('t0 ejected'), false);
  await home.dispose();
});

test('a target that another node returned is ejected again only with a new grant', async () => {
  // A home ejects t0, and another home or an operator returns it in the ledger while it still fails.
  // If the first home kept excluding it, healthy slots would be below the floor while the ledger
  // counts them as above it.
  const { breakNow, run, table, home } = setUp(fail, 8);
  await breakNow();
  const [key] = [...table.rows.keys()];
  table.write(key!, JSON.stringify({ ejected: [] }));
  await run(15_000);
  const [t0] = home.getStatus()[0]!.targets;
  assert.equal(t0?.verdict, 'ejected');
  assert.ok(table.rows.get(key!)?.value.includes('"t0"'));
  await home.dispose();
});

test('a target that only this node cannot reach is not ejected for all nodes', async () => {
  // All requests of the home are lost while other nodes reach the target. Without an observer, a
  // healthy target would be ejected because of one faulty path.
  const observer = new FixedObserver(true);
  const fixture = setUp(
    makeSilence(() => fixture),
    8,
    { observer },
  );
  await fixture.breakNow();
  assert.ok(fixture.standings.includes('t0 suspect'));
  assert.equal(fixture.standings.includes('t0 ejected'), false);
  await fixture.home.dispose();
});

test('a silent target that the observer cannot reach either is ejected', async () => {
  const observer = new FixedObserver(false);
  const fixture = setUp(
    makeSilence(() => fixture),
    8,
    { observer },
  );
  await fixture.breakNow();
  assert.ok(fixture.standings.includes('t0 ejected'));
  await fixture.home.dispose();
});

test('a trial is longer for a fault that affects fewer requests', () => {
  assert.equal(countTrialCopies(1), 5);
  assert.equal(countTrialCopies(0.2), 14);
  assert.equal(countTrialCopies(0.05), 59);
});
