/** Kills and pauses one node between every two of its steps and checks the results of retries. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { ResultCode } from '@parsleymux/base';
import type { ITestRequest } from '../../test/claimTestFleet.js';
import { ClaimTestFleet, getError } from '../../test/claimTestFleet.js';
import { TableFault } from '../../test/fakeTable.js';
import { TargetBehavior } from '../../test/fakeTarget.js';
import type { IProcessFault } from '../../test/processGate.js';

const RETRY_INTERVAL_MS = 40;
const PAUSE_MS = 20_000;
const END_MS = 120_000;

interface IScenario {
  readonly name: string;
  readonly request: ITestRequest;
  readonly faults: readonly TableFault[];
}

const SCENARIOS: readonly IScenario[] = [
  { name: 'response', request: {}, faults: [] },
  { name: 'large response', request: { behavior: TargetBehavior.RespondOversized }, faults: [] },
  { name: 'shed', request: { behavior: TargetBehavior.Shed }, faults: [] },
  {
    name: 'target without response',
    request: { behavior: TargetBehavior.ExecuteWithoutResponse },
    faults: [],
  },
  { name: 'claim response lost', request: {}, faults: [TableFault.LoseResponse] },
  {
    name: 'claim committed late',
    request: {},
    faults: [TableFault.CommitLate, TableFault.LoseRequest],
  },
  {
    name: 'release response lost',
    request: { behavior: TargetBehavior.Shed },
    faults: [TableFault.None, TableFault.LoseResponse],
  },
  { name: 'outcome lost', request: {}, faults: [TableFault.None, TableFault.LoseRequest] },
  {
    name: 'look-up by targets',
    request: { behavior: TargetBehavior.ExecuteWithoutResponse, lookUpPath: '/jobs/by-key/{key}' },
    faults: [],
  },
];

/** Runs a request through node a, which has the fault `fault`, and retries it repeatedly through node b. */
async function runScenario(
  scenario: IScenario,
  fault: IProcessFault | undefined,
  firstRetryMs: number,
): Promise<number> {
  const fleet = new ClaimTestFleet();
  const gate = fleet.addNode('a', fault);
  fleet.addNode('b');
  let calls = 0;
  fleet.table.chooseFault = () => scenario.faults[calls++] ?? TableFault.None;
  fleet.send('a', { ...scenario.request, deadlineMs: 1000 });
  await fleet.clock.advanceBy(firstRetryMs);
  for (let retries = 0; retries < 4; retries++) {
    fleet.send('b', { ...scenario.request, behavior: TargetBehavior.Respond, deadlineMs: 500 });
    await fleet.clock.advanceBy(RETRY_INTERVAL_MS);
  }
  await fleet.clock.advanceBy(PAUSE_MS);
  if (gate.isDead) fleet.addNode('a');
  await fleet.clock.advanceBy(END_MS);
  const { lookUpPath } = scenario.request;
  const last = await fleet.execute('b', lookUpPath === undefined ? {} : { lookUpPath });
  fleet.assertInvariants();
  assertFinalResult(last);
  return gate.getStepCount();
}

/** After all faults have ended, no key may remain in an intermediate state. */
function assertFinalResult(call: ReturnType<ClaimTestFleet['send']>): void {
  assert.ok(call.result);
  if (call.result.status === 'fulfilled') return;
  const allowed: readonly ResultCode[] = [ResultCode.OutcomeUnknown, ResultCode.AnswerNotKept];
  assert.ok(allowed.includes(getError(call).code), getError(call).message);
}

for (const scenario of SCENARIOS) {
  test(`killed or paused between every two steps: ${scenario.name}`, async () => {
    // Guards against a key that runs twice, or that ran and is refused as not run: the claimer is
    // killed or paused at some step while retries go through another node. The right to dispatch
    // must neither expire nor be transferred without proof that the claimer did not dispatch.
    const steps = await runScenario(scenario, undefined, 0);
    assert.ok(steps > 5);
    await fc.assert(
      fc.asyncProperty(fc.integer({ min: 0, max: 400 }), async (firstRetryMs) => {
        for (let step = 1; step <= steps; step++) {
          await runScenario(scenario, { step, pauseMs: undefined }, firstRetryMs);
          await runScenario(scenario, { step, pauseMs: PAUSE_MS }, firstRetryMs);
          await runScenario(scenario, { step, pauseMs: 600 }, firstRetryMs);
        }
      }),
      { seed: 20_261_202, numRuns: 2, endOnFailure: true },
    );
  });
}

test('a paused claimer that is no longer listed keeps its right to dispatch', async () => {
  // Guards against a key that runs twice: the claimer is paused just before it dispatches, for long
  // enough to be unlisted; the targets correctly report to a retry that the key did not run, the
  // retry runs it, and the claimer resumes. "Not run" must not be accepted for a running claim.
  const steps = await runPausedAndUnlisted(0);
  for (let step = 1; step <= steps; step++) await runPausedAndUnlisted(step);
});

async function runPausedAndUnlisted(step: number): Promise<number> {
  const fleet = new ClaimTestFleet();
  const gate = fleet.addNode('a', { step, pauseMs: 100_000 });
  fleet.addNode('b', undefined, { isLive: () => false });
  const lookUpPath = '/jobs/by-key/{key}';
  fleet.send('a', { lookUpPath });
  await fleet.clock.advanceBy(70_000);
  await fleet.execute('b', { lookUpPath });
  await fleet.clock.advanceBy(END_MS);
  await fleet.execute('b', { lookUpPath });
  fleet.assertInvariants();
  return gate.getStepCount();
}
