import assert from 'node:assert/strict';
import { test } from 'node:test';
import { InvariantName, MuxError, ResultCode, RunState } from '@parsleymux/base';
import { readWholeBody } from './wholeBody.js';
import type { IAnswer } from '@parsleymux/routing';
import { REPLAY_HEADER } from '../../claim/common/answerCodec.js';
import { ClaimWorld } from '../../test/claimWorld.js';

async function readText(result: PromiseSettledResult<IAnswer>): Promise<string> {
  if (result.status === 'rejected') throw result.reason;
  const body = await readWholeBody(result.value.body, 1 << 20);
  return Buffer.from(body ?? '').toString();
}

function isReplayed(result: PromiseSettledResult<IAnswer>): boolean {
  return (
    result.status === 'fulfilled' && result.value.headers.some(([name]) => name === REPLAY_HEADER)
  );
}

function assertRefused(
  result: PromiseSettledResult<IAnswer>,
  code: ResultCode,
  runState: RunState,
): void {
  assert.equal(result.status, 'rejected');
  assert(result.reason instanceof MuxError, String(result.reason));
  assert.deepEqual([result.reason.code, result.reason.runState], [code, runState]);
}

test('retries through several guards get the one recorded answer', async () => {
  const world = new ClaimWorld();
  const guards = ['a', 'b', 'c'].map((address) => world.addGuard(address));
  const together = guards.map((guard) => world.execute(guard));
  const results = [];
  for (const promise of together) results.push(await world.settle(promise));
  results.push(await world.settle(world.execute(guards[2]!)));
  for (const result of results) assert.equal(await readText(result), 'booked north/key-1 as 1');
  assert.deepEqual(results.map(isReplayed).sort(), [false, true, true, true]);
  assert.equal(world.executions.get('north/key-1'), 1);
  assert.equal(world.invariants.getViolations(InvariantName.AtMostOnce), 0);
  assert.ok(world.invariants.getChecks(InvariantName.AtMostOnce) > 0);
});

test('the same key with another body is a conflict and does not run', async () => {
  const world = new ClaimWorld();
  const guard = world.addGuard('a');
  await world.settle(world.execute(guard));
  const other = await world.settle(world.execute(guard, { body: 'another job' }));
  assertRefused(other, ResultCode.IdempotencyKeyConflict, RunState.NotRun);
  assert.equal(world.executions.get('north/key-1'), 1);
});

test("another member's key is another key", async () => {
  const world = new ClaimWorld();
  const guard = world.addGuard('a');
  await world.settle(world.execute(guard));
  const other = await world.settle(world.execute(guard, { member: 'south' }));
  assert.equal(await readText(other), 'booked south/key-1 as 1');
});

test('a request without a key is refused as not run', async () => {
  const world = new ClaimWorld();
  const result = await world.settle(world.execute(world.addGuard('a'), { key: undefined }));
  assertRefused(result, ResultCode.IdempotencyKeyMissing, RunState.NotRun);
});
