import assert from 'node:assert/strict';
import { test } from 'node:test';
import { InvariantName, InvariantRegistry, ManualClock } from '@parsleymux/base';
import { decodeEjections, formatEjectionKey } from '@parsleymux/config';
import fc from 'fast-check';
import { buildService, MEMBER, SERVICE } from '../../test/common/builders.js';
import { FakeTable } from '../../test/common/fakeTable.js';
import { EjectionDecision } from './ejectionLedger.js';
import { TableEjectionLedger } from './tableEjectionLedger.js';

const signal = new AbortController().signal;
const key = formatEjectionKey(MEMBER, SERVICE);

function setUp(floorSlots: number) {
  const table = new FakeTable();
  const invariants = new InvariantRegistry();
  const service = buildService(4, { floorSlots });
  const makeLedger = (node: string) => {
    return new TableEjectionLedger({ table, clock: new ManualClock(), invariants, node });
  };
  const makeRequest = (target: string, otherwiseUnhealthy: readonly string[] = []) => {
    return { member: MEMBER, service, target, otherwiseUnhealthy, memberRevision: 1 };
  };
  return { table, invariants, makeLedger, makeRequest };
}

function listEjected(table: FakeTable): readonly string[] {
  return decodeEjections(table.rows.get(key)).ejected.map((entry) => entry.target);
}

test('two homes that both hold the service cannot eject below the floor together', async () => {
  // Symptom: healthy slots fall below the floor although each home left enough.
  // Sequence: two homes read the row, each ejects another target, both write.
  // Cause: each reckoned without the other; only the condition on the row's version stops it.
  const { table, invariants, makeLedger, makeRequest } = setUp(12);
  const decisions = await Promise.all([
    makeLedger('a').requestEjection(makeRequest('t0'), signal),
    makeLedger('b').requestEjection(makeRequest('t1'), signal),
  ]);
  assert.deepEqual([...decisions].sort(), [
    EjectionDecision.Granted,
    EjectionDecision.RefusedByFloor,
  ]);
  assert.equal(listEjected(table).length, 1);
  assert.equal(invariants.getViolationCount(InvariantName.CapacityFloor), 0);
});

test('cold and draining targets count as missing', async () => {
  const { makeLedger, makeRequest } = setUp(12);
  const decision = await makeLedger('a').requestEjection(makeRequest('t0', ['t3']), signal);
  assert.equal(decision, EjectionDecision.RefusedByFloor);
});

test('a target that a plan takes away later counts as missing already', async () => {
  // Symptom: healthy slots fall below the floor at a planned leaving instant, though every
  // ejection left enough when it was granted.
  // Sequence: a plan lets t3 leave in an hour; t0 is ejected; the hour passes.
  // Cause: the ejection reckoned with slots that were promised away.
  const { makeLedger, makeRequest } = setUp(12);
  const request = makeRequest('t0');
  request.service.targets[3]!.leaveAtMs = 3_600_000n;
  const decision = await makeLedger('a').requestEjection(request, signal);
  assert.equal(decision, EjectionDecision.RefusedByFloor);
});

test('a lost answer is read back, and the ejection is granted once', async () => {
  // Symptom: a target is ejected in the store, but its home goes on as if it were not.
  // Sequence: the transaction takes effect, its answer is lost.
  // Cause: no answer was taken for no effect.
  const { table, makeLedger, makeRequest } = setUp(4);
  table.lostAnswers = 1;
  const decision = await makeLedger('a').requestEjection(makeRequest('t0'), signal);
  assert.equal(decision, EjectionDecision.Granted);
  assert.deepEqual(listEjected(table), ['t0']);
});

test('with the store out nothing is ejected', async () => {
  const { table, makeLedger, makeRequest } = setUp(4);
  table.isDown = true;
  const ledger = makeLedger('a');
  const decision = await ledger.requestEjection(makeRequest('t0'), signal);
  assert.equal(decision, EjectionDecision.Unavailable);
  assert.equal(ledger.getEjected(MEMBER, SERVICE).size, 0);
  await assert.rejects(ledger.returnTarget(MEMBER, SERVICE, 't0', signal), /unavailable/);
});

test('a home whose configuration is older than a confirmed plan does not eject', async () => {
  // Symptom: a plan that takes a target away and an ejection together undercut the floor.
  // Sequence: the plan is confirmed; a home that has not heard of it ejects another target.
  // Cause: the home reckons with targets that are about to leave.
  const { table, makeLedger, makeRequest } = setUp(8);
  table.write(key, JSON.stringify({ ejected: [], memberRevision: 2 }));
  const decision = await makeLedger('a').requestEjection(makeRequest('t0'), signal);
  assert.equal(decision, EjectionDecision.Unavailable);
});

test('whatever homes do in whatever order, granted ejections leave the floor', async () => {
  const step = fc.record({
    node: fc.constantFrom('a', 'b', 'c'),
    target: fc.constantFrom('t0', 't1', 't2', 't3'),
    isReturn: fc.boolean(),
    isAnswerLost: fc.boolean(),
  });
  await fc.assert(
    fc.asyncProperty(fc.array(step, { maxLength: 25 }), async (steps) => {
      const { table, invariants, makeLedger, makeRequest } = setUp(8);
      const granted = new Set<string>();
      const ledgers = new Map(['a', 'b', 'c'].map((node) => [node, makeLedger(node)]));
      await Promise.all(
        steps.map(async ({ node, target, isReturn, isAnswerLost }) => {
          if (isAnswerLost) table.lostAnswers += 1;
          const ledger = ledgers.get(node)!;
          if (isReturn) {
            await ledger.returnTarget(MEMBER, SERVICE, target, signal).catch(() => 0);
            granted.delete(target);
          } else {
            const decision = await ledger.requestEjection(makeRequest(target), signal);
            if (decision === EjectionDecision.Granted) granted.add(target);
          }
          assert.ok(16 - 4 * listEjected(table).length >= 8);
        }),
      );
      // Returns can overtake ejections of the same target; without them every grant must stand.
      if (steps.some((step) => step.isReturn)) return;
      assert.deepEqual(new Set(listEjected(table)), granted);
      assert.equal(invariants.getViolationCount(InvariantName.CapacityFloor), 0);
    }),
    { seed: 5, numRuns: 100 },
  );
});
