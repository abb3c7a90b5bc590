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

function makeAdmin(fleet: ClaimTestFleet, liveNodes: ReadonlySet<string>): ClaimAdmin {
  return new ClaimAdmin({
    committer: new GroupCommitter({ table: fleet.table, clock: fleet.clock }),
    clock: fleet.clock,
    peer: fleet,
    isLive: (address) => liveNodes.has(address),
  });
}

async function settle(
  fleet: ClaimTestFleet,
  admin: ClaimAdmin,
  request: ISettleRequest,
): Promise<string> {
  const settled = admin.settle(request, new AbortController().signal).then(
    ({ state, settledBy }) => `${state} by ${settledBy}`,
    (error: unknown) => (error instanceof MuxError ? `refused ${error.code}` : String(error)),
  );
  await fleet.clock.advanceBy(2000);
  return settled;
}

test('a retry of a key that an operator settled as run is refused as settled', async () => {
  const fleet = new ClaimTestFleet();
  fleet.addNode('a');
  await fleet.execute('a', { behavior: TargetBehavior.ExecuteWithoutResponse });
  const admin = makeAdmin(fleet, new Set(['a']));
  assert.equal(await settle(fleet, admin, SETTLE_REQUEST), 'ran-not-kept by ioana');
  assertRefused(await fleet.execute('a'), ResultCode.OutcomeSettled, RunState.Ran);
  assert.equal(
    await settle(fleet, admin, SETTLE_REQUEST),
    `refused ${ResultCode.ClaimNotSettleable}`,
  );
  fleet.assertInvariants();
});

test("a claim of another member is not found and can't be settled", async () => {
  const fleet = new ClaimTestFleet();
  fleet.addNode('a');
  await fleet.execute('a', { behavior: TargetBehavior.ExecuteWithoutResponse });
  const admin = makeAdmin(fleet, new Set());
  const other = { ...SETTLE_REQUEST, member: 'south' };
  assert.equal(await settle(fleet, admin, other), `refused ${ResultCode.NotFound}`);
});

test('"not run" releases the key of a terminated claimer, but not of one that may be paused', async () => {
  // Guards against a key that runs twice: an operator settles it as not run while the claimer is
  // only paused or partitioned, the key runs again, and the claimer then dispatches too. A claimer
  // that does not respond must not be treated as terminated.
  const fleet = new ClaimTestFleet();
  fleet.addNode('a', { step: 4, pauseMs: undefined });
  fleet.addNode('b');
  fleet.send('a');
  await fleet.clock.advanceBy(1000);
  const request = { ...SETTLE_REQUEST, outcome: ClaimOutcome.NOT_RUN };
  const notSettleable = `refused ${ResultCode.ClaimNotSettleable}`;
  const admin = makeAdmin(fleet, new Set());
  assert.equal(await settle(fleet, admin, request), notSettleable, 'too young');
  await fleet.clock.advanceBy(15 * MINUTE_MS);
  const adminOfLive = makeAdmin(fleet, new Set(['a']));
  assert.equal(await settle(fleet, adminOfLive, request), notSettleable, 'listed as live');
  assert.equal(await settle(fleet, admin, request), 'not-run by ioana');
  assert.equal(readText(await fleet.execute('b')), 'booked north/key-1 as 1 for caller-1');
  fleet.assertInvariants();
});

test("a claim can't be settled while its claimer is running the request", async () => {
  const fleet = new ClaimTestFleet();
  fleet.addNode('a');
  const first = fleet.send('a', { behavior: TargetBehavior.ExecuteWithoutResponse });
  await fleet.clock.advanceBy(50);
  const settling = settle(fleet, makeAdmin(fleet, new Set()), SETTLE_REQUEST);
  assert.equal(await settling, `refused ${ResultCode.ClaimNotSettleable}`);
  await fleet.finish(first);
});
