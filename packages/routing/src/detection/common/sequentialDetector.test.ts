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

/** Feeds outcomes in rounds, one a target, until a suspicion is confirmed as the home does it. */
function feed(detector: SequentialDetector, traffic: ITraffic): ISuspicion | undefined {
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
      // The suspect is left out, its peers go on, and some copies are sent to it.
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

test('a target that fails one request in five is suspected, and no other', () => {
  // Symptom: callers of one target in six see errors for hours while its health probes are green.
  // Sequence: it fails a fifth of its work; five errors in a row hardly ever come.
  // Cause: rules for dead targets don't add up evidence.
  const failShare = (target: string) => (target === 't0' ? 0.2 : 0.002);
  const suspicion = feed(createDetector(), { failShare, rounds: 500 });
  assert.equal(suspicion?.target, 't0');
  assert.equal(suspicion.isPathFaultPossible, false);
});

test('when all targets fail alike, none is confirmed', () => {
  // Symptom: half of the targets are ejected while a database behind all of them is down.
  // Sequence: every target begins to fail half of its work at the same moment.
  // Cause: a target was judged without a look at its peers.
  assert.equal(feed(createDetector(FAST_OPTIONS), { rounds: 200 }), undefined);
  const detector = createDetector(FAST_OPTIONS);
  assert.equal(feed(detector, { failShare: () => 0.5, rounds: 300 }), undefined);
});

test('a target three times as slow as its peers is suspected; all slow together are not', () => {
  const slowOne = (target: string) => (target === 't0' ? 150 : 50);
  assert.equal(feed(createDetector(), { latencyMs: slowOne, rounds: 300 })?.target, 't0');
  const detector = createDetector();
  feed(detector, { rounds: 200 });
  assert.equal(feed(detector, { latencyMs: () => 150, rounds: 300 }), undefined);
});

test('a cold target is not judged as slow', () => {
  // Symptom: a target that has just been restarted is ejected, again and again.
  // Sequence: caches are empty, answers take thrice as long, the test finds it slow.
  // Cause: warming up was taken for a fault.
  const detector = createDetector(FAST_OPTIONS);
  detector.setCold('t0', true);
  const slowOne = (target: string) => (target === 't0' ? 150 : 50);
  assert.equal(feed(detector, { latencyMs: slowOne, rounds: 300 }), undefined);
});

test('healthy targets on lossy paths are left alone for long', () => {
  for (const options of [CAREFUL_OPTIONS, FAST_OPTIONS]) {
    assert.equal(feed(createDetector(options), { failShare: () => 0.01, rounds: 5000 }), undefined);
  }
});
