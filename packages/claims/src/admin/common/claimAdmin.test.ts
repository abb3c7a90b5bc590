import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MuxError, ResultCode, RunState } from '@parsleymux/base';
import { ClaimOutcome } from '@parsleymux/schema';
import { GroupCommitter } from '../../store/common/groupCommitter.js';
import { assertRefused, ClaimTestFleet, readText } from '../../test/claimTestFleet.js';
import { TargetBehavior } from '../../test/fakeTarget.js';
import type { ISettleRequest } from './claimAdmin.js';
import { ClaimAdmin } from './claimAdmin.js';

const MINUTE_MS = 60_000;
const SETTLE_REQUEST: ISettleRequest = {
  member: 'north',
  claimKey: 'key-1',
  outcome: ClaimOutcome.RAN,
  operator: 'ioana',
  note: 'the truck arrived',
};

function makeAdmin(world: ClaimTestFleet, liveNodes: ReadonlySet<string>): ClaimAdmin {
  return new ClaimAdmin({
    committer: new GroupCommitter({ table: world.table, clock: world.clock }),
    clock: world.clock,
    peer: world,
    isLive: (address) => liveNodes.has(address),
  });
}

async function settle(
  world: ClaimTestFleet,
  admin: ClaimAdmin,
  request: ISettleRequest,
): Promise<string> {
  const settled = admin.settle(request, new AbortController().signal).then(
    ({ state, settledBy }) => `${state} by ${settledBy}`,
    (error: unknown) => (error instanceof MuxError ? `refused ${error.code}` : String(error)),
  );
  await world.clock.advanceBy(2000);
  return settled;
}

test('an operator settles an unknown outcome as run, and every retry is told so', async () => {
  const world = new ClaimTestFleet();
  world.addNode('a');
  await world.execute('a', { behavior: TargetBehavior.ExecuteSilently });
  const admin = makeAdmin(world, new Set(['a']));
  assert.equal(await settle(world, admin, SETTLE_REQUEST), 'ran-not-kept by ioana');
  assertRefused(await world.execute('a'), ResultCode.OutcomeSettled, RunState.Ran);
  assert.equal(
    await settle(world, admin, SETTLE_REQUEST),
    `refused ${ResultCode.ClaimNotSettleable}`,
  );
  world.assertInvariants();
});

test("a claim is another member's own, and absent ones can't be settled", async () => {
  const world = new ClaimTestFleet();
  world.addNode('a');
  await world.execute('a', { behavior: TargetBehavior.ExecuteSilently });
  const admin = makeAdmin(world, new Set());
  const other = { ...SETTLE_REQUEST, member: 'south' };
  assert.equal(await settle(world, admin, other), `refused ${ResultCode.NotFound}`);
});

test('"not run" frees the key of a claimer that died, and not before it must be dead', async () => {
  // Symptom: a booking ran twice. Sequence: an operator called an unknown outcome not run while
  // the claimer was only paused or cut off; the key was run again, and the claimer went on.
  // Cause: a claimer that does not answer was taken for one that is gone.
  const world = new ClaimTestFleet();
  world.addNode('a', { step: 4, pauseMs: undefined });
  world.addNode('b');
  world.send('a');
  await world.clock.advanceBy(1000);
  const request = { ...SETTLE_REQUEST, outcome: ClaimOutcome.NOT_RUN };
  const notSettleable = `refused ${ResultCode.ClaimNotSettleable}`;
  const admin = makeAdmin(world, new Set());
  assert.equal(await settle(world, admin, request), notSettleable, 'too young');
  await world.clock.advanceBy(15 * MINUTE_MS);
  const adminOfLive = makeAdmin(world, new Set(['a']));
  assert.equal(await settle(world, adminOfLive, request), notSettleable, 'listed as live');
  assert.equal(await settle(world, admin, request), 'not-run by ioana');
  assert.equal(readText(await world.execute('b')), 'booked north/key-1 as 1 for caller-1');
  world.assertInvariants();
});

test('a claimer that is alive speaks for its claim', async () => {
  const world = new ClaimTestFleet();
  world.addNode('a');
  const first = world.send('a', { behavior: TargetBehavior.ExecuteSilently });
  await world.clock.advanceBy(50);
  const settling = settle(world, makeAdmin(world, new Set()), SETTLE_REQUEST);
  assert.equal(await settling, `refused ${ResultCode.ClaimNotSettleable}`);
  await world.finish(first);
});
