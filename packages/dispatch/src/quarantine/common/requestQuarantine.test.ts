import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock, createSilentLogger } from '@parsleymux/base';
import type { ICrashHistoryRecord } from './crashHistory.js';
import { RequestQuarantine } from './requestQuarantine.js';

const REQUEST = 'aa01';
const MINUTE_MS = 60_000;

class Bench {
  readonly clock = new ManualClock();
  readonly quarantine: RequestQuarantine;
  readonly told: ICrashHistoryRecord[] = [];
  readonly decided: ICrashHistoryRecord[] = [];

  constructor(maxHistories = 16) {
    this.quarantine = new RequestQuarantine({
      clock: this.clock,
      log: createSilentLogger(),
      maxHistories,
    });
    this.quarantine.onDidChange((record) => this.told.push(record));
    this.quarantine.onDidChangeDecision((record) => this.decided.push(record));
  }

  /** Grants a target and loses it after 100 ms. */
  async lose(target: string, fingerprint = REQUEST): Promise<void> {
    const grantedMs = this.clock.getMonotonicTime();
    this.quarantine.recordGrant({ fingerprints: [fingerprint], requestId: 'q' });
    await this.clock.advanceBy(100);
    this.quarantine.recordConnectionLoss({
      fingerprints: [fingerprint],
      requestId: 'q',
      target,
      grantedMs,
    });
  }

  async loseThree(): Promise<void> {
    for (const target of ['i-1', 'i-2', 'i-3']) await this.lose(target);
  }

  getHoldMs(fingerprint = REQUEST): number {
    return this.quarantine.getHoldMs([fingerprint]);
  }
}

test('a request is held back once three targets were lost under it', async () => {
  const bench = new Bench();
  await bench.lose('i-1');
  await bench.lose('i-2');
  assert.equal(bench.getHoldMs(), 0);
  await bench.lose('i-3');
  assert.equal(bench.getHoldMs(), MINUTE_MS);
  assert.equal(bench.getHoldMs('bb02'), 0);
});

test('others hear of the second loss, and a verdict is to be kept', async () => {
  const bench = new Bench();
  await bench.loseThree();
  assert.deepEqual(
    bench.told.map(({ crashes }) => crashes.length),
    [2, 3],
  );
  assert.equal(bench.decided.length, 1);
});

test('a request that succeeded between the losses is not held back', async () => {
  const bench = new Bench();
  await bench.lose('i-1');
  await bench.lose('i-2');
  bench.quarantine.recordSuccess([REQUEST]);
  await bench.lose('i-3');
  assert.equal(bench.getHoldMs(), 0);
});

test('a target that answers afterwards was not lost', async () => {
  // Gray targets reset connections and go on serving: no request is to blame for that.
  const bench = new Bench();
  await bench.lose('i-1');
  await bench.lose('i-2');
  bench.quarantine.recordResponse('i-2', bench.clock.getMonotonicTime() + 1);
  await bench.lose('i-3');
  assert.equal(bench.getHoldMs(), 0);
});

test('a verdict that a later answer refutes is withdrawn everywhere', async () => {
  const bench = new Bench();
  await bench.loseThree();
  bench.quarantine.recordResponse('i-3', bench.clock.getMonotonicTime() + 1);
  assert.equal(bench.getHoldMs(), 0);
  const other = new Bench();
  for (const record of bench.told) other.quarantine.applyRecord(record);
  assert.equal(other.getHoldMs(), 0);
});

test('copies that ran side by side when a rack lost power count once', async () => {
  // Sequence: three callers' copies of one popular request run on three targets; power fails, and all
  // connections are lost within some ms. Held back, the request would fail for a reason that is not its own.
  const bench = new Bench();
  const { clock, quarantine } = bench;
  const grantedMs = clock.getMonotonicTime();
  await clock.advanceBy(200);
  for (const target of ['i-1', 'i-2', 'i-3', 'i-4']) {
    quarantine.recordConnectionLoss({ fingerprints: [REQUEST], requestId: 'q', target, grantedMs });
    await clock.advanceBy(10);
  }
  assert.equal(bench.getHoldMs(), 0);
});

test('targets that went down together with others speak against no request', async () => {
  // Sequence: racks lose power one second after the other; a slow read that is repeated each time is lost with
  // three of them. Held back, it would fail for a reason that is not its own.
  const bench = new Bench();
  const { clock, quarantine } = bench;
  for (const rack of ['a', 'b', 'c']) {
    const grantedMs = clock.getMonotonicTime();
    await clock.advanceBy(1000);
    const others = [1, 2, 3].map((index) => ({
      target: `${rack}-${index}`,
      fingerprints: [`b${index}`],
    }));
    for (const loss of [{ target: `${rack}-0`, fingerprints: [REQUEST] }, ...others]) {
      quarantine.recordConnectionLoss({ ...loss, requestId: 'q', grantedMs });
      await clock.advanceBy(2);
    }
  }
  assert.equal(bench.getHoldMs(), 0);
});

test('requests that are lost with the target that another one crashes are not held back', async () => {
  const bench = new Bench();
  const { clock, quarantine } = bench;
  for (const target of ['i-1', 'i-2', 'i-3']) {
    const grantedMs = clock.getMonotonicTime();
    await clock.advanceBy(100);
    for (const fingerprint of [REQUEST, `b${target.slice(-1)}`, `c${target.slice(-1)}`]) {
      quarantine.recordConnectionLoss({
        fingerprints: [fingerprint],
        requestId: 'q',
        target,
        grantedMs,
      });
    }
  }
  const held = quarantine.listQuarantined().map(({ fingerprint }) => fingerprint);
  assert.deepEqual(held, [REQUEST]);
});

test('after its hold a request is tried once, and held back ten times as long meanwhile', async () => {
  const bench = new Bench();
  await bench.loseThree();
  await bench.clock.advanceBy(MINUTE_MS);
  assert.equal(bench.getHoldMs(), 0);
  await bench.lose('i-9');
  assert.equal(bench.getHoldMs(), 10 * MINUTE_MS);
  assert.equal(bench.decided.length, 2);
});

test('a trial that succeeds lets the request go', async () => {
  const bench = new Bench();
  await bench.loseThree();
  await bench.clock.advanceBy(MINUTE_MS);
  bench.quarantine.recordGrant({ fingerprints: [REQUEST], requestId: 'q' });
  bench.quarantine.recordSuccess([REQUEST]);
  assert.equal(bench.getHoldMs(), 0);
  assert.deepEqual(bench.quarantine.listQuarantined(), []);
});

test('losses that different nodes saw add up', async () => {
  // Sequence: the route moves to another service between two losses, so another home sees the rest.
  const first = new Bench();
  const second = new Bench();
  await first.lose('i-1');
  await first.lose('i-2');
  await second.lose('i-7');
  for (const record of first.told) second.quarantine.applyRecord(record);
  assert.ok(second.getHoldMs() > 0);
  assert.equal(second.decided.length, 1);
  for (const record of second.told) first.quarantine.applyRecord(record);
  assert.ok(first.getHoldMs() > 0);
});

test('what is told late does not bring a cleared case back', async () => {
  const bench = new Bench();
  await bench.loseThree();
  const old = bench.told.at(-1);
  await bench.clock.advanceBy(500);
  bench.quarantine.release(REQUEST, 'an operator said so');
  assert.ok(old !== undefined);
  const crashes = old.crashes.map(({ ageMs, target }) => ({ target, ageMs: ageMs + 500 }));
  bench.quarantine.applyRecord({ ...old, crashes });
  assert.equal(bench.getHoldMs(), 0);
});

test('a full table forgets requests with the fewest losses first', async () => {
  // Sequence: a rack is lost with hundreds of requests while one request is held back.
  const bench = new Bench(16);
  await bench.loseThree();
  for (let index = 0; index < 1000; index += 1) {
    await bench.lose('rack-1', (0x1000 + index).toString(16));
  }
  const held = bench.quarantine.listQuarantined().map(({ fingerprint }) => fingerprint);
  assert.deepEqual(held, [REQUEST]);
});

test('what a thousand lost and served requests leave behind is bounded', async () => {
  const bench = new Bench(16);
  for (let index = 0; index < 1000; index += 1) {
    const fingerprint = (0x1000 + index).toString(16);
    await bench.lose(`i-${index}`, fingerprint);
    if (index % 2 === 0) bench.quarantine.recordSuccess([fingerprint]);
  }
  assert.ok(bench.quarantine.countEntries() <= 2 * 16);
});

test('a request is known by its path too, where copies differ in the query', async () => {
  const bench = new Bench();
  for (const [query, target] of [
    ['c1', 'i-1'],
    ['c2', 'i-2'],
    ['c3', 'i-3'],
  ] as const) {
    const grantedMs = bench.clock.getMonotonicTime();
    await bench.clock.advanceBy(100);
    const fingerprints = [query, REQUEST];
    bench.quarantine.recordConnectionLoss({ fingerprints, requestId: 'q', target, grantedMs });
  }
  assert.ok(bench.quarantine.getHoldMs(['c4', REQUEST]) > 0);
});

test('one query is held back while others of its path succeed', async () => {
  const bench = new Bench();
  for (const target of ['i-1', 'i-2', 'i-3']) {
    await bench.lose(target);
    bench.quarantine.recordSuccess(['c1', 'd1']);
  }
  assert.ok(bench.quarantine.getHoldMs([REQUEST, 'd1']) > 0);
  assert.equal(bench.quarantine.getHoldMs(['c1', 'd1']), 0);
});
