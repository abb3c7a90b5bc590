import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { RunState } from '@parsleymux/base';
import { TargetStandIn } from '@parsleymux/standins';
import type { IAttemptRecord } from '../common/requestRecord.js';
import { AttemptOutcome } from '../common/requestRecord.js';
import type { ICallerRequest, IWorkload } from '../common/workload.js';
import { Caller } from './caller.js';
import { Balancer, LoadGenerator } from './loadGenerator.js';

const WORKLOAD: IWorkload = {
  member: 'm',
  service: 's',
  host: 's.m.example',
  path: '/s',
  method: 'POST',
  idempotent: false,
  perSecond: 200,
  timeoutMs: 2000,
  maxAttempts: 2,
  bodyBytes: 50,
  twinShare: 0,
};

function makeRequest(requestId: string): ICallerRequest {
  const body = Buffer.from('work');
  const key = `key-${requestId}`;
  return { workload: WORKLOAD, requestId, key, path: '/s', body, twinAfterMs: undefined };
}

/** Starts a target that serves callers directly, without a node in between. */
async function withTarget(use: (target: TargetStandIn) => Promise<void>): Promise<void> {
  const target = new TargetStandIn({ member: 'm', service: 's', meanServiceMs: 1, slots: 50 });
  await target.start();
  try {
    await use(target);
  } finally {
    await target.dispose();
  }
}

async function sendOne(target: TargetStandIn, requestId: string): Promise<IAttemptRecord> {
  const caller = new Caller();
  const attempt = await caller.send(target.getAddress(), makeRequest(requestId));
  await caller.dispose();
  return attempt;
}

test('a caller distinguishes complete, foreign, truncated, failed and refused responses', async () => {
  await withTarget(async (target) => {
    assert.equal((await sendOne(target, 'r1')).outcome, AttemptOutcome.Answered);
    await target.setFaults({ foreignShare: 1 });
    assert.equal((await sendOne(target, 'r2')).outcome, AttemptOutcome.Foreign);
    await target.setFaults({ foreignShare: 0, truncateShare: 1 });
    assert.equal((await sendOne(target, 'r3')).outcome, AttemptOutcome.Broken);
    await target.setFaults({ truncateShare: 0, failShare: 1 });
    assert.equal((await sendOne(target, 'r4')).outcome, AttemptOutcome.TargetFailed);
    await target.setFaults({ failShare: 0, draining: true });
    const refused = await sendOne(target, 'r5');
    assert.equal(refused.outcome, AttemptOutcome.Unexplained);
    assert.equal(refused.runState, RunState.NotRun);
    await target.setFaults({ down: true });
    assert.equal((await sendOne(target, 'r6')).outcome, AttemptOutcome.NotSent);
  });
});

test('the load generator records every request once, with its attempts', async () => {
  await withTarget(async (target) => {
    class OneNode extends Balancer {
      override pick(): string {
        return target.getAddress();
      }
    }
    const load = new LoadGenerator({ workloads: [WORKLOAD], balancer: new OneNode(), seed: 1 });
    load.start();
    while (load.getRecords().length < 20) await sleep(5);
    await load.stop();
    const records = load.getRecords();
    assert.equal(load.getPendingCount(), 0);
    assert.ok(records.every(({ attempts }) => attempts[0]?.outcome === AttemptOutcome.Answered));
    const ids = new Set(records.map(({ request }) => request.requestId));
    assert.equal(ids.size, records.length);
    assert.equal(target.executions.list().length, records.length);
    await load.dispose();
  });
});
