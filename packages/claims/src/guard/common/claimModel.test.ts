/** Random schedules over several nodes, with table faults and targets that count executions. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { ResultCode, SeededRandom } from '@parsleymux/base';
import { ClaimTestFleet, getError } from '../../test/claimTestFleet.js';
import { TableFault } from '../../test/fakeTable.js';
import { TargetBehavior } from '../../test/fakeTarget.js';
import type { IProcessFault } from '../../test/processGate.js';

const RUNS = Number(process.env.CLAIM_MODEL_RUNS ?? '150');
const SEED = Number(process.env.CLAIM_MODEL_SEED ?? '20261202');
const RESTART_MS = 1000;
const END_MS = 200_000;
const ADDRESSES = ['a', 'b', 'c', 'd'];
const FINAL_ERRORS: readonly ResultCode[] = [
  ResultCode.OutcomeUnknown,
  ResultCode.AnswerNotKept,
  ResultCode.IdempotencyKeyConflict,
];

interface ISchedule {
  readonly seed: number;
  readonly nodeFaults: readonly (IProcessFault | null)[];
  readonly lossShare: number;
  readonly outage: { readonly startMs: number; readonly lengthMs: number };
  readonly hasLookUp: boolean;
  readonly requests: readonly {
    readonly node: number;
    readonly key: number;
    readonly gapMs: number;
    readonly deadlineMs: number;
    readonly behavior: TargetBehavior;
    readonly body: string;
  }[];
}

const faultArbitrary = fc.record({
  step: fc.integer({ min: 1, max: 80 }),
  pauseMs: fc.oneof(fc.constant(undefined), fc.constantFrom(30, 700, 5000, 90_000)),
});

const behaviorArbitrary = fc.oneof(
  { weight: 4, arbitrary: fc.constant(TargetBehavior.Respond) },
  { weight: 3, arbitrary: fc.constantFrom(...Object.values(TargetBehavior)) },
);

const scheduleArbitrary: fc.Arbitrary<ISchedule> = fc.record({
  seed: fc.integer(),
  nodeFaults: fc.array(fc.option(faultArbitrary), { minLength: 2, maxLength: 4 }),
  lossShare: fc.constantFrom(0, 0.1, 0.4),
  outage: fc.record({
    startMs: fc.integer({ min: 0, max: 600 }),
    lengthMs: fc.constantFrom(0, 0, 200, 3000),
  }),
  hasLookUp: fc.boolean(),
  requests: fc.array(
    fc.record({
      node: fc.nat(3),
      key: fc.nat(1),
      gapMs: fc.constantFrom(0, 1, 7, 30, 120, 1000),
      deadlineMs: fc.constantFrom(20, 200, 1500, 5000),
      behavior: behaviorArbitrary,
      body: fc.constantFrom('job', 'job', 'job', 'other job'),
    }),
    { minLength: 2, maxLength: 12 },
  ),
});

/** Chooses the table's faults by the schedule. All faults end before the final check. */
function setTableFaults(fleet: ClaimTestFleet, schedule: ISchedule): void {
  const random = new SeededRandom(schedule.seed);
  const faults = Object.values(TableFault);
  const { startMs, lengthMs } = schedule.outage;
  fleet.table.chooseFault = () => {
    const nowMs = fleet.clock.getMonotonicTime();
    const isOut = nowMs >= startMs && nowMs < startMs + lengthMs;
    if (!isOut && random.getFloat() >= schedule.lossShare) return TableFault.None;
    return faults[random.getInteger(faults.length)] ?? TableFault.Refuse;
  };
}

async function runSchedule(schedule: ISchedule): Promise<void> {
  const fleet = new ClaimTestFleet();
  const nodes = schedule.nodeFaults.map((fault, index) => {
    const address = ADDRESSES[index] ?? 'a';
    return { address, gate: fleet.addNode(address, fault ?? undefined) };
  });
  setTableFaults(fleet, schedule);
  const path = schedule.hasLookUp ? { lookUpPath: '/jobs/by-key/{key}' } : {};
  for (const { node, key, gapMs, deadlineMs, behavior, body } of schedule.requests) {
    const address = nodes[node % nodes.length]?.address ?? 'a';
    fleet.send(address, { key: `key-${key}`, deadlineMs, behavior, body, ...path });
    await fleet.clock.advanceBy(gapMs);
  }
  await fleet.clock.advanceBy(RESTART_MS);
  for (const { address, gate } of nodes) if (gate.isDead) fleet.addNode(address);
  await fleet.clock.advanceBy(END_MS);
  fleet.table.chooseFault = () => TableFault.None;
  await fleet.clock.advanceBy(END_MS);
  fleet.addNode('last');
  for (const key of ['key-0', 'key-1']) {
    const last = await fleet.execute('last', { key, ...path });
    if (last.result?.status === 'rejected') {
      assert.ok(FINAL_ERRORS.includes(getError(last).code), getError(last).message);
    }
  }
  fleet.assertInvariants();
}

test('random schedules: each key executes at most once and every refusal is accurate', async () => {
  await fc.assert(fc.asyncProperty(scheduleArbitrary, runSchedule), { seed: SEED, numRuns: RUNS });
});
