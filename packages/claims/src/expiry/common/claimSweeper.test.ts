import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock, ResultCode, RunState, SeededRandom } from '@parsleymux/base';
import type { IClaim } from '../../claim/common/claim.js';
import { ClaimState, encodeClaim } from '../../claim/common/claim.js';
import { computeClaimKey, formatClaimRowKey } from '../../claim/common/claimIdentity.js';
import { getKeyTime } from '../../claim/common/keyTime.js';
import { GroupCommitter } from '../../store/common/groupCommitter.js';
import { assertRefused, ClaimTestFleet, isReplayed, readText } from '../../test/claimTestFleet.js';
import { FakeTable } from '../../test/fakeTable.js';
import { ClaimSweeper } from './claimSweeper.js';
import { Retention } from './retention.js';

const DAY_MS = 86_400_000;
const RETENTION_S = 604_800;

function makeClaim(state: ClaimState, changedAtMs: number): IClaim {
  return { state, token: 't', claimer: 'a', digest: 'd', claimedAtMs: changedAtMs, changedAtMs };
}

async function visitAll(
  clock: ManualClock,
  table: FakeTable,
  nodes: readonly string[],
): Promise<number> {
  let removed = 0;
  for (const nodeAddress of nodes) {
    const sweeper = new ClaimSweeper({
      table,
      committer: new GroupCommitter({ table, clock }),
      clock,
      random: new SeededRandom(1),
      retention: new Retention(RETENTION_S),
      nodeAddress,
      getLiveNodes: () => nodes,
    });
    const done = sweeper.visitSlices(1);
    await clock.advanceBy(10_000);
    await done;
    removed += sweeper.getRemovedCount();
  }
  return removed;
}

test('each expired claim of every member is removed once, by one of the nodes', async () => {
  const clock = new ManualClock();
  const table = new FakeTable({ clock });
  const rows: { readonly key: string; readonly value: string }[] = [];
  for (const member of ['north', 'north-2', 'south']) {
    for (let index = 0; index < 40; index++) {
      const state = index < 30 ? ClaimState.Finished : ClaimState.Unknown;
      const key = formatClaimRowKey(member, computeClaimKey(`key ${index}`));
      rows.push({ key, value: encodeClaim(makeClaim(state, 0)) });
    }
  }
  const inserted = table.transact({ conditions: [], writes: rows });
  await clock.advanceBy(6 * DAY_MS);
  await inserted;
  assert.equal(await visitAll(clock, table, ['a', 'b', 'c']), 0);
  await clock.advanceBy(2 * DAY_MS);
  assert.equal(await visitAll(clock, table, ['a', 'b', 'c']), 90, 'settled after 7 days');
  await clock.advanceBy(21 * DAY_MS);
  assert.equal(await visitAll(clock, table, ['a', 'b', 'c']), 30, 'unsettled after 28 days');
});

test('whatever the settings, a claim is retained for an hour, and for a day while it may run', () => {
  const retention = new Retention(60);
  assert.equal(retention.hasExpired(makeClaim(ClaimState.Finished, 0), 3_599_000), false);
  assert.equal(retention.hasExpired(makeClaim(ClaimState.Running, 0), DAY_MS - 1), false);
});

test('a key with a timestamp older than the retention is refused instead of run again', async () => {
  // Guards against a key that runs again after its row was removed: a caller queues a request
  // without a response for longer than the retention and sends it again, here after eight days.
  // A removed row looks like a key that never ran.
  const fleet = new ClaimTestFleet();
  fleet.addNode('a');
  const key = '018bcfe5-6800-7000-8000-000000000000';
  assert.equal(getKeyTime(key), 1_700_000_000_000);
  await fleet.execute('a', { key });
  await fleet.clock.advanceBy(8 * DAY_MS);
  const retained = await fleet.execute('a', { key });
  assert.ok(isReplayed(retained), readText(retained));
  await visitAll(fleet.clock, fleet.table, ['a']);
  const expired = await fleet.execute('a', { key });
  assertRefused(expired, ResultCode.IdempotencyKeyExpired, RunState.MayHaveRun);
  fleet.assertInvariants();
});
