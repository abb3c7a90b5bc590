import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Findings } from '../../prove/common/findings.js';
import { DisturbanceLog } from './disturbanceLog.js';
import { checkBounds } from './boundChecks.js';
import { checkSafety } from './safetyChecks.js';
import type { ISoakEvidence } from './soakEvidence.js';
import type { ISoakArrival, ISoakReply, ISoakRequest } from './soakLedger.js';
import { SoakLedger } from './soakLedger.js';
import { formatResponseBody } from './requestText.js';

const REQUEST: ISoakRequest = {
  id: 'q1',
  kind: 'booking',
  method: 'POST',
  path: '/bookings/q1',
  body: 'order',
  node: 'node-0',
  incarnation: 1,
  sentMs: 10_000,
};
const ARRIVAL: ISoakArrival = {
  id: 'q1',
  target: 'booking-1',
  service: 'booking',
  method: 'POST',
  path: '/bookings/q1',
  body: 'order',
  atMs: 10_010,
  hasRun: true,
  status: 200,
  isAnnouncingDrain: false,
  bornMs: 1,
};
const REPLY: ISoakReply = {
  status: 200,
  body: formatResponseBody('q1', 'booking-1'),
  stamp: 'booking-1.q1',
  retryAfter: undefined,
  endMs: 10_100,
  hasDisconnected: false,
  isUnread: false,
};

interface ICase {
  readonly request?: Partial<ISoakRequest>;
  readonly reply?: Partial<ISoakReply>;
  readonly arrivals?: readonly Partial<ISoakArrival>[];
  readonly workEndMs?: number;
  readonly evidence?: Partial<ISoakEvidence>;
}

/** Lists the names of the checks that fail on one request. */
function listFailedChecks(given: ICase): readonly string[] {
  const ledger = new SoakLedger();
  ledger.recordRequest({ ...REQUEST, ...given.request });
  ledger.recordReply('q1', { ...REPLY, ...given.reply });
  for (const arrival of given.arrivals ?? [{}]) {
    ledger.recordArrival({ ...ARRIVAL, ...arrival })(given.workEndMs ?? ARRIVAL.atMs);
  }
  const evidence: ISoakEvidence = {
    ledger,
    disturbances: new DisturbanceLog(),
    crashes: [],
    drains: [],
    plannedStops: [],
    pathLosses: [],
    probes: [],
    versions: [],
    ...given.evidence,
  };
  const findings = new Findings();
  checkSafety(evidence, findings);
  checkBounds(evidence, findings);
  return findings
    .list()
    .filter(({ violations }) => violations > 0)
    .map(({ name }) => name);
}

test('a request that is served fails no check', () => {
  assert.deepEqual(listFailedChecks({}), []);
});

test('each check fails on a record that violates it', () => {
  // A check that compares the wrong values passes every run, so that a violation is not found.
  const cases: readonly (readonly [string, ICase])[] = [
    ['at most once', { arrivals: [{}, {}] }],
    ['refused means not run', { reply: { status: 429, stamp: undefined } }],
    [
      'refusals say when to come back',
      { reply: { status: 503, stamp: undefined }, arrivals: [{ hasRun: false }] },
    ],
    ['successes are whole and the target’s own', { reply: { body: 'q1 done by' } }],
    ['successes are whole and the target’s own', { reply: { stamp: undefined } }],
    ['failures keep the status of their target', { reply: { status: 500 } }],
    ['targets get requests unchanged', { arrivals: [{ body: 'ord' }] }],
    ['requests run where their route says', { arrivals: [{ service: 'listing' }] }],
    ['attempts stay within the route', { arrivals: [{}, { target: 'b' }, { target: 'c' }] }],
    ['targets get only what callers sent', { arrivals: [{}, { id: 'q2' }] }],
    ['allowed requests are not denied', { reply: { status: 404, stamp: undefined } }],
    ['answers come by the route’s timeout', { reply: { endMs: 12_600 } }],
    [
      'requests of callers that left go no further',
      { reply: { hasDisconnected: true, endMs: 10_020 }, arrivals: [{ atMs: 10_600 }] },
    ],
    [
      'targets drop the work of callers that left',
      { reply: { hasDisconnected: true, endMs: 10_020 }, workEndMs: 10_600 },
    ],
    [
      'stops lose no request',
      {
        reply: { status: undefined },
        evidence: { plannedStops: [{ node: 'node-0', incarnation: 1, requestedMs: 10_050 }] },
      },
    ],
    [
      'leaving targets get nothing new',
      { evidence: { drains: [{ target: 'booking-1', acceptedMs: 8000 }] } },
    ],
  ];
  for (const [name, given] of cases) assert.ok(listFailedChecks(given).includes(name), name);
});

test('time bounds are not checked during and shortly after a fault', () => {
  const disturbances = new DisturbanceLog();
  disturbances.record('node-0', 9000);
  const drains = [{ target: 'booking-1', acceptedMs: 8000 }];
  assert.deepEqual(listFailedChecks({ evidence: { disturbances, drains } }), []);
});

test('a process that returns to an older configuration fails a check, a new process does not', () => {
  const probe = { node: 'node-0', incarnation: 1, sentMs: 1, isFound: true };
  const probes = [
    { ...probe, version: 2 },
    { ...probe, version: 1, sentMs: 2 },
  ];
  assert.deepEqual(listFailedChecks({ evidence: { probes } }), ['configurations never go back']);
  const [first, second] = probes;
  const restarted = [first!, { ...second!, incarnation: 2 }];
  assert.deepEqual(listFailedChecks({ evidence: { probes: restarted } }), []);
});

test('a configuration that is not applied in time fails a check', () => {
  const versions = [{ version: 3, acceptedMs: 1000 }];
  const probe = { node: 'node-0', incarnation: 1, version: 3, isFound: false };
  const early = [{ ...probe, sentMs: 2900 }];
  assert.deepEqual(listFailedChecks({ evidence: { versions, probes: early } }), []);
  const late = [{ ...probe, sentMs: 3100 }];
  assert.deepEqual(listFailedChecks({ evidence: { versions, probes: late } }), [
    'configurations are in force in time',
  ]);
});

test('retries beyond the budget fail a check', () => {
  const ledger = new SoakLedger();
  for (let index = 0; index < 30; index += 1) {
    const id = `r${index}`;
    ledger.recordRequest({ ...REQUEST, id, kind: 'list' });
    ledger.recordArrival({ ...ARRIVAL, id, service: 'listing', target: 'a' });
    ledger.recordArrival({ ...ARRIVAL, id, service: 'listing', target: 'b', atMs: 10_020 });
  }
  const findings = new Findings();
  const disturbances = new DisturbanceLog();
  const rest = {
    crashes: [],
    drains: [],
    plannedStops: [],
    pathLosses: [],
    probes: [],
    versions: [],
  };
  checkSafety({ ledger, disturbances, ...rest }, findings);
  const budgetCheck = findings.list().find(({ name }) => name === 'repeats stay within the budget');
  assert.ok((budgetCheck?.violations ?? 0) > 0);
});
