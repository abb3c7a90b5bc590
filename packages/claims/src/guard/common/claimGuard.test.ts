import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MuxError, ResultCode, RunState } from '@parsleymux/base';
import { assertRefused, ClaimTestFleet, isReplayed, readText } from '../../test/claimTestFleet.js';
import { TableFault } from '../../test/fakeTable.js';
import { TargetBehavior } from '../../test/fakeTarget.js';

const BOOKED = 'booked north/key-1 as 1 for caller-0';

test('retries through several guards get the one recorded answer', async () => {
  // Symptom: one booking ran three times. Sequence: the caller, hearing nothing, asked again
  // through other nodes while the first was running, and once more after it. Cause: each node
  // knew only of its own requests.
  const world = new ClaimTestFleet();
  for (const address of ['a', 'b', 'c']) world.addNode(address);
  const calls = ['a', 'b', 'c'].map((address) => world.send(address));
  for (const call of calls) await world.finish(call);
  calls.push(await world.execute('c'));
  assert.equal(new Set(calls.map(readText)).size, 1);
  assert.deepEqual(calls.map(isReplayed).sort(), [false, true, true, true]);
  world.assertInvariants();
});

test('the same key with another body is a conflict and does not run', async () => {
  const world = new ClaimTestFleet();
  world.addNode('a');
  await world.execute('a');
  const other = await world.execute('a', { body: 'another job' });
  assertRefused(other, ResultCode.IdempotencyKeyConflict, RunState.NotRun);
  world.assertInvariants();
});

test("another member's key is another key", async () => {
  const world = new ClaimTestFleet();
  world.addNode('a');
  await world.execute('a');
  const other = await world.execute('a', { member: 'south' });
  assert.equal(readText(other), 'booked south/key-1 as 1 for caller-1');
});

test('a request without a key is refused as not run', async () => {
  const world = new ClaimTestFleet();
  world.addNode('a');
  const call = await world.execute('a', { key: undefined });
  assertRefused(call, ResultCode.IdempotencyKeyMissing, RunState.NotRun);
});

test('a claim whose answer was lost after the write is found to be our own', async () => {
  // Symptom: a booking was refused for ever although nothing had run. Sequence: the claim was
  // written, its answer lost, and the retry found "somebody's" claim. Cause: the node did not
  // know its own token in the row.
  const world = new ClaimTestFleet();
  world.addNode('a');
  setTableFaults(world, [TableFault.LoseResponse]);
  assert.equal(readText(await world.execute('a')), BOOKED);
  world.assertInvariants();
});

test('a claim that stays unresolved is refused as not run and frees the key', async () => {
  // Symptom: a key was told "may have run" for ever although nothing had run. Sequence: the
  // claim's answer was lost, the store went out, the node refused as not run; its claim landed
  // late. Cause: nobody released the claim that stood with the token of a finished request.
  const world = new ClaimTestFleet();
  for (const address of ['a', 'b']) world.addNode(address);
  let calls = 0;
  world.table.chooseFault = () => (calls++ === 0 ? TableFault.CommitLate : TableFault.LoseRequest);
  const refused = await world.execute('a');
  assertRefused(refused, ResultCode.ClaimStoreUnavailable, RunState.NotRun);
  world.table.chooseFault = () => TableFault.None;
  assert.equal(readText(await world.execute('b')), 'booked north/key-1 as 1 for caller-1');
  world.assertInvariants();
});

test('a claim that lands after its own release does not take the key', async () => {
  // Symptom: as before. Sequence: the node gave up on its claim and released what it found,
  // which was nothing; then the claim landed. Cause: the release left no mark for it to meet.
  const world = new ClaimTestFleet();
  for (const address of ['a', 'b']) world.addNode(address, undefined, { claimWaitMs: 10 });
  world.table.lateCommitMs = 500;
  setTableFaults(world, [TableFault.CommitLate]);
  const refused = await world.execute('a');
  assertRefused(refused, ResultCode.ClaimStoreUnavailable, RunState.NotRun);
  await world.clock.advanceBy(1000);
  assert.equal(readText(await world.execute('b')), 'booked north/key-1 as 1 for caller-1');
  world.assertInvariants();
});

test('a node that was paused past the deadline after its claim does not dispatch', async () => {
  // Symptom: a booking nobody waited for any more was made. Sequence: the claim was won, the
  // process stood still past the deadline, then dispatched. Cause: the deadline was checked
  // before the claim only.
  const world = new ClaimTestFleet();
  world.addNode('a', { step: 3, pauseMs: 700 });
  world.addNode('b');
  const late = await world.execute('a', { deadlineMs: 500 });
  assertRefused(late, ResultCode.DeadlinePassed, RunState.NotRun);
  assert.equal(readText(await world.execute('b')), 'booked north/key-1 as 1 for caller-1');
  world.assertInvariants();
});

test('a caller that hangs up cancels nothing that was dispatched, and finds the answer', async () => {
  const world = new ClaimTestFleet();
  world.addNode('a');
  const early = new AbortController();
  early.abort();
  const gone = await world.execute('a', { signal: early.signal });
  assertRefused(gone, ResultCode.CallerGone, RunState.NotRun);
  const late = new AbortController();
  const call = world.send('a', { signal: late.signal });
  await world.clock.advanceBy(10);
  late.abort();
  await world.finish(call);
  const answer = 'booked north/key-1 as 1 for caller-1';
  assert.deepEqual([readText(call), readText(await world.execute('a'))], [answer, answer]);
  world.assertInvariants();
});

test('a release whose answer is lost frees the key all the same', async () => {
  const world = new ClaimTestFleet();
  for (const address of ['a', 'b']) world.addNode(address);
  setTableFaults(world, [TableFault.None, TableFault.LoseResponse]);
  const shed = await world.execute('a', { behavior: TargetBehavior.Shed });
  assertRefused(shed, ResultCode.TargetShed, RunState.NotRun);
  assert.equal(readText(await world.execute('b')), 'booked north/key-1 as 1 for caller-1');
  world.assertInvariants();
});

test('an outcome that cannot be written is given to its caller and to who asks later', async () => {
  // Symptom: a booked job was answered with an error, or its retry told "unknown". Sequence:
  // the target executed, then the store went out before the outcome was recorded. Cause: the
  // answer was held back for its record, or kept nowhere else.
  const world = new ClaimTestFleet();
  for (const address of ['a', 'b']) world.addNode(address);
  let calls = 0;
  world.table.chooseFault = () => (calls++ === 0 ? TableFault.None : TableFault.LoseRequest);
  assert.equal(readText(await world.execute('a')), BOOKED);
  assert.equal(world.getGuard('a').getPendingRecordCount(), 1);
  const local = await world.execute('a');
  assert.deepEqual([readText(local), isReplayed(local)], [BOOKED, true]);
  world.table.chooseFault = () => TableFault.None;
  assert.equal(readText(await world.execute('b')), BOOKED);
  await world.clock.advanceBy(10_000);
  assert.equal(world.getGuard('a').getPendingRecordCount(), 0);
  assert.equal(readText(await world.execute('b')), BOOKED);
  world.assertInvariants();
});

test('a target that ran it and fell silent leaves one stable "may have run"', async () => {
  const world = new ClaimTestFleet();
  for (const address of ['a', 'b']) world.addNode(address);
  const first = await world.execute('a', { behavior: TargetBehavior.ExecuteSilently });
  assertRefused(first, ResultCode.TargetTimeout, RunState.MayHaveRun);
  for (const address of ['b', 'a', 'b']) {
    const retry = await world.execute(address);
    assertRefused(retry, ResultCode.OutcomeUnknown, RunState.MayHaveRun);
    await world.clock.advanceBy(100_000);
  }
  world.assertInvariants();
});

test("the member's look-up request settles an unknown outcome", async () => {
  const world = new ClaimTestFleet();
  for (const address of ['a', 'b']) world.addNode(address);
  const lookUpPath = '/jobs/by-key/{key}';
  const first = await world.execute('a', { behavior: TargetBehavior.ExecuteSilently, lookUpPath });
  assert.equal(readText(first), BOOKED);
  const retry = await world.execute('b', { lookUpPath });
  assert.deepEqual([readText(retry), isReplayed(retry)], [BOOKED, true]);
  world.assertInvariants();
});

test('"never ran" from the targets counts only after a quiet time', async () => {
  // Symptom: a booking ran twice. Sequence: the request was on its way to a slow target, the
  // look-up truthfully found nothing, the key was run again, then the first one arrived. Cause:
  // "not run so far" was taken for "will not run".
  const world = new ClaimTestFleet();
  world.addNode('a');
  const lookUpPath = '/jobs/by-key/{key}';
  await world.execute('a', { behavior: TargetBehavior.ExecuteLate, lookUpPath });
  const early = await world.execute('a', { lookUpPath });
  assertRefused(early, ResultCode.OutcomeUnknown, RunState.MayHaveRun);
  await world.clock.advanceBy(61_000);
  assert.equal(readText(await world.execute('a', { lookUpPath })), BOOKED);
  world.assertInvariants();
});

test('while it runs, a retry waits within its deadline and is then told so', async () => {
  const world = new ClaimTestFleet();
  for (const address of ['a', 'b']) world.addNode(address);
  const first = world.send('a', { behavior: TargetBehavior.ExecuteSilently });
  await world.clock.advanceBy(50);
  const retry = await world.execute('b', { deadlineMs: 150 });
  assertRefused(retry, ResultCode.StillRunning, RunState.MayHaveRun);
  assert.ok(retry.endMs <= retry.request.deadlineMs);
  await world.finish(first);
});

test('with the store out a new key is refused at once as not run', async () => {
  const world = new ClaimTestFleet();
  world.addNode('a');
  world.table.chooseFault = () => TableFault.Refuse;
  for (let round = 0; round < 3; round++) {
    const call = await world.execute('a');
    assertRefused(call, ResultCode.ClaimStoreUnavailable, RunState.NotRun);
    assert.ok(call.endMs - call.startMs < 50);
    await world.clock.advanceBy(3_600_000);
  }
  world.table.chooseFault = () => TableFault.None;
  assert.equal(readText(await world.execute('a')), 'booked north/key-1 as 1 for caller-3');
});

test('a store that is silent for hours costs callers no wait and the node no memory', async () => {
  // Symptom: bookings were refused only after seconds, and the node grew until it was killed.
  // Sequence: the store took requests and answered none for hours; each claim waited for its
  // answer and left a release behind. Cause: every booking was tried on the silent store.
  const world = new ClaimTestFleet();
  world.addNode('a');
  world.table.chooseFault = () => TableFault.LoseRequest;
  for (let count = 0; count < 200; count++) {
    const call = await world.execute('a', { key: `silent-${count}` });
    assertRefused(call, ResultCode.ClaimStoreUnavailable, RunState.NotRun);
    if (count >= 3) assert.ok(call.endMs - call.startMs < 50, 'refused at once');
    await world.clock.advanceBy(5_000);
  }
  assert.ok(world.getGuard('a').getPendingRecordCount() <= 3);
  world.table.chooseFault = () => TableFault.None;
  await world.execute('a', { key: 'probes' });
  await world.clock.advanceBy(10_000);
  assert.equal(readText(await world.execute('a')), 'booked north/key-1 as 1 for caller-201');
  assert.equal(world.getGuard('a').getPendingRecordCount(), 0);
  world.assertInvariants();
});

test('under overload a key that ran is replayed and another refused without a write', async () => {
  const world = new ClaimTestFleet();
  world.addNode('a');
  await world.execute('a');
  const refusal = new MuxError({
    code: ResultCode.QueueFull,
    message: 'queue is full',
    runState: RunState.NotRun,
  });
  assert.equal(readText(await world.execute('a', { refusal })), BOOKED);
  const { rowsWritten } = world.table;
  const fresh = await world.execute('a', { key: 'key-2', refusal });
  assertRefused(fresh, ResultCode.QueueFull, RunState.NotRun);
  assert.equal(world.table.rowsWritten, rowsWritten);
  world.assertInvariants();
});

test('an answer above the limit is not kept, and the key is known to have run', async () => {
  const world = new ClaimTestFleet();
  for (const address of ['a', 'b']) world.addNode(address);
  for (const address of ['a', 'b']) {
    const call = await world.execute(address, { behavior: TargetBehavior.RespondOversized });
    assertRefused(call, ResultCode.AnswerNotKept, RunState.Ran);
  }
  world.assertInvariants();
});

test('a large answer is kept in an object and replayed whole', async () => {
  const world = new ClaimTestFleet();
  for (const address of ['a', 'b']) world.addNode(address, undefined, { maxRowBytes: 8 });
  await world.execute('a');
  assert.equal(world.objects.bytes.size, 1);
  assert.equal(readText(await world.execute('b')), BOOKED);
});

/** The first calls fail as told; the rest work. */
function setTableFaults(world: ClaimTestFleet, faults: readonly TableFault[]): void {
  let calls = 0;
  world.table.chooseFault = () => faults[calls++] ?? TableFault.None;
}
