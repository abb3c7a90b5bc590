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

test('two homes of the same service cannot together eject below the floor', async () => {
  // Two homes read the row, and each ejects a different target. Each ejection alone preserves the
  // floor, so only the condition on the row's version prevents the second.
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

test('a target that a plan will remove already counts as missing', async () => {
  // A plan removes t3 in an hour. If its slots still counted, an ejection of t0 would leave the
  // service below the floor when the hour has passed.
  const { makeLedger, makeRequest } = setUp(12);
  const request = makeRequest('t0');
  request.service.targets[3]!.leaveAtMs = 3_600_000n;
  const decision = await makeLedger('a').requestEjection(request, signal);
  assert.equal(decision, EjectionDecision.RefusedByFloor);
});

test('after a lost response the row is read again, and the ejection is granted once', async () => {
  // The transaction takes effect but its response is lost. If that counted as a failure, the target
  // would be ejected in the store while its home kept using it.
  const { table, makeLedger, makeRequest } = setUp(4);
  table.lostAnswers = 1;
  const decision = await makeLedger('a').requestEjection(makeRequest('t0'), signal);
  assert.equal(decision, EjectionDecision.Granted);
  assert.deepEqual(listEjected(table), ['t0']);
});

test('no target is ejected while the store is unavailable', async () => {
  const { table, makeLedger, makeRequest } = setUp(4);
  table.isDown = true;
  const ledger = makeLedger('a');
  const decision = await ledger.requestEjection(makeRequest('t0'), signal);
  assert.equal(decision, EjectionDecision.Unavailable);
  assert.equal(ledger.getEjected(MEMBER, SERVICE).size, 0);
  await assert.rejects(ledger.returnTarget(MEMBER, SERVICE, 't0', signal), /unavailable/);
});

test('a home with a configuration older than a confirmed plan does not eject', async () => {
  // A confirmed plan removes a target. A home that has not received it still counts the slots of
  // that target, so its ejection together with the plan would go below the floor.
  const { table, makeLedger, makeRequest } = setUp(8);
  table.write(key, JSON.stringify({ ejected: [], memberRevision: 2 }));
  const decision = await makeLedger('a').requestEjection(makeRequest('t0'), signal);
  assert.equal(decision, EjectionDecision.Unavailable);
});

test('granted ejections preserve the floor in any order of operations', async () => {
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
      // A return can overtake an ejection of the same target; without returns every grant must persist.
      if (steps.some((step) => step.isReturn)) return;
      assert.deepEqual(new Set(listEjected(table)), granted);
      assert.equal(invariants.getViolationCount(InvariantName.CapacityFloor), 0);
    }),
    { seed: 5, numRuns: 100 },
  );
});
