/** Cost that the proxy adds to a request, compared with requests sent directly to the targets. */
import type { IDisposable } from '@parsleymux/base';
import { DisposableStore } from '@parsleymux/base';
import type { NodeProcess } from '../../../processes/node/nodeProcess.js';
import type { Cell, IBenchOptions, IBenchReport, IBenchTable } from '../../common/bench.js';
import { Bench, formatNumber, parseNumbers } from '../../common/bench.js';
import type { HopWorld } from './hopWorld.js';
import { BOOKING_HOST, READ_HOST, startHopWorld } from './hopWorld.js';
import type { IStreamResults, IStreamOptions } from './requestStream.js';
import { runStream } from './requestStream.js';

const RATES: readonly number[] = [100, 286, 1000, 2000];
const DEFAULT_SECONDS = 6;
const WARM_UP_MS = 3000;
const DEFAULT_SERVICE_MS = 2;
const CPU_PATTERN = /^process_cpu_seconds_total\s+([0-9.e+-]+)/m;
const MEMORY_PATTERN = /^process_resident_memory_bytes\s+([0-9.e+-]+)/m;
const BYTES_PER_MB = 1_000_000;

interface IPath {
  readonly name: string;
  readonly addresses: readonly string[];
  readonly isBooking: boolean;
}

class HopBench extends Bench {
  override readonly summary = 'latency and processor time that the proxy adds to a request';

  override async run(options: IBenchOptions): Promise<IBenchReport> {
    const store = new DisposableStore();
    try {
      const meanServiceMs =
        parseNumbers(options, 'serviceMs', [DEFAULT_SERVICE_MS])[0] ?? DEFAULT_SERVICE_MS;
      const nodeOptions = options.values.get('nodeOptions')?.split(' ') ?? [];
      const world = await startHopWorld({ seed: options.seed, meanServiceMs, nodeOptions });
      store.add(toDisposable(world));
      const tables = await measureRates(world, options);
      return { tables, notes: listNotes(meanServiceMs) };
    } finally {
      await store.dispose();
    }
  }
}

function toDisposable(world: HopWorld): IDisposable {
  return { dispose: () => world.dispose() };
}

function listNotes(meanServiceMs: number): readonly string[] {
  return [
    `One service of 24 targets with 16 slots; log-normal service time with a mean of ${meanServiceMs} ms and sigma 0.5.`,
    'Each rate runs its paths one after another in the same run; added latency is relative to the straight path.',
    'Latency is from sending to the last byte, measured by a caller on the same machine.',
    'Processor time is that of the whole process, including control traffic and garbage collection.',
    'A booking is claimed in the table before it is dispatched, and its outcome is recorded afterwards.',
  ];
}

async function measureRates(
  world: HopWorld,
  options: IBenchOptions,
): Promise<readonly IBenchTable[]> {
  const seconds = parseNumbers(options, 'seconds', [DEFAULT_SECONDS])[0] ?? DEFAULT_SECONDS;
  const tables: IBenchTable[] = [];
  const selectedPaths = options.values.get('paths')?.split(',');
  const paths = listPaths(world).filter(({ name }) => selectedPaths?.includes(name) ?? true);
  for (const path of paths) {
    await runStream(makeStream(path, 200, WARM_UP_MS, options.seed));
  }
  for (const perSecond of parseNumbers(options, 'rates', RATES)) {
    options.log(`hop: ${perSecond} requests/s`);
    tables.push(await measureRate(world, paths, perSecond, seconds * 1000, options.seed));
  }
  return tables;
}

function listPaths(world: HopWorld): readonly IPath[] {
  const home = world.home.addresses.caller;
  const other = world.other.addresses.caller;
  const targets = world.targets.map(({ address }) => address);
  return [
    { name: 'straight', addresses: targets, isBooking: false },
    { name: 'entry is home', addresses: [home], isBooking: false },
    { name: 'entry to home', addresses: [other], isBooking: false },
    { name: 'booking, entry to home', addresses: [other], isBooking: true },
  ];
}

function makeStream(
  path: IPath,
  perSecond: number,
  durationMs: number,
  seed: number,
): IStreamOptions {
  const host = path.isBooking ? BOOKING_HOST : READ_HOST;
  const { addresses, isBooking } = path;
  return { addresses, host, isBooking, perSecond, durationMs, seed };
}

async function measureRate(
  world: HopWorld,
  paths: readonly IPath[],
  perSecond: number,
  durationMs: number,
  seed: number,
): Promise<IBenchTable> {
  const rows: (readonly Cell[])[] = [];
  let straight: IStreamResults | undefined;
  for (const path of paths) {
    const before = await readUsage(world);
    const results = await runStream(makeStream(path, perSecond, durationMs, seed));
    const after = await readUsage(world);
    straight ??= results;
    rows.push(formatRow(path.name, results, straight, before, after));
  }
  return {
    title: `${perSecond} requests/s`,
    columns: [
      'path',
      'answered',
      'failed',
      'p50 ms',
      'p99 ms',
      'added p50 ms',
      'added p99 ms',
      'other node CPU ms/request',
      'home CPU ms/request',
      'home RSS MB',
    ],
    rows,
  };
}

interface IUsage {
  readonly homeCpuMs: number;
  readonly otherCpuMs: number;
  readonly homeMemoryBytes: number;
}

async function readUsage(world: HopWorld): Promise<IUsage> {
  const home = await readMetrics(world.home);
  const other = await readMetrics(world.other);
  return {
    homeCpuMs: parseMetric(home, CPU_PATTERN) * 1000,
    otherCpuMs: parseMetric(other, CPU_PATTERN) * 1000,
    homeMemoryBytes: parseMetric(home, MEMORY_PATTERN),
  };
}

async function readMetrics(node: NodeProcess): Promise<string> {
  return (await node.fetchMetrics()) ?? '';
}

function parseMetric(page: string, pattern: RegExp): number {
  return Number(pattern.exec(page)?.[1] ?? NaN);
}

function formatRow(
  name: string,
  results: IStreamResults,
  straight: IStreamResults,
  before: IUsage,
  after: IUsage,
): readonly Cell[] {
  const requests = Math.max(1, results.completed + results.failed);
  return [
    name,
    results.completed,
    results.failed,
    formatNumber(results.p50Ms),
    formatNumber(results.p99Ms),
    formatNumber(results.p50Ms - straight.p50Ms),
    formatNumber(results.p99Ms - straight.p99Ms),
    formatNumber((after.otherCpuMs - before.otherCpuMs) / requests),
    formatNumber((after.homeCpuMs - before.homeCpuMs) / requests),
    formatNumber(after.homeMemoryBytes / BYTES_PER_MB),
  ];
}

/** Run by `npm run bench -- hop`. */
export const bench: Bench = new HopBench();
