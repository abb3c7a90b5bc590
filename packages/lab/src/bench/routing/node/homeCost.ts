/** Cost of a home on the system clock, and the effect of one member's flood on another's latency. */
import { setTimeout as delay } from 'node:timers/promises';
import { InvariantRegistry, SeededRandom, SystemClock } from '@parsleymux/base';
import type { ITargetResponse } from '@parsleymux/routing';
import {
  LocalHomeService,
  PassThroughGuard,
  TableEjectionLedger,
  TargetTransport,
} from '@parsleymux/routing';
import * as hdr from 'hdr-histogram-js';
import { SimulatedTable } from '../../../replay/common/simulatedTable.js';
import { buildConfigService, buildRoutes } from '../../../replay/common/traceConfig.js';
import type { IMemberProfile } from '../../../trace/common/members.js';
import { computeMeanWork, countSlots, DOBRESCU, DONAUTAL } from '../../../trace/common/members.js';
import type { ITraceHeader } from '../../../trace/common/trace.js';
import { buildFrom } from '../../../trace/common/traceGenerator.js';
import type { IBenchTable } from '../../common/bench.js';
import { formatNumber } from '../../common/bench.js';

const COST_REQUESTS = 20_000;
const CONCURRENCY = 48;
const PHASE_MS = 6000;
const TICK_MS = 10;
const MICROSECONDS = 1000;
const FLOOD_LOAD = 3;

/** Responds after the target's mean work time, or immediately. */
class TimerTransport extends TargetTransport {
  constructor(private readonly workMs: number) {
    super();
  }

  override async send(): Promise<ITargetResponse> {
    if (this.workMs > 0) await delay(this.workMs);
    const body = new Uint8Array();
    const latencyMs = this.workMs;
    return { status: 200, headers: [], body, notRun: false, draining: false, latencyMs };
  }

  override retireConnections(): void {
    return;
  }

  override hasIdleConnection(): boolean {
    return false;
  }

  override getConnectionCount(): number {
    return 0;
  }
}

/** Runs both measurements and returns their table. */
export async function measureHomeCost(): Promise<IBenchTable> {
  const microseconds = await measureProcessorTime();
  const alone = await measureQuietMember(false);
  const beside = await measureQuietMember(true);
  const change = (100 * (beside - alone)) / alone;
  return {
    title: 'A home on a real clock',
    columns: ['figure', 'value'],
    rows: [
      ['processor time of one request in its home, µs', formatNumber(microseconds)],
      ['requests a second at half a core', Math.round(500_000 / microseconds)],
      ['p99 of the quiet member alone, ms', formatNumber(alone)],
      ['p99 while the other floods at 3x, ms', formatNumber(beside)],
      ['change, %', formatNumber(change, 2)],
    ],
  };
}

async function measureProcessorTime(): Promise<number> {
  const home = createHome(DOBRESCU, 0);
  const send = createSender(home, DOBRESCU);
  await runConcurrently(send, COST_REQUESTS / 4);
  const before = process.cpuUsage();
  await runConcurrently(send, COST_REQUESTS);
  const { user, system } = process.cpuUsage(before);
  await home.dispose();
  return (user + system) / COST_REQUESTS;
}

async function runConcurrently(send: () => Promise<unknown>, requests: number): Promise<void> {
  let remaining = requests;
  const runOne = async () => {
    while (remaining > 0) {
      remaining -= 1;
      await send();
    }
  };
  await Promise.all(Array.from({ length: CONCURRENCY }, runOne));
}

/** Measures the p99 of a member at normal load, sharing the process with one that may flood. */
async function measureQuietMember(isFlooded: boolean): Promise<number> {
  const quiet = createHome(DOBRESCU, computeMeanWork(DOBRESCU));
  const flooded = createHome(DONAUTAL, computeMeanWork(DONAUTAL));
  const latencies = hdr.build({ highestTrackableValue: 120_000_000 });
  const sendQuiet = createSender(quiet, DOBRESCU);
  const sendFlood = createSender(flooded, DONAUTAL);
  const quietRate = (DOBRESCU.load * countSlots(DOBRESCU)) / computeMeanWork(DOBRESCU);
  const floodLoad = isFlooded ? FLOOD_LOAD : DONAUTAL.load;
  const floodRate = (floodLoad * countSlots(DONAUTAL)) / computeMeanWork(DONAUTAL);
  const running = new Set<Promise<void>>();
  const start = (send: () => Promise<unknown>, isMeasured: boolean) => {
    const startMs = performance.now();
    const task = send()
      .then(() => {
        const latencyMs = performance.now() - startMs;
        if (isMeasured) latencies.recordValue(Math.round(latencyMs * MICROSECONDS));
      })
      .catch(() => undefined)
      .finally(() => running.delete(task));
    running.add(task);
  };
  let dueQuiet = 0;
  let dueFlood = 0;
  for (let elapsedMs = 0; elapsedMs < PHASE_MS; elapsedMs += TICK_MS) {
    dueQuiet += quietRate * TICK_MS;
    dueFlood += floodRate * TICK_MS;
    for (; dueFlood >= 1; dueFlood -= 1) start(sendFlood, false);
    for (; dueQuiet >= 1; dueQuiet -= 1) start(sendQuiet, true);
    await delay(TICK_MS);
  }
  await Promise.all(running);
  await Promise.all([quiet.dispose(), flooded.dispose()]);
  return latencies.getValueAtPercentile(99) / MICROSECONDS;
}

function createSender(home: LocalHomeService, profile: IMemberProfile): () => Promise<unknown> {
  const route = buildRoutes(buildHeader(profile)).read;
  let number = 0;
  return () => {
    number += 1;
    return home.handle(
      {
        member: profile.member,
        route,
        method: 'GET',
        path: '/read',
        headers: [],
        body: new Uint8Array(),
        deadlineMs: performance.now() + profile.readDeadlineMs,
        caller: `caller-${number % profile.callers}`,
        idempotencyKey: undefined,
      },
      new AbortController().signal,
    );
  };
}

function createHome(profile: IMemberProfile, workMs: number): LocalHomeService {
  const clock = new SystemClock();
  const invariants = new InvariantRegistry();
  return new LocalHomeService({
    configService: buildConfigService(buildHeader(profile)),
    clock,
    random: new SeededRandom(1),
    transport: new TimerTransport(workMs),
    guard: new PassThroughGuard(),
    ledger: new TableEjectionLedger({
      table: new SimulatedTable(clock),
      clock,
      invariants,
      node: 'node',
    }),
    invariants,
  });
}

function buildHeader(profile: IMemberProfile): ITraceHeader {
  return buildFrom(profile, { name: 'none', durationMs: 0, faults: [] }, 1).header;
}
