import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SeededRandom } from '@parsleymux/base';
import type { ISuspicion } from './failureDetector.js';
import { Evidence } from './failureDetector.js';
import { CAREFUL_OPTIONS, FAST_OPTIONS, SequentialDetector } from './sequentialDetector.js';

const TARGETS = ['t0', 't1', 't2', 't3', 't4', 't5'];

const CONFIRM_ROUNDS = 20;

interface ITraffic {
  readonly failShare?: (target: string) => number;
  readonly latencyMs?: (target: string) => number;
  readonly rounds: number;
}

/** Records outcomes in rounds, one per target, and confirms suspicions as a home does. */
function recordRounds(detector: SequentialDetector, traffic: ITraffic): ISuspicion | undefined {
  const random = new SeededRandom(3);
  const record = (target: string, round: number) => {
    const isBad = random.getFloat() < (traffic.failShare?.(target) ?? 0);
    const latencyMs = (traffic.latencyMs?.(target) ?? 50) * Math.exp(random.getFloat() - 0.5);
    const common = { target, route: 'read', atMs: round * 10 };
    if (isBad) return detector.recordEvidence({ ...common, kind: Evidence.Failure });
    return detector.recordEvidence({ ...common, kind: Evidence.Success, latencyMs });
  };
  for (let round = 0; round < traffic.rounds; round += 1) {
    for (const target of TARGETS) {
      const suspicion = record(target, round);
      if (suspicion === undefined) continue;
      // The suspect receives copies only, while its peers continue to serve.
      const peers = TARGETS.filter((peer) => peer !== target);
      for (let extra = 0; extra < CONFIRM_ROUNDS; extra += 1) {
        for (const peer of peers) record(peer, round + extra);
      }
      for (let copy = 0; copy < detector.traits.confirmCopies; copy += 1) record(target, round);
      if (detector.isConfirmed(suspicion)) return suspicion;
    }
  }
  return undefined;
}

function createDetector(options = CAREFUL_OPTIONS): SequentialDetector {
  const detector = new SequentialDetector(options);
  detector.setTargets(TARGETS);
  return detector;
}

test('a target that fails one request in five is suspected, and no other target is', () => {
  // A target that fails a fifth of its requests passes its health probes and rarely fails five times
  // in a row, so rules for dead targets never detect it: the evidence must accumulate.
  const failShare = (target: string) => (target === 't0' ? 0.2 : 0.002);
  const suspicion = recordRounds(createDetector(), { failShare, rounds: 500 });
  assert.equal(suspicion?.target, 't0');
  assert.equal(suspicion.isPathFaultPossible, false);
});

test('no suspicion is confirmed when all targets fail alike', () => {
  // A shared cause, such as a database outage, makes all targets fail at the same time. Without a
  // comparison with its peers, each of them would be ejected.
  assert.equal(recordRounds(createDetector(FAST_OPTIONS), { rounds: 200 }), undefined);
  const detector = createDetector(FAST_OPTIONS);
  assert.equal(recordRounds(detector, { failShare: () => 0.5, rounds: 300 }), undefined);
});

test('a target three times as slow as its peers is suspected, but not when all are slow', () => {
  const slowOne = (target: string) => (target === 't0' ? 150 : 50);
  assert.equal(recordRounds(createDetector(), { latencyMs: slowOne, rounds: 300 })?.target, 't0');
  const detector = createDetector();
  recordRounds(detector, { rounds: 200 });
  assert.equal(recordRounds(detector, { latencyMs: () => 150, rounds: 300 }), undefined);
});

test('a cold target is not suspected of slowness', () => {
  // A restarted target responds slowly until its caches are filled. If that counted as a fault, it
  // would be ejected after every restart.
  const detector = createDetector(FAST_OPTIONS);
  detector.setCold('t0', true);
  const slowOne = (target: string) => (target === 't0' ? 150 : 50);
  assert.equal(recordRounds(detector, { latencyMs: slowOne, rounds: 300 }), undefined);
});

test('healthy targets on lossy paths are not suspected', () => {
  for (const options of [CAREFUL_OPTIONS, FAST_OPTIONS]) {
    assert.equal(
      recordRounds(createDetector(options), { failShare: () => 0.01, rounds: 5000 }),
      undefined,
    );
  }
});
