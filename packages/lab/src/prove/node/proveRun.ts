/** Makes one randomised run from start to result. */
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

/** Time in which the fleet may still be affected by the last faults, in ms. */
const RECOVERY_MS = 8000;
/** Time after recovery in which requests must be served, in ms. */
const WATCH_MS = 4000;
/** Pause before the load starts and after it has stopped, in ms. */
const REST_MS = 2000;
/** Minimum share of requests that is served after recovery. */
const MIN_RECOVERED_SHARE = 0.9;

/** Options of {@link runProve}. */
export interface IProveRunOptions {
  readonly seed: number;
  readonly seconds: number;
  readonly schedule: readonly IFaultStep[];
  /** Factor on the layout's request rate. */
  readonly loadFactor: number;
  /** Module that nodes load first and that disables a mechanism in them. */
  readonly breakModule?: string;
  /** Assumption of the nodes that platform or targets violate. */
  readonly outsideBreak?: OutsideBreak;
}

/** Makes a run, prints its report and returns whether nothing was violated. */
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
  await sleep(WATCH_MS);
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

/** Checks availability: a fleet that rejects every request violates no other guarantee. */
function checkRecovery(
  records: readonly IRequestRecord[],
  sinceMs: number,
  world: ProveWorld,
): void {
  const late = records.filter(({ attempts }) => (attempts[0]?.sentAtMs ?? 0) >= sinceMs);
  const answered = late.filter((record) => {
    return getFinalAttempt(record.attempts)?.outcome === AttemptOutcome.Answered;
  });
  const isRecovered = answered.length >= MIN_RECOVERED_SHARE * late.length && late.length > 0;
  world.findings.check('serves again after the faults', isRecovered, () => {
    return `${answered.length} of ${late.length} requests answered`;
  });
}

async function checkOutcomes(records: readonly IRequestRecord[], world: ProveWorld): Promise<void> {
  const executions = await world.lab.fetchExecutions();
  const verdict = compareOutcomes(records, executions);
  recordGuarantee(world, verdict, 'at most once', verdict.bookings);
  recordGuarantee(world, verdict, 'whole answers', verdict.requests);
  recordGuarantee(world, verdict, 'truthful refusals', verdict.notRunChecked);
  const findTarget = (control: string) => world.lab.getDirectAddress(control);
  world.drainedTargets.checkAll(executions, findTarget, world.findings);
  await world.shutdowns.checkAll(records, world.findings);
}

function recordGuarantee(
  world: ProveWorld,
  verdict: IOutcomeComparison,
  guarantee: string,
  checks: number,
): void {
  const violations = verdict.findings.filter((finding) => finding.promise === guarantee);
  for (const { requestId, detail } of violations) {
    world.findings.check(guarantee, false, () => `${requestId}: ${detail}`);
  }
  for (let count = violations.length; count < checks; count += 1) {
    world.findings.check(guarantee, true, () => '');
  }
}

function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
