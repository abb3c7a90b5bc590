/** One randomised run from start to verdict. */
import { DisposableStore } from '@parsleymux/base';
import type { IRequestRecord } from '../../load/common/requestRecord.js';
import { AttemptOutcome, getFinalAttempt } from '../../load/common/requestRecord.js';
import type { IOutcomeComparison } from '../../load/common/outcomeComparison.js';
import { compareOutcomes } from '../../load/common/outcomeComparison.js';
import { LoadGenerator } from '../../load/node/loadGenerator.js';
import { makeWorkloads } from '../../processes/common/worldLayout.js';
import { disposeOnInterrupt } from '../../processes/node/interrupt.js';
import { ReadyBalancer } from '../../processes/node/readyBalancer.js';
import type { IFaultStep } from '../common/faultSchedule.js';
import type { OutsideBreak } from './brokenWorld.js';
import { applyOutsideBreak } from './brokenWorld.js';
import { FaultRunner } from './faultRunner.js';
import { startProveFault } from './proveFaults.js';
import { MetricsWatcher } from './metricsWatcher.js';
import {
  printChecks,
  printFaults,
  printInvariants,
  printNodeLogs,
  printOutcomes,
} from './proveReport.js';
import { ProveWorld } from './proveWorld.js';

/** Time after the last fault in which the fleet may still suffer from it. */
const RECOVERY_MS = 8000;
const RECOVERED_MS = 4000;
const REST_MS = 2000;
const LEAST_SHARE_RECOVERED = 0.9;

/** Options of {@link runProve}. */
export interface IProveRunOptions {
  readonly seed: number;
  readonly seconds: number;
  readonly schedule: readonly IFaultStep[];
  /** Requests a second, as a multiple of the layout's. */
  readonly loadFactor: number;
  /** Module that nodes load first, and that breaks a mechanism in them. */
  readonly breakModule?: string;
  /** Assumption that the world around the nodes breaks. */
  readonly outsideBreak?: OutsideBreak;
}

/** Runs, prints the report, and returns whether nothing was violated. */
export async function runProve(options: IProveRunOptions): Promise<boolean> {
  const store = new DisposableStore();
  disposeOnInterrupt(store);
  try {
    return await runInWorld(options, store);
  } finally {
    await store.dispose();
  }
}

async function runInWorld(options: IProveRunOptions, store: DisposableStore): Promise<boolean> {
  const world = store.add(new ProveWorld(options));
  await world.start();
  if (options.outsideBreak !== undefined) await applyOutsideBreak(world, options.outsideBreak);
  const balancer = store.add(new ReadyBalancer(() => world.lab.getNodes()));
  const watcher = store.add(new MetricsWatcher(() => world.lab.getNodes()));
  const runner = store.add(new FaultRunner((step) => startProveFault(step, world)));
  await sleep(REST_MS);
  const load = store.add(
    new LoadGenerator({
      workloads: makeWorkloads(options.loadFactor),
      balancer,
      seed: options.seed,
    }),
  );
  load.start();
  runner.start(options.schedule);
  await sleep(options.seconds * 1000);
  await runner.finish();
  await world.clearFaults();
  await sleep(RECOVERY_MS);
  const recoveredAtMs = Date.now();
  await sleep(RECOVERED_MS);
  await load.stop();
  await sleep(REST_MS);
  await watcher.poll();
  const records = load.getRecords();
  checkRecovery(records, recoveredAtMs, world);
  await checkOutcomes(records, world);
  const internalErrors = watcher.getTotal('parsleymux_internal_errors_total');
  world.findings.check('no internal errors', internalErrors === 0, () => `${internalErrors}`);
  printFaults(runner.getCounts(), runner.getErrors());
  printOutcomes(load.summarize());
  const violations = printInvariants(watcher);
  printChecks(world.findings.list());
  printNodeLogs(world.lab.getAllNodes());
  return violations === 0 && !world.findings.hasViolations();
}

/** A fleet that only ever refuses breaks no promise, and is of no use. */
function checkRecovery(
  records: readonly IRequestRecord[],
  sinceMs: number,
  world: ProveWorld,
): void {
  const late = records.filter(({ attempts }) => (attempts[0]?.sentAtMs ?? 0) >= sinceMs);
  const answered = late.filter((record) => {
    return getFinalAttempt(record.attempts)?.outcome === AttemptOutcome.Answered;
  });
  const isRecovered = answered.length >= LEAST_SHARE_RECOVERED * late.length && late.length > 0;
  world.findings.check('serves again after the faults', isRecovered, () => {
    return `${answered.length} of ${late.length} requests answered`;
  });
}

async function checkOutcomes(records: readonly IRequestRecord[], world: ProveWorld): Promise<void> {
  const executions = await world.lab.fetchExecutions();
  const verdict = compareOutcomes(records, executions);
  recordPromise(world, verdict, 'at most once', verdict.bookings);
  recordPromise(world, verdict, 'whole answers', verdict.requests);
  recordPromise(world, verdict, 'truthful refusals', verdict.notRunChecked);
  const findTarget = (control: string) => world.lab.getOwnAddress(control);
  world.leavingTargets.checkAll(executions, findTarget, world.findings);
  await world.shutdowns.checkAll(records, world.findings);
}

function recordPromise(
  world: ProveWorld,
  verdict: IOutcomeComparison,
  promise: string,
  checks: number,
): void {
  const broken = verdict.findings.filter((finding) => finding.promise === promise);
  for (const { requestId, detail } of broken) {
    world.findings.check(promise, false, () => `${requestId}: ${detail}`);
  }
  for (let count = broken.length; count < checks; count += 1) {
    world.findings.check(promise, true, () => '');
  }
}

function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
