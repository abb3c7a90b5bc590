import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MuxError, ResultCode, RunState } from '@parsleymux/base';
import { assertRefused, ClaimTestFleet, isReplayed, readText } from '../../test/claimTestFleet.js';
import { TableFault } from '../../test/fakeTable.js';
import { TargetBehavior } from '../../test/fakeTarget.js';

const BOOKED = 'booked north/key-1 as 1 for caller-0';

test('retries through several guards receive the same recorded response', async () => {
  // Guards against a key that runs several times: a caller without a response retries through
  // other nodes while the first request is running, and again after it. Nodes that track only
  // their own requests would run each of them.
  const fleet = new ClaimTestFleet();
  for (const address of ['a', 'b', 'c']) fleet.addNode(address);
  const calls = ['a', 'b', 'c'].map((address) => fleet.send(address));
  for (const call of calls) await fleet.finish(call);
  calls.push(await fleet.execute('c'));
  assert.equal(new Set(calls.map(readText)).size, 1);
  assert.deepEqual(calls.map(isReplayed).sort(), [false, true, true, true]);
  fleet.assertInvariants();
});

test('the same key with another body is a conflict and does not run', async () => {
  const fleet = new ClaimTestFleet();
  fleet.addNode('a');
  await fleet.execute('a');
  const other = await fleet.execute('a', { body: 'another job' });
  assertRefused(other, ResultCode.IdempotencyKeyConflict, RunState.NotRun);
  fleet.assertInvariants();
});

test('equal keys of different members are different keys', async () => {
  const fleet = new ClaimTestFleet();
  fleet.addNode('a');
  await fleet.execute('a');
  const other = await fleet.execute('a', { member: 'south' });
  assert.equal(readText(other), 'booked south/key-1 as 1 for caller-1');
});

test('a request without a key is refused as not run', async () => {
  const fleet = new ClaimTestFleet();
  fleet.addNode('a');
  const call = await fleet.execute('a', { key: undefined });
  assertRefused(call, ResultCode.IdempotencyKeyMissing, RunState.NotRun);
});

test("a claim is recognized as the node's own when the response to its write was lost", async () => {
  // Guards against a key that is refused permanently although nothing ran: the claim is written,
  // the response is lost, and the repeated write does not recognize its own token in the row.
  const fleet = new ClaimTestFleet();
  fleet.addNode('a');
  setTableFaults(fleet, [TableFault.LoseResponse]);
  assert.equal(readText(await fleet.execute('a')), BOOKED);
  fleet.assertInvariants();
});

test('a claim that stays unresolved is refused as not run, and its key is released', async () => {
  // Guards against a key that is reported as "may have run" permanently although nothing ran: the
  // response to the claim is lost, the store becomes unavailable, the node refuses the request as
  // not run, and the claim is committed late without being released.
  const fleet = new ClaimTestFleet();
  for (const address of ['a', 'b']) fleet.addNode(address);
  let calls = 0;
  fleet.table.chooseFault = () => (calls++ === 0 ? TableFault.CommitLate : TableFault.LoseRequest);
  const refused = await fleet.execute('a');
  assertRefused(refused, ResultCode.ClaimStoreUnavailable, RunState.NotRun);
  fleet.table.chooseFault = () => TableFault.None;
  assert.equal(readText(await fleet.execute('b')), 'booked north/key-1 as 1 for caller-1');
  fleet.assertInvariants();
});

test('a claim that is committed after its own release does not hold the key', async () => {
  // Guards against the same failure when the release comes first: the node gives up on its claim
  // and finds no row to release, and then the claim is committed. The release must leave a row.
  const fleet = new ClaimTestFleet();
  for (const address of ['a', 'b']) fleet.addNode(address, undefined, { claimWaitMs: 10 });
  fleet.table.lateCommitMs = 500;
  setTableFaults(fleet, [TableFault.CommitLate]);
  const refused = await fleet.execute('a');
  assertRefused(refused, ResultCode.ClaimStoreUnavailable, RunState.NotRun);
  await fleet.clock.advanceBy(1000);
  assert.equal(readText(await fleet.execute('b')), 'booked north/key-1 as 1 for caller-1');
  fleet.assertInvariants();
});

test('a node that was paused past the deadline after its claim does not dispatch', async () => {
  // Guards against dispatching a request after its caller has stopped waiting: the claim is won
  // and the process is paused past the deadline. The deadline must be checked again after the claim.
  const fleet = new ClaimTestFleet();
  fleet.addNode('a', { step: 3, pauseMs: 700 });
  fleet.addNode('b');
  const late = await fleet.execute('a', { deadlineMs: 500 });
  assertRefused(late, ResultCode.DeadlinePassed, RunState.NotRun);
  assert.equal(readText(await fleet.execute('b')), 'booked north/key-1 as 1 for caller-1');
  fleet.assertInvariants();
});

test('a disconnect cancels no dispatched request, and a retry receives the response', async () => {
  const fleet = new ClaimTestFleet();
  fleet.addNode('a');
  const early = new AbortController();
  early.abort();
  const refused = await fleet.execute('a', { signal: early.signal });
  assertRefused(refused, ResultCode.CallerGone, RunState.NotRun);
  const late = new AbortController();
  const call = fleet.send('a', { signal: late.signal });
  await fleet.clock.advanceBy(10);
  late.abort();
  await fleet.finish(call);
  const response = 'booked north/key-1 as 1 for caller-1';
  assert.deepEqual([readText(call), readText(await fleet.execute('a'))], [response, response]);
  fleet.assertInvariants();
});

test('a release takes effect when the response to its write is lost', async () => {
  const fleet = new ClaimTestFleet();
  for (const address of ['a', 'b']) fleet.addNode(address);
  setTableFaults(fleet, [TableFault.None, TableFault.LoseResponse]);
  const shed = await fleet.execute('a', { behavior: TargetBehavior.Shed });
  assertRefused(shed, ResultCode.TargetShed, RunState.NotRun);
  assert.equal(readText(await fleet.execute('b')), 'booked north/key-1 as 1 for caller-1');
  fleet.assertInvariants();
});

test('an outcome that cannot be written is returned to the caller and to later retries', async () => {
  // Guards against an error for an executed request, or "unknown" for its retry: the target
  // executes, and the store becomes unavailable before the outcome is recorded. The response must
  // not wait for its record, and must be retained until it is recorded.
  const fleet = new ClaimTestFleet();
  for (const address of ['a', 'b']) fleet.addNode(address);
  let calls = 0;
  fleet.table.chooseFault = () => (calls++ === 0 ? TableFault.None : TableFault.LoseRequest);
  assert.equal(readText(await fleet.execute('a')), BOOKED);
  assert.equal(fleet.getGuard('a').getPendingRecordCount(), 1);
  const local = await fleet.execute('a');
  assert.deepEqual([readText(local), isReplayed(local)], [BOOKED, true]);
  fleet.table.chooseFault = () => TableFault.None;
  assert.equal(readText(await fleet.execute('b')), BOOKED);
  await fleet.clock.advanceBy(10_000);
  assert.equal(fleet.getGuard('a').getPendingRecordCount(), 0);
  assert.equal(readText(await fleet.execute('b')), BOOKED);
  fleet.assertInvariants();
});

test('an execution without a response is consistently reported as "may have run"', async () => {
  const fleet = new ClaimTestFleet();
  for (const address of ['a', 'b']) fleet.addNode(address);
  const first = await fleet.execute('a', { behavior: TargetBehavior.ExecuteWithoutResponse });
  assertRefused(first, ResultCode.TargetTimeout, RunState.MayHaveRun);
  for (const address of ['b', 'a', 'b']) {
    const retry = await fleet.execute(address);
    assertRefused(retry, ResultCode.OutcomeUnknown, RunState.MayHaveRun);
    await fleet.clock.advanceBy(100_000);
  }
  fleet.assertInvariants();
});

test('the look-up request of a route settles an unknown outcome', async () => {
  const fleet = new ClaimTestFleet();
  for (const address of ['a', 'b']) fleet.addNode(address);
  const lookUpPath = '/jobs/by-key/{key}';
  const first = await fleet.execute('a', {
    behavior: TargetBehavior.ExecuteWithoutResponse,
    lookUpPath,
  });
  assert.equal(readText(first), BOOKED);
  const retry = await fleet.execute('b', { lookUpPath });
  assert.deepEqual([readText(retry), isReplayed(retry)], [BOOKED, true]);
  fleet.assertInvariants();
});

test('"not run" from the targets is accepted only after the quiet period', async () => {
  // Guards against a key that runs twice: the request is in flight to a slow target, the look-up
  // correctly finds no execution, the key runs again, and then the first request arrives. "Not run
  // so far" does not mean that it will not run.
  const fleet = new ClaimTestFleet();
  fleet.addNode('a');
  const lookUpPath = '/jobs/by-key/{key}';
  await fleet.execute('a', { behavior: TargetBehavior.ExecuteLate, lookUpPath });
  const early = await fleet.execute('a', { lookUpPath });
  assertRefused(early, ResultCode.OutcomeUnknown, RunState.MayHaveRun);
  await fleet.clock.advanceBy(61_000);
  assert.equal(readText(await fleet.execute('a', { lookUpPath })), BOOKED);
  fleet.assertInvariants();
});

test('a retry waits for a running request within its deadline and is then refused', async () => {
  const fleet = new ClaimTestFleet();
  for (const address of ['a', 'b']) fleet.addNode(address);
  const first = fleet.send('a', { behavior: TargetBehavior.ExecuteWithoutResponse });
  await fleet.clock.advanceBy(50);
  const retry = await fleet.execute('b', { deadlineMs: 150 });
  assertRefused(retry, ResultCode.StillRunning, RunState.MayHaveRun);
  assert.ok(retry.endMs <= retry.request.deadlineMs);
  await fleet.finish(first);
});

test('while the store is unavailable a new key is refused immediately as not run', async () => {
  const fleet = new ClaimTestFleet();
  fleet.addNode('a');
  fleet.table.chooseFault = () => TableFault.Refuse;
  for (let round = 0; round < 3; round++) {
    const call = await fleet.execute('a');
    assertRefused(call, ResultCode.ClaimStoreUnavailable, RunState.NotRun);
    assert.ok(call.endMs - call.startMs < 50);
    await fleet.clock.advanceBy(3_600_000);
  }
  fleet.table.chooseFault = () => TableFault.None;
  assert.equal(readText(await fleet.execute('a')), 'booked north/key-1 as 1 for caller-3');
});

test('an unresponsive store neither delays callers nor accumulates releases over hours', async () => {
  // Guards against refusals that take seconds and memory that grows until the node is killed: the
  // store accepts requests but does not respond for hours, and each claim that is sent to it waits
  // for a response and leaves a pending release.
  const fleet = new ClaimTestFleet();
  fleet.addNode('a');
  fleet.table.chooseFault = () => TableFault.LoseRequest;
  for (let count = 0; count < 200; count++) {
    const call = await fleet.execute('a', { key: `unanswered-${count}` });
    assertRefused(call, ResultCode.ClaimStoreUnavailable, RunState.NotRun);
    if (count >= 3) assert.ok(call.endMs - call.startMs < 50, 'refused immediately');
    await fleet.clock.advanceBy(5_000);
  }
  assert.ok(fleet.getGuard('a').getPendingRecordCount() <= 3);
  fleet.table.chooseFault = () => TableFault.None;
  await fleet.execute('a', { key: 'probes' });
  await fleet.clock.advanceBy(10_000);
  assert.equal(readText(await fleet.execute('a')), 'booked north/key-1 as 1 for caller-201');
  assert.equal(fleet.getGuard('a').getPendingRecordCount(), 0);
  fleet.assertInvariants();
});

test('under overload a key that ran is replayed and a new key is refused without a write', async () => {
  const fleet = new ClaimTestFleet();
  fleet.addNode('a');
  await fleet.execute('a');
  const refusal = new MuxError({
    code: ResultCode.QueueFull,
    message: 'queue is full',
    runState: RunState.NotRun,
  });
  assert.equal(readText(await fleet.execute('a', { refusal })), BOOKED);
  const { rowsWritten } = fleet.table;
  const fresh = await fleet.execute('a', { key: 'key-2', refusal });
  assertRefused(fresh, ResultCode.QueueFull, RunState.NotRun);
  assert.equal(fleet.table.rowsWritten, rowsWritten);
  fleet.assertInvariants();
});

test('a response above the size limit is not recorded, and its key is reported as run', async () => {
  const fleet = new ClaimTestFleet();
  for (const address of ['a', 'b']) fleet.addNode(address);
  for (const address of ['a', 'b']) {
    const call = await fleet.execute(address, { behavior: TargetBehavior.RespondOversized });
    assertRefused(call, ResultCode.AnswerNotKept, RunState.Ran);
  }
  fleet.assertInvariants();
});

test('a large response is stored in an object and replayed completely', async () => {
  const fleet = new ClaimTestFleet();
  for (const address of ['a', 'b']) fleet.addNode(address, undefined, { maxRowBytes: 8 });
  await fleet.execute('a');
  assert.equal(fleet.objects.bytes.size, 1);
  assert.equal(readText(await fleet.execute('b')), BOOKED);
});

/** The first calls have the given faults; later calls succeed. */
function setTableFaults(fleet: ClaimTestFleet, faults: readonly TableFault[]): void {
  let calls = 0;
  fleet.table.chooseFault = () => faults[calls++] ?? TableFault.None;
}
