/** Trade-off of the group commit interval between latency and store writes, and record sizes. */
import { InvariantRegistry, SeededRandom, SystemClock } from '@parsleymux/base';
import { openHttpPlatform } from '@parsleymux/store';
import type { PlatformProcess } from '../../../processes/node/platformProcess.js';
import { startPlatform } from '../../../processes/node/platformProcess.js';
import { ProcessFleet } from '../../../processes/node/processFleet.js';
import type { Cell, IBenchOptions, IBenchReport, IBenchTable } from '../../common/bench.js';
import { Bench, formatNumber, parseNumbers } from '../../common/bench.js';
import type { IClaimBenchServices, IClaimCase, IClaimResults } from '../common/measureClaims.js';
import { measureClaims } from '../common/measureClaims.js';

const GROUPS_MS: readonly number[] = [0, 1, 2, 5, 10, 20];
const RATES: readonly number[] = [2, 20, 200, 800];
const RESPONSE_BYTES: readonly number[] = [0, 256, 4096, 16_384];
const STORE_DELAY_MS = 3;
const DURATION_MS = 2500;
const DEFAULT_RESPONSE_BYTES = 256;
const DEFAULT_GROUP_MS = 2;
const DEFAULT_IN_FLIGHT = 4;
const IN_FLIGHT: readonly number[] = [1, 2, 4];
const BUSY_RATE = 800;
const US = 1000;
const RESULT_COLUMNS: readonly string[] = [
  'claim p50 ms',
  'claim p99 ms',
  'record p50 ms',
  'record p99 ms',
  'transactions/booking',
  'transactions/s',
  'rows/transaction',
  'CPU µs/booking',
  'refused',
];
const BYTES_RATE = 100;

interface IBenchRun {
  readonly options: IBenchOptions;
  readonly services: IClaimBenchServices;
  readonly store: PlatformProcess;
  readonly durationMs: number;
}

class ClaimsBench extends Bench {
  override readonly summary = 'claims: group interval against latency and store writes';

  override async run(options: IBenchOptions): Promise<IBenchReport> {
    const fleet = new ProcessFleet();
    const delayMs = parseNumbers(options, 'storeMs', [STORE_DELAY_MS])[0] ?? STORE_DELAY_MS;
    const durationMs = parseNumbers(options, 'durationMs', [DURATION_MS])[0] ?? DURATION_MS;
    const store = await startPlatform(fleet, { delayMs });
    const platform = openHttpPlatform({ url: `http://${store.address}` });
    const clock = new SystemClock();
    const random = new SeededRandom(options.seed);
    const services = { platform, clock, random, invariants: new InvariantRegistry() };
    try {
      const run = { options, services, store, durationMs };
      await measureClaims(makeCase(run, { perSecond: BYTES_RATE }), services);
      const tables = [
        await measureIntervals(run),
        await measureInFlight(run),
        await measureSizes(run),
      ];
      return { tables, notes: formatNotes(delayMs, durationMs) };
    } finally {
      await platform.dispose();
      await fleet.dispose();
    }
  }
}

let cases = 0;

/** Creates a case from the defaults and `change`, under a member name used by no other case. */
function makeCase(run: IBenchRun, change: Partial<IClaimCase>): IClaimCase {
  cases += 1;
  return {
    member: `case-${cases}`,
    groupMs: DEFAULT_GROUP_MS,
    maxInFlight: DEFAULT_IN_FLIGHT,
    perSecond: BYTES_RATE,
    durationMs: run.durationMs,
    answerBytes: DEFAULT_RESPONSE_BYTES,
    ...change,
  };
}

async function measureIntervals(run: IBenchRun): Promise<IBenchTable> {
  const rows: (readonly Cell[])[] = [];
  for (const perSecond of parseNumbers(run.options, 'rates', RATES)) {
    for (const groupMs of parseNumbers(run.options, 'groups', GROUPS_MS)) {
      rows.push([perSecond, groupMs, ...(await measureCase(run, { perSecond, groupMs }))]);
    }
  }
  const columns = ['bookings/s', 'interval ms', ...RESULT_COLUMNS];
  return { title: 'one node, fresh keys, at most 4 transactions in flight', columns, rows };
}

async function measureInFlight(run: IBenchRun): Promise<IBenchTable> {
  const rows: (readonly Cell[])[] = [];
  for (const maxInFlight of parseNumbers(run.options, 'inFlight', IN_FLIGHT)) {
    for (const groupMs of [0, DEFAULT_GROUP_MS]) {
      const change = { perSecond: BUSY_RATE, groupMs, maxInFlight };
      rows.push([maxInFlight, groupMs, ...(await measureCase(run, change))]);
    }
  }
  const columns = ['most in flight', 'interval ms', ...RESULT_COLUMNS];
  return { title: `one node, fresh keys, ${BUSY_RATE} bookings/s`, columns, rows };
}

async function measureCase(run: IBenchRun, change: Partial<IClaimCase>): Promise<readonly Cell[]> {
  const setting = makeCase(run, change);
  run.options.log(`claims: ${JSON.stringify(change)}`);
  return formatResults(await measureClaims(setting, run.services), setting.durationMs);
}

function formatResults(results: IClaimResults, durationMs: number): readonly Cell[] {
  const { bookings, claimUs, recordUs, transactions, rows, cpuUs, refused } = results;
  return [
    formatNumber(claimUs.getValueAtPercentile(50) / US),
    formatNumber(claimUs.getValueAtPercentile(99) / US),
    formatNumber(recordUs.getValueAtPercentile(50) / US),
    formatNumber(recordUs.getValueAtPercentile(99) / US),
    formatNumber(transactions / bookings),
    formatNumber(transactions / (durationMs / 1000)),
    formatNumber(rows / transactions),
    formatNumber(cpuUs / bookings),
    refused,
  ];
}

/** Measures the bytes that the store receives for one booking and the largest row it stores. */
async function measureSizes(run: IBenchRun): Promise<IBenchTable> {
  const rows: (readonly Cell[])[] = [];
  for (const responseBytes of RESPONSE_BYTES) {
    const { services, store } = run;
    const before = await store.fetchCounters();
    const setting = makeCase(run, { answerBytes: responseBytes });
    const { bookings } = await measureClaims(setting, services);
    const after = await store.fetchCounters();
    const storedRowBytes = await measureLargestRow(run, setting.member);
    const received = (after.bytesReceived - before.bytesReceived) / bookings;
    const writes = (after.writes - before.writes) / bookings;
    const rowsWritten = (after.rowsWritten - before.rowsWritten) / bookings;
    rows.push([
      responseBytes,
      formatNumber(received),
      storedRowBytes,
      formatNumber(rowsWritten),
      formatNumber(writes),
    ]);
  }
  return {
    title: `cost of one booking to the store, at ${BYTES_RATE} bookings/s and a 2 ms interval`,
    columns: [
      'answer bytes',
      'bytes sent',
      'largest row bytes kept',
      'rows written',
      'store writes',
    ],
    rows,
  };
}

async function measureLargestRow(run: IBenchRun, member: string): Promise<number> {
  const rows = await run.services.platform.table.scan({ prefix: `claim/${member}/` });
  return Math.max(...rows.map(({ key, value }) => key.length + value.length));
}

function formatNotes(delayMs: number, durationMs: number): readonly string[] {
  return [
    `The store runs in a separate process and responds after ${delayMs} ms; each case runs for ${durationMs} ms.`,
    'Claim: from arrival to dispatch. Record: from the target’s response to the response to the caller.',
    'Processor time covers the claim guard and the simulated callers, not the store.',
    'The machine is shared; latencies beyond the store’s delay are upper bounds.',
  ];
}

export const bench = new ClaimsBench();
