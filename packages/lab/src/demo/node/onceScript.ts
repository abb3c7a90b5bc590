/** The demo as a script: ten seconds of traffic, a node killed, a target gray, then checks. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { IExecution } from '@parsleymux/standins';
import type { LoadGenerator } from '../../load/node/loadGenerator.js';
import type { IOutcomeComparison } from '../../load/common/outcomeComparison.js';
import { compareOutcomes } from '../../load/common/outcomeComparison.js';
import type { LabWorld } from '../../processes/node/labWorld.js';
import { readViolations } from '../../processes/node/nodeMetrics.js';
import type { ITargetPlace } from '../../processes/common/worldLayout.js';
import { CheckList } from './checkList.js';

const GRAY_AFTER_MS = 2000;
const KILL_AFTER_MS = 2500;
const REST_MS = 6000;
/** Requests that were in the killed node may end unknown; more than this is another fault. */
const LEAST_SHARE_DONE = 0.95;
/** The last seconds of traffic, in which the gray target is to be out of use. */
const LAST_MS = 3000;
/** Of a fair share: trials of an ejected target go on. */
const MOST_GRAY_SHARE = 0.5;

/**
 * Runs the script; returns the number of checks that failed.
 *
 * @example
 * process.exitCode = (await runOnce(world, load)) === 0 ? 0 : 1;
 */
export async function runOnce(world: LabWorld, load: LoadGenerator): Promise<number> {
  await sleep(GRAY_AFTER_MS);
  const gray = await makeSurveyTargetGray(world);
  await sleep(KILL_AFTER_MS);
  await endOneNode(world);
  await sleep(REST_MS);
  const endMs = Date.now();
  await load.stop();
  const executions = await world.fetchExecutions();
  const verdict = compareOutcomes(load.getRecords(), executions);
  const checks = new CheckList();
  await checkAll(world, load, verdict, checks);
  checkDetection(world, gray, executions, endMs, checks);
  return checks.getFailures();
}

/** The gray target's work in the last seconds of traffic, against its fair share. */
function checkDetection(
  world: LabWorld,
  gray: ITargetPlace,
  executions: readonly IExecution[],
  endMs: number,
  checks: CheckList,
): void {
  const peers = world.getPlaces().filter(({ service }) => service === gray.service);
  const late = executions.filter(({ target, startedAtMs }) => {
    const isPeer = peers.some(({ address }) => address === target);
    return isPeer && startedAtMs > endMs - LAST_MS && startedAtMs <= endMs;
  });
  const atGray = late.filter(({ target }) => target === gray.address).length;
  checks.check(
    'gray target lost its traffic',
    atGray * peers.length < late.length * MOST_GRAY_SHARE,
    `${atGray} of the last ${late.length} survey requests, ${peers.length} targets`,
  );
}

async function makeSurveyTargetGray(world: LabWorld): Promise<ITargetPlace> {
  const place = world.getPlaces().find(({ service }) => service === 'survey');
  if (place === undefined) throw new Error('there is no survey target');
  await world.getGroup(place).setFaults(place, { failShare: 0.6, slowFactor: 2 });
  console.log(`gray: ${place.address} of relinieri/survey fails 60% and is slow; health is green`);
  return place;
}

async function endOneNode(world: LabWorld): Promise<void> {
  const node = world.getNodes()[1];
  if (node === undefined) throw new Error('there is no second node');
  await world.endNode(node);
  console.log(`killed: ${node.options.name} (${node.addresses.peer}) by SIGKILL`);
}

async function checkAll(
  world: LabWorld,
  load: LoadGenerator,
  verdict: IOutcomeComparison,
  checks: CheckList,
): Promise<void> {
  const answered = load.summarize().find(({ outcome }) => outcome.startsWith('answered'));
  const answeredCount = answered?.count ?? 0;
  checks.check(
    'requests answered',
    answeredCount >= LEAST_SHARE_DONE * verdict.requests && verdict.requests > 0,
    `${answeredCount} of ${verdict.requests}`,
  );
  checks.check(
    'bookings and orders done',
    verdict.bookingsDone >= LEAST_SHARE_DONE * verdict.bookings && verdict.bookings > 0,
    `${verdict.bookingsDone} of ${verdict.bookings}`,
  );
  for (const promise of ['whole answers', 'at most once', 'truthful refusals']) {
    const broken = verdict.findings.filter((finding) => finding.promise === promise);
    const first =
      broken[0] === undefined ? '' : `, first ${broken[0].requestId}: ${broken[0].detail}`;
    checks.check(promise, broken.length === 0, `${broken.length} broken${first}`);
  }
  const violations = await readViolations(world.getNodes());
  const total = violations.reduce((sum, { count }) => sum + count, 0);
  checks.check('invariants inside the nodes', total === 0, `${total} violations`);
}
