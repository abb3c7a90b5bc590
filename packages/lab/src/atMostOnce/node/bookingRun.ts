/** Bookings over real processes that die and stand still, compared with what the targets executed. */
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

const REST_MS = 1500;
/** Bookings that were answered and are asked for once more at the end. */
const REPLAYS = 100;
const MOST_SETTLED = 10;
const CODE_NAMES = new Map<number, string>(
  Object.entries(ResultCode).map(([name, code]) => [code, name]),
);

/** Options of {@link runBookings}. */
export interface IBookingRunOptions {
  readonly seed: number;
  readonly seconds: number;
  /** Default 4. */
  readonly nodeCount?: number;
  /** Bookings a second, as a multiple of the layout's 24. Default 3. */
  readonly loadFactor?: number;
  /** The store ignores the conditions of transactions: the run must find double executions. */
  readonly ignoreConditions?: boolean;
}

/** What a run came to. Anything in `findings` is a broken promise. */
export interface IBookingReport {
  readonly bookings: number;
  readonly executions: number;
  readonly notRunChecked: number;
  readonly disturbances: IDisturbances;
  /** Last attempts by outcome. */
  readonly outcomes: ReadonlyMap<string, number>;
  /** Answered bookings that were asked for once more, by outcome. */
  readonly replays: ReadonlyMap<string, number>;
  /** Bookings without an answer that were asked for once more, by outcome. */
  readonly lateAsks: ReadonlyMap<string, number>;
  /** Bookings of unknown outcome that an operator settled by what the targets had executed. */
  readonly settled: ReadonlyMap<string, number>;
  readonly findings: readonly IFinding[];
}

/**
 * Runs and compares.
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
  const look: IFinalLook = { world, caller: store.add(new Caller()), balancer };
  return { ...(await makeReport(load.getRecords(), look)), disturbances: disturber.getCounts() };
}

/** Asks for every booking once more, settles what stays unknown, and compares. */
async function makeReport(
  records: readonly IRequestRecord[],
  look: IFinalLook,
): Promise<Omit<IBookingReport, 'disturbances'>> {
  const answered = records.filter(isAnswered).slice(0, REPLAYS);
  const replays = await sendAgain(answered, look);
  const unanswered = records.filter((record) => !isAnswered(record));
  const lateAsks = await sendAgain(unanswered, look);
  const settled = await settleUnknown(lateAsks, look);
  const all = [...records, ...replays, ...lateAsks];
  const verdict = compareOutcomes(joinAttempts(all), await look.world.fetchExecutions());
  return {
    bookings: records.length,
    executions: verdict.executions,
    notRunChecked: verdict.notRunChecked,
    outcomes: countOutcomes(records),
    replays: countOutcomes(replays),
    lateAsks: countOutcomes(lateAsks),
    settled,
    findings: verdict.findings,
  };
}

/** What it takes to ask again once the disturbances are over. */
interface IFinalLook {
  readonly world: LabWorld;
  readonly caller: Caller;
  readonly balancer: ReadyBalancer;
}

/**
 * Settles unknown outcomes by command, as the truth is, and asks once more. "Not run" of a claim
 * this young must be refused, for its claimer may be paused.
 */
async function settleUnknown(
  lateAsks: readonly IRequestRecord[],
  look: IFinalLook,
): Promise<ReadonlyMap<string, number>> {
  const { world, caller, balancer } = look;
  const executed = new Set((await world.fetchExecutions()).map(({ key }) => key));
  const unknown = lateAsks.filter(({ attempts }) => {
    return attempts[0]?.code === ResultCode.OutcomeUnknown;
  });
  const counts = new Map<string, number>();
  for (const { request } of unknown.slice(0, MOST_SETTLED)) {
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
  { caller, balancer }: IFinalLook,
): Promise<readonly IRequestRecord[]> {
  const again: IRequestRecord[] = [];
  for (const { request } of records) {
    const node = balancer.pick();
    if (node !== undefined) again.push({ request, attempts: [await caller.send(node, request)] });
  }
  return again;
}

/** One record for each request, with the attempts of all its records in order. */
function joinAttempts(records: readonly IRequestRecord[]): readonly IRequestRecord[] {
  const joined = new Map<string, IRequestRecord>();
  for (const record of records) {
    const known = joined.get(record.request.requestId);
    const attempts = [...(known?.attempts ?? []), ...record.attempts];
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
