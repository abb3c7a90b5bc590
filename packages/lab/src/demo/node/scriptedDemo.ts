/** The scripted demo: ten seconds of traffic with a gray target and a killed node, then checks. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { IExecution } from '@parsleymux/standins';
import type { LoadGenerator } from '../../load/node/loadGenerator.js';
import type { IOutcomeComparison } from '../../load/common/outcomeComparison.js';
import { compareOutcomes } from '../../load/common/outcomeComparison.js';
import type { LabWorld } from '../../processes/node/labWorld.js';
import { readViolations } from '../../processes/node/nodeMetrics.js';
import type { ILabTarget } from '../../processes/common/worldLayout.js';
import { CheckList } from './checkList.js';

const GRAY_AFTER_MS = 2000;
const KILL_AFTER_MS = 2500;
const RECOVERY_MS = 6000;
/**
 * Least share of requests that complete. Requests in flight on the killed node may end with an unknown
 * outcome; a lower share has another cause.
 */
const MIN_COMPLETED_SHARE = 0.95;
/** The end of the traffic, by which the gray target must be ejected. */
const FINAL_WINDOW_MS = 3000;
/** Most traffic of the gray target, as a part of a fair share: an ejected target still receives trials. */
const MAX_GRAY_SHARE = 0.5;

/**
 * Runs the scripted demo and returns the number of failed checks.
 *
 * @example
 * process.exitCode = (await runScriptedDemo(world, load)) === 0 ? 0 : 1;
 */
export async function runScriptedDemo(world: LabWorld, load: LoadGenerator): Promise<number> {
  await sleep(GRAY_AFTER_MS);
  const gray = await makeSurveyTargetGray(world);
  await sleep(KILL_AFTER_MS);
  await endOneNode(world);
  await sleep(RECOVERY_MS);
  const endMs = Date.now();
  await load.stop();
  const executions = await world.fetchExecutions();
  const comparison = compareOutcomes(load.getRecords(), executions);
  const checks = new CheckList();
  await checkAll(world, load, comparison, checks);
  checkDetection(world, gray, executions, endMs, checks);
  return checks.getFailureCount();
}

/** Compares the gray target's requests at the end of the traffic with its fair share. */
function checkDetection(
  world: LabWorld,
  gray: ILabTarget,
  executions: readonly IExecution[],
  endMs: number,
  checks: CheckList,
): void {
  const peers = world.getTargets().filter(({ service }) => service === gray.service);
  const late = executions.filter(({ target, startedAtMs }) => {
    const isPeer = peers.some(({ address }) => address === target);
    return isPeer && startedAtMs > endMs - FINAL_WINDOW_MS && startedAtMs <= endMs;
  });
  const atGray = late.filter(({ target }) => target === gray.address).length;
  checks.check(
    'gray target lost its traffic',
    atGray * peers.length < late.length * MAX_GRAY_SHARE,
    `${atGray} of the last ${late.length} survey requests, ${peers.length} targets`,
  );
}

async function makeSurveyTargetGray(world: LabWorld): Promise<ILabTarget> {
  const target = world.getTargets().find(({ service }) => service === 'survey');
  if (target === undefined) throw new Error('no target of the survey service exists');
  await world.getGroup(target).setFaults(target, { failShare: 0.6, slowFactor: 2 });
  console.log(
    `gray: ${target.address} of relinieri/survey fails 60% and is slow; its health checks pass`,
  );
  return target;
}

async function endOneNode(world: LabWorld): Promise<void> {
  const node = world.getNodes()[1];
  if (node === undefined) throw new Error('the fleet has no second node');
  await world.endNode(node);
  console.log(`killed: ${node.options.name} (${node.addresses.peer}) by SIGKILL`);
}

async function checkAll(
  world: LabWorld,
  load: LoadGenerator,
  comparison: IOutcomeComparison,
  checks: CheckList,
): Promise<void> {
  const answered = load.summarize().find(({ outcome }) => outcome.startsWith('answered'));
  const answeredCount = answered?.count ?? 0;
  checks.check(
    'requests answered',
    answeredCount >= MIN_COMPLETED_SHARE * comparison.requests && comparison.requests > 0,
    `${answeredCount} of ${comparison.requests}`,
  );
  checks.check(
    'bookings and orders done',
    comparison.bookingsDone >= MIN_COMPLETED_SHARE * comparison.bookings && comparison.bookings > 0,
    `${comparison.bookingsDone} of ${comparison.bookings}`,
  );
  for (const guarantee of ['whole answers', 'at most once', 'truthful refusals']) {
    const violated = comparison.findings.filter((finding) => finding.promise === guarantee);
    const first =
      violated[0] === undefined ? '' : `, first ${violated[0].requestId}: ${violated[0].detail}`;
    checks.check(guarantee, violated.length === 0, `${violated.length} violations${first}`);
  }
  const violations = await readViolations(world.getNodes());
  const total = violations.reduce((sum, { count }) => sum + count, 0);
  checks.check('invariants inside the nodes', total === 0, `${total} violations`);
}
