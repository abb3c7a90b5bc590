/** Runs one soak from start to result. */
import type { IntervalHistogram } from 'node:perf_hooks';
import { monitorEventLoopDelay } from 'node:perf_hooks';
import { DisposableStore, SeededRandom } from '@parsleymux/base';
import { disposeOnInterrupt } from '../../processes/node/interrupt.js';
import type { IFaultStep } from '../../prove/common/faultSchedule.js';
import { FaultRunner } from '../../prove/node/faultRunner.js';
import type { Findings } from '../../prove/common/findings.js';
import { printChecks, printFaults } from '../../prove/node/proveReport.js';
import { checkBounds } from '../common/boundChecks.js';
import { checkNotices } from '../common/noticeChecks.js';
import { checkSafety } from '../common/safetyChecks.js';
import type { IVersionProbe } from '../common/soakEvidence.js';
import type { SoakFaultKind } from '../common/soakFaultKind.js';
import { CHANGING_PREFIXES, SOAK_BOUNDS, formatAddedPrefix } from '../common/soakLayout.js';
import { SoakCaller, probeChangingRoute, probeVersion } from './soakCaller.js';
import { startSoakFault } from './soakFaults.js';
import type { SoakNode } from './soakNode.js';
import type { ISoakWorldOptions } from './soakWorld.js';
import { SoakWorld } from './soakWorld.js';

/** Time in which the fleet may still be affected by the last faults, in ms. */
const RECOVERY_MS = 6000;
/** Time after recovery in which requests must be served, in ms. */
const WATCH_MS = 3000;
/** Time for targets to finish their remaining work, in ms. */
const REST_MS = 2500;
const READY_POLL_MS = 500;
const PROBE_INTERVAL_MS = 250;
const CALLERS_PER_NODE = 8;
const PAUSE_MS = 150;
const MS_PER_S = 1000;
const NS_PER_MS = 1e6;
/** Minimum share of requests that is served after recovery. */
const MIN_RECOVERED_SHARE = 0.95;
/** Multiplies the seed, so that the callers' random numbers differ from those of the world. */
const CALLER_SEED_FACTOR = 1000;

/** Options of {@link runSoak}. */
export interface ISoakOptions extends ISoakWorldOptions {
  readonly seconds: number;
  readonly schedule: readonly IFaultStep<SoakFaultKind>[];
  /** Whether bounds of time are checked too; a machine that is busy with other work violates them. */
  readonly isCheckingBounds: boolean;
  /** Number of callers for each node. Default 8. */
  readonly callersPerNode?: number | undefined;
  /** Called with the logs of all nodes when a check fails. */
  readonly storeLogs?: (logs: ReadonlyMap<string, readonly string[]>) => void;
}

/** Result of a run. */
export interface ISoakResult {
  readonly findings: Findings;
  readonly requests: number;
  readonly served: number;
}

/**
 * Runs a soak, prints a report and returns the findings.
 *
 * @example
 * const { findings } = await runSoak(options);
 * process.exitCode = findings.hasViolations() ? 1 : 0;
 */
export async function runSoak(options: ISoakOptions): Promise<ISoakResult> {
  const owner = new DisposableStore();
  disposeOnInterrupt(owner);
  const world = new SoakWorld(options);
  owner.add(world);
  try {
    await world.start();
    return await runInWorld(options, world);
  } finally {
    await owner.dispose();
  }
}

async function runInWorld(options: ISoakOptions, world: SoakWorld): Promise<ISoakResult> {
  const stopped = new AbortController();
  const ownDelay = monitorEventLoopDelay();
  ownDelay.enable();
  const ready = new Set<SoakNode>(world.nodes);
  const probes: IVersionProbe[] = [];
  const background = [
    runEvery(READY_POLL_MS, stopped.signal, () => {
      pollReady(world, ready);
    }),
    runEvery(PROBE_INTERVAL_MS, stopped.signal, () => {
      probeNodes(world, ready, probes);
    }),
    ...makeCallers(options, world, ready).map((caller) => caller.run(stopped.signal)),
  ];
  const runner = new FaultRunner((step: IFaultStep<SoakFaultKind>) => startSoakFault(step, world));
  runner.start(options.schedule);
  await sleep(options.seconds * MS_PER_S);
  await runner.finish();
  const clearedMs = performance.now();
  await world.clearFaults();
  console.log(
    `all nodes are ready ${Math.round(performance.now() - clearedMs)} ms after the faults`,
  );
  await sleep(RECOVERY_MS);
  const recoveredMs = performance.now();
  await sleep(WATCH_MS);
  stopped.abort();
  await Promise.all(background);
  await sleep(REST_MS);
  checkRecovery(world, recoveredMs);
  const { crashes, disturbances, drains, ledger, pathLosses, plannedStops, versions } = world;
  const evidence = {
    crashes,
    disturbances,
    drains,
    ledger,
    pathLosses,
    plannedStops,
    probes,
    versions,
  };
  checkSafety(evidence, world.findings);
  if (options.isCheckingBounds) {
    checkBounds(evidence, world.findings);
    checkNotices(evidence, world.findings);
  }
  printFaults(runner.getCounts(), runner.getErrors());
  printOwnDelay(ownDelay);
  return summarizeRun(options, world);
}

function summarizeRun(options: ISoakOptions, world: SoakWorld): ISoakResult {
  const records = world.ledger.listRequestRecords();
  const statuses = new Map<string, number>();
  for (const { reply, request } of records) {
    const outcome = reply?.hasDisconnected === true ? 'left' : String(reply?.status ?? 'no answer');
    const key = `${request.kind} ${outcome}`;
    statuses.set(key, (statuses.get(key) ?? 0) + 1);
  }
  console.log('\nrequests');
  for (const [key, count] of [...statuses].sort()) console.log(`  ${key.padEnd(20)} ${count}`);
  printChecks(world.findings.list());
  if (world.findings.hasViolations()) {
    options.storeLogs?.(new Map(world.nodes.map((node) => [node.name, node.getLogLines()])));
  }
  const served = records.filter(({ reply }) => reply?.status === 200).length;
  return { findings: world.findings, requests: records.length, served };
}

/** Prints how late this process was itself: store, targets and callers of the run are in it. */
function printOwnDelay(delay: IntervalHistogram): void {
  const toMs = (ns: number) => Math.round(ns / NS_PER_MS);
  const high = toMs(delay.percentile(99));
  console.log(
    `\ndelay of the soak itself: 99 in 100 up to ${high} ms, at most ${toMs(delay.max)} ms`,
  );
  delay.disable();
}

function makeCallers(
  options: ISoakOptions,
  world: SoakWorld,
  ready: ReadonlySet<SoakNode>,
): readonly SoakCaller[] {
  const count = (options.callersPerNode ?? CALLERS_PER_NODE) * options.nodeCount;
  return Array.from({ length: count }, (_, index) => {
    const random = new SeededRandom(options.seed * CALLER_SEED_FACTOR + index);
    return new SoakCaller({
      name: `c${index}`,
      random,
      ledger: world.ledger,
      pauseMs: PAUSE_MS,
      pickNode: () => [...ready][Math.floor(random.getFloat() * ready.size)],
    });
  });
}

/** Polls nodes independently, so that a paused one does not delay the state of the others. */
function pollReady(world: SoakWorld, ready: Set<SoakNode>): void {
  for (const node of world.nodes) {
    void node.isReady().then((isReady) => {
      if (isReady) ready.add(node);
      else ready.delete(node);
    });
  }
}

/** Probes every node for the newest version, for the one before it, and for one of the changing routes. */
function probeNodes(world: SoakWorld, ready: ReadonlySet<SoakNode>, probes: IVersionProbe[]): void {
  const newest = world.versions.slice(-2).map(({ version }) => version);
  const roundMs = performance.now();
  const due = findDueVersion(world, roundMs);
  const prefix =
    CHANGING_PREFIXES[Math.floor(roundMs / PROBE_INTERVAL_MS) % CHANGING_PREFIXES.length];
  for (const node of ready) {
    const suffix = `${node.name}-${Math.round(roundMs * 10)}`;
    void probeChangingRoute(node, `${prefix ?? ''}${suffix}`, `changing-${suffix}`, world.ledger);
    if (due !== undefined) {
      const path = `${formatAddedPrefix(due)}${suffix}`;
      void probeChangingRoute(node, path, `added-${suffix}`, world.ledger);
    }
    for (const version of newest) {
      const { incarnation } = node;
      const sentMs = performance.now();
      const id = `probe-${version}-${suffix}`;
      void probeVersion(node, version, id, world.ledger).then((isFound) => {
        if (isFound === undefined) return;
        probes.push({ node: node.name, incarnation, version, sentMs, isFound });
      });
    }
  }
}

/** The newest version that has to be in force. */
function findDueVersion({ versions }: SoakWorld, nowMs: number): number | undefined {
  const dueMs = nowMs - SOAK_BOUNDS.config_apply_s * MS_PER_S;
  return versions.findLast(({ acceptedMs }) => acceptedMs <= dueMs)?.version;
}

function checkRecovery(world: SoakWorld, sinceMs: number): void {
  const late = world.ledger.listRequestRecords().filter(({ reply, request }) => {
    const isCounted = request.kind === 'booking' || request.kind === 'list';
    return isCounted && request.sentMs >= sinceMs && reply?.hasDisconnected !== true;
  });
  const served = late.filter(({ reply }) => reply?.status === 200).length;
  const isServed = late.length > 0 && served >= late.length * MIN_RECOVERED_SHARE;
  world.findings.check('all is served again after the faults', isServed, () => {
    return `${served} of ${late.length} requests`;
  });
}

async function runEvery(pauseMs: number, signal: AbortSignal, act: () => void): Promise<void> {
  while (!signal.aborted) {
    act();
    await sleep(pauseMs);
  }
}

function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}
