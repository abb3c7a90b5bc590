import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { IObservedTarget } from './fleetObserver.js';
import { FleetObserver } from './fleetObserver.js';
import type { IScenario } from './scenario.js';

const WINDOW_MS = 10_000;

function createObserver(): FleetObserver {
  const scenario = {
    durationMs: 30_000,
    retryRatio: 0.2,
    retryBurst: 10,
    retryWindowMs: WINDOW_MS,
    floorShare: 0.7,
    services: [{ name: 'booking' }],
    events: [],
  };
  return new FleetObserver(scenario as unknown as IScenario);
}

function makeTarget(index: number, fields: Partial<IObservedTarget> = {}): IObservedTarget {
  return {
    id: `t${index}`,
    service: 'booking',
    isUndisturbed: () => true,
    isFailingWithin: () => false,
    failedMs: [],
    ...fields,
  };
}

/** Adds a served request with `arrivals` arrivals at targets, 10 ms apart. */
function addRequest(observer: FleetObserver, id: string, atMs: number, arrivals: number): void {
  observer.recordRequest('booking', id, atMs);
  observer.recordServed(id);
  for (let index = 0; index < arrivals; index += 1) {
    observer.recordArrival('booking', id, `t${index}`, atMs + index * 10);
  }
}

test('retries up to the ratio plus the burst are within the limit, one more is not', () => {
  const observer = createObserver();
  for (let index = 0; index < 100; index += 1) {
    addRequest(observer, `q${index}`, 12_000 + index, index < 30 ? 2 : 1);
  }
  assert.deepEqual(observer.findViolations([]), []);
  observer.recordArrival('booking', 'q99', 't9', 12_500);
  const [first] = observer.findViolations([]);
  assert.equal(first?.limit, 'retries');
  assert.equal(first.text, '31 retries for 100 requests; allowed 30');
});

test('requests of the previous window count for late retries', () => {
  const observer = createObserver();
  for (let index = 0; index < 100; index += 1) addRequest(observer, `q${index}`, index, 1);
  for (let index = 0; index < 30; index += 1) {
    observer.recordArrival('booking', `q${index}`, 't1', WINDOW_MS + index);
  }
  assert.deepEqual(observer.findViolations([]), []);
});

test('the floor binds while more than a tenth and less than half of the requests are unserved', () => {
  for (const [unserved, isViolated] of [
    [10, false],
    [11, true],
    [49, true],
    [50, false],
  ] as const) {
    const observer = createObserver();
    for (let index = 0; index < 100; index += 1) {
      const id = `q${index}`;
      observer.recordRequest('booking', id, 10_000);
      observer.recordArrival('booking', id, `t${index % 6}`, 10_000);
      if (index >= unserved) observer.recordServed(id);
    }
    const targets = Array.from({ length: 10 }, (_, index) => makeTarget(index));
    assert.equal(observer.findViolations(targets).length > 0, isViolated, `${unserved} unserved`);
  }
});

test('disturbed targets and recently failed targets do not count for the floor', () => {
  const observer = createObserver();
  for (let index = 0; index < 100; index += 1) {
    const id = `q${index}`;
    observer.recordRequest('booking', id, 10_000);
    observer.recordArrival('booking', id, `t${index % 6}`, 10_000);
    if (index >= 20) observer.recordServed(id);
  }
  const used = Array.from({ length: 6 }, (_, index) => makeTarget(index));
  const disturbed = [6, 7].map((index) => makeTarget(index, { isUndisturbed: () => false }));
  const failed = [
    makeTarget(8, { failedMs: [9500] }),
    makeTarget(9, { isFailingWithin: (fromMs, toMs) => fromMs < 9500 && toMs > 9500 }),
  ];
  assert.deepEqual(observer.findViolations([...used, ...disturbed, ...failed]), []);
});
