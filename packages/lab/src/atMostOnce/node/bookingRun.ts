/** Sends bookings while nodes are killed and paused, and compares them with the targets' executions. */
import { setTimeout as sleep } from 'node:timers/promises';
import { DisposableStore, ResultCode, SeededRandom } from '@parsleymux/base';
import type { IRequestRecord } from '../../load/common/requestRecord.js';
import { AttemptOutcome, getFinalAttempt } from '../../load/common/requestRecord.js';
import type { IFinding } from '../../load/common/outcomeComparison.js';
import { compareOutcomes } from '../../load/common/outcomeComparison.js';
import { Caller } from '../../load/node/caller.js';
import { LoadGenerator } from '../../load/node/loadGenerator.js';
import { makeWorkloads } from '../../processes/common/worldLayout.js';
import { LabWorld } from '../../processes/node/labWorld.js';
import { ReadyBalancer } from '../../processes/node/readyBalancer.js';
import type { IDisturbances } from './disturber.js';
import { Disturber } from './disturber.js';

/** Pause before the load starts and before the final requests, in ms. */
const REST_MS = 1500;
/** Number of answered bookings that are sent again at the end. */
const MAX_REPLAYS = 100;
/** Number of unknown outcomes that are settled by command. */
const MAX_SETTLED = 10;
const CODE_NAMES = new Map<number, string>(
  Object.entries(ResultCode).map(([name, code]) => [code, name]),
);

/** Options of {@link runBookings}. */
export interface IBookingRunOptions {
  readonly seed: number;
  readonly seconds: number;
  /** Default 4. */
  readonly nodeCount?: number;
  /** Factor on the layout's rate of 24 bookings per second. Default 3. */
  readonly loadFactor?: number;
  /** Whether the store ignores the conditions of transactions; the run must then find double executions. */
  readonly ignoreConditions?: boolean;
}

/** Result of a run. Every entry of `findings` is a violated guarantee. */
export interface IBookingReport {
  readonly bookings: number;
  readonly executions: number;
  readonly notRunChecked: number;
  readonly disturbances: IDisturbances;
  /** Number of bookings by the outcome of the last attempt. */
  readonly outcomes: ReadonlyMap<string, number>;
  /** Answered bookings that were sent again, by outcome. */
  readonly replays: ReadonlyMap<string, number>;
  /** Unanswered bookings that were sent again, by outcome. */
  readonly unansweredRetries: ReadonlyMap<string, number>;
  /** Bookings of unknown outcome that an operator settled according to the targets' executions. */
  readonly settled: ReadonlyMap<string, number>;
  readonly findings: readonly IFinding[];
}

/**
 * Makes a run and compares the bookings with the targets' executions.
 *
 * @example
 * const report = await runBookings({ seed: 1, seconds: 20 });
 * if (report.findings.length > 0) process.exitCode = 1;
 */
export async function runBookings(options: IBookingRunOptions): Promise<IBookingReport> {
  const store = new DisposableStore();
  try {
    return await runInWorld(options, store);
  } finally {
    await store.dispose();
  }
}

async function runInWorld(
  options: IBookingRunOptions,
  store: DisposableStore,
): Promise<IBookingReport> {
  const { seed, seconds } = options;
  const world = store.add(new LabWorld({ seed, nodeCount: options.nodeCount ?? 4 }));
  await world.start();
  await world.applyIntents();
  const balancer = store.add(new ReadyBalancer(() => world.getNodes()));
  const workloads = makeWorkloads(options.loadFactor ?? 3).filter(({ idempotent }) => !idempotent);
  await sleep(REST_MS);
  await world.platform.setFaults({ ignoreConditions: options.ignoreConditions ?? false });
  const load = store.add(new LoadGenerator({ workloads, balancer, seed }));
  const disturber = new Disturber(world, new SeededRandom(seed));
  load.start();
  disturber.start();
  await sleep(seconds * 1000);
  await disturber.stop();
  await load.stop();
  await Promise.all(world.getNodes().map((node) => node.waitUntilReady()));
  await sleep(REST_MS);
  const context: IFinalCheckContext = { world, caller: store.add(new Caller()), balancer };
  return { ...(await makeReport(load.getRecords(), context)), disturbances: disturber.getCounts() };
}

/** Sends bookings again, settles those that remain unknown, and compares all with the executions. */
async function makeReport(
  records: readonly IRequestRecord[],
  context: IFinalCheckContext,
): Promise<Omit<IBookingReport, 'disturbances'>> {
  const answered = records.filter(isAnswered).slice(0, MAX_REPLAYS);
  const replays = await sendAgain(answered, context);
  const unanswered = records.filter((record) => !isAnswered(record));
  const unansweredRetries = await sendAgain(unanswered, context);
  const settled = await settleUnknown(unansweredRetries, context);
  const all = [...records, ...replays, ...unansweredRetries];
  const verdict = compareOutcomes(joinAttempts(all), await context.world.fetchExecutions());
  return {
    bookings: records.length,
    executions: verdict.executions,
    notRunChecked: verdict.notRunChecked,
    outcomes: countOutcomes(records),
    replays: countOutcomes(replays),
    unansweredRetries: countOutcomes(unansweredRetries),
    settled,
    findings: verdict.findings,
  };
}

/** What the final requests need, once the disturbances are over. */
interface IFinalCheckContext {
  readonly world: LabWorld;
  readonly caller: Caller;
  readonly balancer: ReadyBalancer;
}

/**
 * Settles unknown outcomes by command, according to the targets' executions, and sends the requests again.
 * Settling a claim as "not run" this early must be rejected, since its owner may be paused.
 */
async function settleUnknown(
  unansweredRetries: readonly IRequestRecord[],
  context: IFinalCheckContext,
): Promise<ReadonlyMap<string, number>> {
  const { world, caller, balancer } = context;
  const executed = new Set((await world.fetchExecutions()).map(({ key }) => key));
  const unknown = unansweredRetries.filter(({ attempts }) => {
    return attempts[0]?.code === ResultCode.OutcomeUnknown;
  });
  const counts = new Map<string, number>();
  for (const { request } of unknown.slice(0, MAX_SETTLED)) {
    const outcome = executed.has(request.key) ? 'ran' : 'not-run';
    const operator = world.getOperator(request.workload.member);
    const args = ['claim', 'settle', request.key, '--outcome', outcome, '--note', 'looked it up'];
    const { exitCode } = await operator.run(args);
    const node = balancer.pick();
    const after = node === undefined ? undefined : await caller.send(node, request);
    const name = `${outcome}, exit code ${exitCode ?? -1}, then ${formatCode(after?.code ?? -1)}`;
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  return counts;
}

async function sendAgain(
  records: readonly IRequestRecord[],
  { caller, balancer }: IFinalCheckContext,
): Promise<readonly IRequestRecord[]> {
  const again: IRequestRecord[] = [];
  for (const { request } of records) {
    const node = balancer.pick();
    if (node !== undefined) again.push({ request, attempts: [await caller.send(node, request)] });
  }
  return again;
}

/** Merges the records of each request into one, with all attempts in order. */
function joinAttempts(records: readonly IRequestRecord[]): readonly IRequestRecord[] {
  const joined = new Map<string, IRequestRecord>();
  for (const record of records) {
    const previous = joined.get(record.request.requestId);
    const attempts = [...(previous?.attempts ?? []), ...record.attempts];
    joined.set(record.request.requestId, { request: record.request, attempts });
  }
  return [...joined.values()];
}

function isAnswered(record: IRequestRecord): boolean {
  return getFinalAttempt(record.attempts)?.outcome === AttemptOutcome.Answered;
}

function countOutcomes(records: readonly IRequestRecord[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const record of records) {
    const last = getFinalAttempt(record.attempts);
    const code = last === undefined || last.code <= 0 ? '' : formatCode(last.code);
    const name = [last?.outcome ?? 'no node', code, last?.runState ?? ''].join(' ').trim();
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  return counts;
}

function formatCode(code: number): string {
  return `${code} ${CODE_NAMES.get(code) ?? ''}`;
}
