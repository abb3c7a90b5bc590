import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MuxError, ResultCode, RunState, SeededRandom } from '@parsleymux/base';
import { PlanState } from '@parsleymux/schema';
import { IntentValidator } from '../../intents/common/intentValidator.js';
import { formatEjectionKey, formatHostKey, HEAD_KEY } from '../../layout/common/rowKeys.js';
import { decodeEjections, decodeHead, encodeEjections } from '../../layout/common/rows.js';
import { InstantClock } from '../../testing/instantClock.js';
import { createTestIntent } from '../../testing/intents.js';
import { createMemoryPlatform } from '../../testing/memoryPlatform.js';
import { PlanBuilder } from './planBuilder.js';
import { MAX_OPEN_PLANS, OPEN_PLAN_LIFETIME_MS } from './planLimits.js';
import { WARM_UP_MS } from './planRepository.js';
import { PlanStore } from './planStore.js';

function createStore(seed = 1) {
  const random = new SeededRandom(seed);
  const platform = createMemoryPlatform(random);
  const clock = new InstantClock();
  const store = new PlanStore({
    platform,
    clock,
    random,
    validator: new IntentValidator(),
    builder: new PlanBuilder(),
  });
  return { store, platform, clock };
}

function isRefusal(code: ResultCode) {
  return (error: unknown) => error instanceof MuxError && error.code === code;
}

async function putInForce(store: PlanStore, intent = createTestIntent('dobrescu')) {
  const plan = await store.propose(intent, 'key-1');
  return store.confirm({ member: intent.member, planId: plan.id, operator: 'key-1' });
}

test('a plan takes effect when it is confirmed, and confirming it again has no effect', async () => {
  const { store, platform } = createStore();
  const plan = await store.propose(createTestIntent('dobrescu'), 'key-1');
  assert.equal((await store.getIntent('dobrescu')).memberRevision, 0);
  const request = { member: 'dobrescu', planId: plan.id, operator: 'key-1' };
  const first = await store.confirm(request);
  const second = await store.confirm(request);
  assert.equal(first.state, PlanState.CONFIRMED);
  assert.equal(second.confirmedFleetRevision, first.confirmedFleetRevision);
  assert.equal((await store.getIntent('dobrescu')).memberRevision, 1);
  assert.equal(decodeHead(platform.table.getRows().get(HEAD_KEY)), 1);
});

test('a plan proposed before another one was confirmed is stale', async () => {
  const { store } = createStore();
  const older = await store.propose(createTestIntent('dobrescu'), 'key-1');
  await putInForce(store, createTestIntent('dobrescu', { note: 'newer' }));
  const request = { member: 'dobrescu', planId: older.id, operator: 'key-1' };
  await assert.rejects(store.confirm(request), isRefusal(ResultCode.PlanStale));
});

test('a discarded plan can not be confirmed, and a confirmed plan can not be discarded', async () => {
  const { store } = createStore();
  const plan = await store.propose(createTestIntent('dobrescu'), 'key-1');
  const request = { member: 'dobrescu', planId: plan.id, operator: 'key-1' };
  await store.discard(request);
  await assert.rejects(store.confirm(request), isRefusal(ResultCode.PlanAlreadyDecided));
  const confirmed = await putInForce(store);
  const other = { ...request, planId: confirmed.id };
  await assert.rejects(store.discard(other), isRefusal(ResultCode.PlanAlreadyDecided));
});

test('a host name released by one member can be claimed by another', async () => {
  const { store, platform } = createStore();
  await putInForce(store, createTestIntent('dobrescu', { host: 'shared.example' }));
  const competing = createTestIntent('donautal', {
    host: 'shared.example',
    targets: ['127.0.0.3:9001'],
  });
  await assert.rejects(store.propose(competing, 'key-2'), isRefusal(ResultCode.HostTaken));
  await putInForce(store, createTestIntent('dobrescu', { host: 'own.example' }));
  await putInForce(store, competing);
  const row = platform.table.getRows().get(formatHostKey('shared.example'));
  assert.match(row?.value ?? '', /donautal/);
});

/*
 * Guards against healthy capacity below the floor after a plan that removes targets. A home ejects a
 * target after the plan was proposed, and the plan, which still counts that target, removes another.
 */
test('a target ejected after the plan was proposed does not count when the plan is confirmed', async () => {
  const { store, platform } = createStore();
  const all = ['127.0.0.1:9001', '127.0.0.2:9001', '127.0.0.3:9001'];
  await putInForce(store, createTestIntent('dobrescu', { targets: all, floorSlots: 8 }));
  const fewer = createTestIntent('dobrescu', { targets: all.slice(1), floorSlots: 8 });
  const plan = await store.propose(fewer, 'key-1');
  const key = formatEjectionKey('dobrescu', 'booking');
  const row = decodeEjections(platform.table.getRows().get(key));
  const ejected = [{ target: '127.0.0.2:9001', node: '127.0.0.9:1', sinceMs: 1 }];
  const value = encodeEjections({ ...row, ejected });
  await platform.table.transact({ conditions: [], writes: [{ key, value }] });
  const request = { member: 'dobrescu', planId: plan.id, operator: 'key-1' };
  await assert.rejects(store.confirm(request), (error: unknown) => {
    assert.ok(error instanceof MuxError);
    assert.equal(error.code, ResultCode.FloorWouldBreak);
    assert.match(error.message, /floor 8 slots; before 8, during 4, after 4/);
    return true;
  });
});

/*
 * Guards against reporting a failure for a plan that is in force. The store commits the confirmation,
 * its response is lost, and a later read from a lagging replica still shows the plan as open.
 */
test('a confirmation whose response is lost is settled by the row of the plan', async () => {
  for (let seed = 1; seed <= 60; seed += 1) {
    const { store, platform } = createStore(seed);
    const plan = await store.propose(createTestIntent('dobrescu'), 'key-1');
    platform.table.faults.lostResponseShare = 0.5;
    platform.table.faults.staleness = 3;
    const request = { member: 'dobrescu', planId: plan.id, operator: 'key-1' };
    const confirmed = await store.confirm(request).catch((error: unknown) => {
      assert.ok(isRefusal(ResultCode.StoreUnavailable)(error), String(error));
      platform.table.faults.lostResponseShare = 0;
      return store.confirm(request);
    });
    assert.equal(confirmed.state, PlanState.CONFIRMED, `seed ${seed}`);
    assert.equal(decodeHead(platform.table.getRows().get(HEAD_KEY)), 1, `seed ${seed}`);
  }
});

/*
 * Guards against healthy capacity below the floor for a minute after a change of targets. One plan
 * adds targets, and the next one, seconds later, removes the former targets and counts the added ones
 * although they are still warming up.
 */
test('a plan can not replace warm targets by targets that an earlier plan added shortly before', async () => {
  const { store, clock } = createStore();
  const former = ['127.0.0.1:9001', '127.0.0.2:9001'];
  const added = ['127.0.0.3:9001', '127.0.0.4:9001'];
  const floorSlots = 8;
  await putInForce(store, createTestIntent('dobrescu', { targets: former, floorSlots }));
  const both = [...former, ...added];
  await putInForce(store, createTestIntent('dobrescu', { targets: both, floorSlots }));
  const exchanged = createTestIntent('dobrescu', { targets: added, floorSlots });
  await assert.rejects(store.propose(exchanged, 'key-1'), (error: unknown) => {
    assert.ok(isRefusal(ResultCode.FloorWouldBreak)(error));
    assert.match(String(error), /before 8, during 0, after 8 .* 2 began to serve a moment ago/);
    return true;
  });
  const unchanged = createTestIntent('dobrescu', { targets: both, floorSlots, note: 'route' });
  await putInForce(store, unchanged);
  clock.advance(WARM_UP_MS + 1);
  await putInForce(store, exchanged);
});

test('cold targets that the floor needs can not be removed even if no target is warm', async () => {
  const { store } = createStore();
  const createIntent = (targets: readonly string[], floorSlots: number) => {
    return createTestIntent('dobrescu', { targets, floorSlots });
  };
  await putInForce(store, createIntent(['127.0.0.1:9001'], 0));
  await putInForce(store, createIntent(['127.0.0.3:9001', '127.0.0.4:9001'], 4));
  const others = createIntent(['127.0.0.5:9001', '127.0.0.6:9001'], 4);
  await assert.rejects(store.propose(others, 'key-1'), isRefusal(ResultCode.FloorWouldBreak));
  const more = createIntent(['127.0.0.3:9001', '127.0.0.5:9001', '127.0.0.6:9001'], 4);
  await putInForce(store, more);
});

test('the number of open plans of a member is bounded, and expired plans are removed', async () => {
  const { store, platform, clock } = createStore();
  const intent = createTestIntent('dobrescu');
  for (let count = 0; count < MAX_OPEN_PLANS; count += 1) await store.propose(intent, 'key-1');
  await assert.rejects(store.propose(intent, 'key-1'), isRefusal(ResultCode.LimitExceeded));
  await store.propose(createTestIntent('donautal'), 'key-2');
  clock.advance(OPEN_PLAN_LIFETIME_MS + 1);
  await store.propose(intent, 'key-1');
  const keys = [...platform.table.getRows().keys()];
  assert.equal(keys.filter((key) => key.startsWith('plans/dobrescu/')).length, 1);
});

test('during a store outage the error reports that nothing was done, and a retry delay', async () => {
  const { store, platform } = createStore();
  const plan = await store.propose(createTestIntent('dobrescu'), 'key-1');
  platform.table.faults.isUnavailable = true;
  const request = { member: 'dobrescu', planId: plan.id, operator: 'key-1' };
  await assert.rejects(store.confirm(request), (error: unknown) => {
    assert.ok(error instanceof MuxError);
    assert.equal(error.code, ResultCode.StoreUnavailable);
    assert.equal(error.runState, RunState.NotRun);
    assert.ok((error.retryAfterMs ?? 0) > 0);
    return true;
  });
});
