import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock, ResultCode, createSilentLogger } from '@parsleymux/base';
import type { GrantDecision, IGrantRequest } from '../../grants/common/grant.js';
import { GrantOutcome } from '../../grants/common/grant.js';
import { makeGrantRequest, makeQuarantine, makeTarget } from '../../test/builders.js';
import { ServiceScheduler } from './serviceScheduler.js';
import type { ITicket } from './ticket.js';

const LATENCY_MS = 200;

class Bench {
  readonly clock = new ManualClock();
  readonly scheduler = new ServiceScheduler({
    service: 'booking',
    clock: this.clock,
    log: createSilentLogger(),
    quarantine: makeQuarantine(this.clock),
    floorShare: 0.7,
    retries: { windowMs: 10_000, ratio: 0.2, burst: 10 },
  });

  constructor() {
    // A home of long standing, which knows that no other one sent retries.
    this.scheduler.retries.setReceivingSince(-Infinity);
  }

  ask(fields: Partial<IGrantRequest> = {}, node = 'n1'): ITicket {
    return this.scheduler.requestGrant(makeGrantRequest(fields), node, () => undefined);
  }

  finish(ticket: ITicket, outcome: GrantOutcome): void {
    this.scheduler.recordOutcome(ticket, outcome, LATENCY_MS);
  }
}

function getTargetId(decision: GrantDecision | undefined): string {
  assert.equal(decision?.kind, 'granted');
  return decision.target.id;
}

function isGranted({ decision }: ITicket): boolean {
  return decision?.kind === 'granted';
}

test('no target is granted more often than it has slots, the rest waits and is served in order', () => {
  const bench = new Bench();
  bench.scheduler.setTargets([makeTarget('t1', { slots: 2 }), makeTarget('t2', { slots: 2 })]);
  const tickets = Array.from({ length: 4 }, () => bench.ask());
  const counts = new Map<string, number>();
  for (const { decision } of tickets) {
    const id = getTargetId(decision);
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  assert.deepEqual([...counts.values()], [2, 2]);
  const later = bench.ask({ priority: 2 });
  const urgent = bench.ask({ priority: 0 });
  assert.equal(later.decision, undefined);
  bench.finish(tickets[0]!, GrantOutcome.Succeeded);
  assert.equal(urgent.decision?.kind, 'granted');
  assert.equal(later.decision, undefined);
});

test('one failure of a target that just succeeded sends the next bookings elsewhere', () => {
  // Symptom: several bookings in a row are lost at one target. Sequence: a target turns gray; it
  // fails most of its work at once, so it always has free slots. Cause: a detector that waits for
  // several failures, or a picker that prefers free slots, goes on sending there.
  const bench = new Bench();
  bench.scheduler.setTargets([makeTarget('t1'), makeTarget('t2')]);
  for (let round = 0; round < 4; round += 1) {
    const tickets = [bench.ask(), bench.ask()];
    for (const ticket of tickets) bench.finish(ticket, GrantOutcome.Succeeded);
  }
  const failing = bench.ask();
  const grayId = getTargetId(failing.decision);
  bench.finish(failing, GrantOutcome.Failed);
  for (let round = 0; round < 3; round += 1) {
    const ticket = bench.ask();
    assert.notEqual(getTargetId(ticket.decision), grayId);
    bench.finish(ticket, GrantOutcome.Succeeded);
  }
});

test('a target that hangs is left out before its first request has timed out', async () => {
  // Symptom: bookings pile up at a target that never answers. Sequence: it accepts work and is
  // silent; its slots free up only at the deadline. Cause: outcomes alone come too late.
  const bench = new Bench();
  bench.scheduler.setTargets([makeTarget('t1'), makeTarget('t2')]);
  const hanging = bench.ask({ objectiveMs: 500 });
  const hangingId = getTargetId(hanging.decision);
  await bench.clock.advanceBy(600);
  bench.scheduler.advance();
  assert.notEqual(getTargetId(bench.ask().decision), hangingId);
});

test('one node that cannot connect does not blame the target, two do', () => {
  // Symptom: a healthy target is left out by all nodes. Sequence: one node loses its path to it.
  // Cause: a failed connection was taken for a failure of the target.
  const bench = new Bench();
  bench.scheduler.setTargets([makeTarget('t1'), makeTarget('t2', { failureDomain: 'south' })]);
  bench.finish(bench.ask({}, 'n1'), GrantOutcome.Unreachable);
  bench.finish(bench.ask({}, 'n1'), GrantOutcome.Unreachable);
  assert.equal(getTargetId(bench.ask({}, 'n2').decision), 't1');
  bench.finish(bench.ask({}, 'n2'), GrantOutcome.Unreachable);
  assert.equal(getTargetId(bench.ask({}, 'n3').decision), 't2');
});

test('retries stop at the allowance of the service, first attempts go on', () => {
  // Symptom: retries multiply the load on a service that fails. Sequence: every request fails and
  // is sent again. Cause: nobody adds up the retries of all nodes.
  const bench = new Bench();
  bench.scheduler.setTargets([makeTarget('t1', { slots: 100 })]);
  for (let index = 0; index < 50; index += 1) bench.finish(bench.ask(), GrantOutcome.Succeeded);
  const retries = Array.from({ length: 60 }, () => bench.ask({ attempt: 2, isIdempotent: true }));
  const granted = retries.filter(({ decision }) => decision?.kind === 'granted').length;
  assert.ok(granted >= 5 && granted <= 0.2 * 50 + 10, `${granted} retries were granted`);
  const refused = retries.find(({ decision }) => decision?.kind === 'refused')?.decision;
  assert.ok(refused?.kind === 'refused' && refused.code === ResultCode.RetryBudgetSpent);
  assert.ok(refused.retryAfterMs > 0);
  assert.equal(bench.ask().decision?.kind, 'granted');
});

test('retries that wait for a slot count towards the allowance', () => {
  // Symptom: a service gets more retries than its allowance when slots are short. Sequence: many
  // second attempts wait for a slot; each was let in while none of them had been sent. Cause: only
  // those that were granted were counted.
  const bench = new Bench();
  bench.scheduler.setTargets([makeTarget('t1', { slots: 1 })]);
  const running = bench.ask({ remainingMs: 60_000 });
  const retries = Array.from({ length: 40 }, () => {
    return bench.ask({ attempt: 2, isIdempotent: true, remainingMs: 60_000, objectiveMs: 30_000 });
  });
  const waiting = retries.filter(({ decision }) => decision === undefined).length;
  assert.ok(isGranted(running));
  assert.ok(waiting > 0 && waiting <= 0.2 * 1 + 5, `${waiting} retries wait`);
});

test('a refused hedge does not count as a request that was not served', async () => {
  // Symptom: doubtful targets get requests though nobody fails. Sequence: under load, hedges are
  // refused one after the other. Cause: each counted as a failure, and failures turn spreading on.
  const bench = new Bench();
  bench.scheduler.setTargets(['t1', 't2', 't3'].map((id) => makeTarget(id, { slots: 1 })));
  await bench.clock.advanceBy(10_000);
  const excluded = ['t3'];
  const hedge = { attempt: 2, isIdempotent: true, isHedge: true, excluded } as const;
  const [, , waiting] = [bench.ask({ excluded }), bench.ask({ excluded }), bench.ask({ excluded })];
  assert.equal(waiting.decision, undefined, 'slots are short');
  const refused = Array.from({ length: 5 }, () => bench.ask(hedge).decision?.kind);
  assert.ok(refused.every((kind) => kind === 'refused'));
  assert.equal(bench.scheduler.isFailing(), false);
});

test('requests that may be repeated stop trying doubtful targets when retries run short', async () => {
  // Symptom: reads fail though sound targets are free. Sequence: reads try gray targets of their own
  // failure domain, each failure takes a retry, the allowance is used up, and further failures are
  // final. Cause: a failed attempt was taken for cheap however many retries were left.
  const bench = new Bench();
  const near = makeTarget('t1', { slots: 500 });
  bench.scheduler.setTargets([near, makeTarget('t2', { slots: 500, failureDomain: 'south' })]);
  const ask = (attempt: number): ITicket => bench.ask({ attempt, isIdempotent: true });
  for (let index = 0; index < 20; index += 1) bench.finish(ask(1), GrantOutcome.Succeeded);
  for (let index = 0; index < 20; index += 1) bench.finish(ask(2), GrantOutcome.Abandoned);
  await bench.clock.advanceBy(500);
  const failing = bench.ask({ excluded: ['t2'] });
  bench.finish(failing, GrantOutcome.Failed);
  bench.finish(bench.ask({ excluded: ['t1'] }), GrantOutcome.Succeeded);
  assert.equal(getTargetId(ask(1).decision), 't2');
});

test('asking again after a failed connection earns the service no retries', () => {
  // Symptom: a service gets more retries than its allowance during an outage. Sequence: targets
  // can't be reached, and each request asks several times before it is sent. Cause: the allowance
  // grew with the questions instead of the requests.
  const bench = new Bench();
  bench.scheduler.setTargets([makeTarget('t1', { slots: 500 })]);
  for (let index = 0; index < 200; index += 1) {
    bench.finish(bench.ask({ isRepeated: true }), GrantOutcome.Succeeded);
  }
  const retries = Array.from({ length: 60 }, () => bench.ask({ attempt: 2, isIdempotent: true }));
  const granted = retries.filter((ticket) => isGranted(ticket)).length;
  assert.ok(granted <= 10, `${granted} retries were granted`);
});

test('while many requests fail, all targets are used rather than ever fewer', async () => {
  // Symptom: a service serves from two of ten targets while half its requests fail. Sequence: a
  // wrong health ejects targets, the rest are overloaded and fail, and are ejected too. Cause: no
  // floor under the share of targets in use.
  const bench = new Bench();
  const targets = Array.from({ length: 10 }, (_, index) => makeTarget(`t${index}`));
  bench.scheduler.setTargets(targets);
  await bench.clock.advanceBy(10_000);
  const used = new Set<string>();
  for (let round = 0; round < 60; round += 1) {
    const ticket = bench.ask();
    used.add(getTargetId(ticket.decision));
    bench.finish(ticket, round % 4 === 0 ? GrantOutcome.Failed : GrantOutcome.Succeeded);
    await bench.clock.advanceBy(20);
  }
  assert.ok(used.size >= 8, `only ${used.size} of 10 targets were used`);
});

test('a target that joins gets its first request soon', async () => {
  const bench = new Bench();
  bench.scheduler.setTargets([makeTarget('t1'), makeTarget('t2')]);
  await bench.clock.advanceBy(5000);
  bench.scheduler.setTargets([makeTarget('t1'), makeTarget('t2'), makeTarget('t3')]);
  await bench.clock.advanceBy(2500);
  assert.equal(getTargetId(bench.ask().decision), 't3');
});

test('draining targets and replaced ones get nothing', () => {
  const bench = new Bench();
  bench.scheduler.setTargets([makeTarget('t1', { isDraining: true }), makeTarget('t2')]);
  const ticket = bench.ask();
  assert.equal(getTargetId(ticket.decision), 't2');
  bench.finish(ticket, GrantOutcome.Misdirected);
  const refused = bench.ask().decision;
  assert.ok(refused?.kind === 'refused' && refused.code === ResultCode.NoTarget);
});

test('a report that never comes does not hold its slot for ever', async () => {
  const bench = new Bench();
  bench.scheduler.setTargets([makeTarget('t1', { slots: 1 })]);
  bench.ask({ remainingMs: 1000 });
  const waiting = bench.ask({ remainingMs: 5000 });
  assert.ok(!isGranted(waiting));
  await bench.clock.advanceBy(1600);
  bench.scheduler.advance();
  assert.ok(isGranted(waiting));
});

test('a request that cannot be served in time is refused while it waits, with when to come back', async () => {
  const bench = new Bench();
  bench.scheduler.setTargets([makeTarget('t1', { slots: 1 })]);
  bench.ask({ remainingMs: 10_000 });
  const waiting = bench.ask({ remainingMs: 400 });
  await bench.clock.advanceBy(350);
  bench.scheduler.advance();
  assert.ok(waiting.decision?.kind === 'refused');
  assert.ok(waiting.decision.retryAfterMs > 0);
});

test('a request that may go to none of the targets is refused at once', () => {
  // Symptom: a caller waits until its deadline is near and is refused then. Sequence: its node can
  // reach none of the targets and excludes them all. Cause: it was queued for a slot of any target.
  const bench = new Bench();
  bench.scheduler.setTargets([makeTarget('t1'), makeTarget('t2')]);
  const { decision } = bench.ask({ excluded: ['t1', 't2'] });
  assert.ok(decision?.kind === 'refused');
  assert.equal(decision.code, ResultCode.NoTarget);
  assert.ok(decision.retryAfterMs > 0);
});

test('a home that takes over knows which targets fail', () => {
  // Symptom: bookings fail in a burst whenever a node is restarted. Sequence: the home of a service
  // stops, the next begins with no beliefs. Cause: beliefs lived in one process only.
  const former = new Bench();
  const targets = [makeTarget('t1'), makeTarget('t2')];
  former.scheduler.setTargets(targets);
  const failing = former.ask();
  former.finish(failing, GrantOutcome.Failed);
  former.finish(former.ask(), GrantOutcome.Succeeded);
  const next = new Bench();
  next.scheduler.setTargets(targets);
  for (const { health, record } of former.scheduler.listTargets()) {
    next.scheduler.applyEvidence(record.id, record.bornMs, health.getEvidence()!);
  }
  assert.notEqual(getTargetId(next.ask().decision), getTargetId(failing.decision));
});

test('a target that starts anew under its identifier begins without what its former life left', async () => {
  // Symptom: a target that is back gets no work, or more than it has slots for. Sequence: it fails
  // and crashes with requests under way, starts again under its identifier, and the reports of the
  // former life arrive. Cause: health and slots were kept by identifier alone.
  const bench = new Bench();
  const former = makeTarget('t1', { slots: 2, bornMs: 1000 });
  bench.scheduler.setTargets([former]);
  bench.finish(bench.ask(), GrantOutcome.Failed);
  bench.finish(bench.ask(), GrantOutcome.Misdirected);
  bench.scheduler.setTargets([{ ...former, bornMs: 2000 }]);
  const first = bench.ask();
  assert.ok(isGranted(first), 'the mark of another target at its address is gone');
  bench.finish(first, GrantOutcome.Succeeded);
  await bench.clock.advanceBy(100);
  const underWay = [bench.ask(), bench.ask()];
  bench.scheduler.setTargets([{ ...former, bornMs: 3000 }]);
  const next = [bench.ask(), bench.ask()];
  assert.ok(next.every(isGranted), 'slots of the former life are not held');
  for (const ticket of underWay) bench.finish(ticket, GrantOutcome.Broken);
  const [target] = bench.scheduler.listTargets();
  assert.equal(target?.inUse, 2);
  assert.equal(target.health.lastFailureMs, undefined);
  assert.ok(!isGranted(bench.ask()), 'late reports free no slot of the next life');
  bench.scheduler.applyEvidence('t1', 2000, { suspicion: 0.99, updatedMs: 100 });
  assert.ok(!target.health.isFailing(100), 'beliefs of the former life are not taken over');
});

test('after a kept connection broke, the requests of the service take new ones for a while', async () => {
  // Reads that may be sent once more go on to use kept ones: a quarter of all new connections of a
  // busy day with targets that flap were theirs, though a broken one costs them some ms.
  const bench = new Bench();
  bench.scheduler.setTargets([makeTarget('t1'), makeTarget('t2'), makeTarget('t3')]);
  const needsFresh = (mayRetry = false) => {
    const ticket = bench.ask({ isIdempotent: mayRetry, mayRetry });
    const { decision } = ticket;
    assert.equal(decision?.kind, 'granted');
    bench.finish(ticket, GrantOutcome.Succeeded);
    return decision.needsFreshConnection;
  };
  assert.equal(needsFresh(), false);
  bench.finish(bench.ask(), GrantOutcome.Stale);
  assert.equal(needsFresh(), true);
  assert.equal(needsFresh(true), false);
  await bench.clock.advanceBy(6000);
  assert.equal(needsFresh(), false);
});

test('a target that told one entry that it leaves is granted to none', () => {
  // Symptom: each entry sends a leaving target one request more, until each has been told by itself. Cause:
  // the home goes by the list of targets, which may be seconds late while the store is away.
  const bench = new Bench();
  bench.scheduler.setTargets([makeTarget('t1'), makeTarget('t2')]);
  const told = bench.ask();
  const leavingId = getTargetId(told.decision);
  const answer = { answerBytes: 10, isDraining: true };
  bench.scheduler.recordOutcome(told, GrantOutcome.Succeeded, LATENCY_MS, answer);
  const next = Array.from({ length: 4 }, () => getTargetId(bench.ask({}, 'n2').decision));
  assert.ok(!next.includes(leavingId));
  bench.scheduler.setTargets([makeTarget('t1', { bornMs: 5 }), makeTarget('t2', { bornMs: 5 })]);
  const reborn = Array.from({ length: 8 }, () => getTargetId(bench.ask({}, 'n2').decision));
  assert.ok(reborn.includes(leavingId));
});

test('a service whose targets all say that they leave refuses at once', () => {
  const bench = new Bench();
  bench.scheduler.setTargets([makeTarget('t1')]);
  const answer = { answerBytes: 10, isDraining: true };
  bench.scheduler.recordOutcome(bench.ask(), GrantOutcome.Succeeded, LATENCY_MS, answer);
  const { decision } = bench.ask();
  assert.ok(decision?.kind === 'refused');
  assert.equal(decision.code, ResultCode.NoTarget);
});
