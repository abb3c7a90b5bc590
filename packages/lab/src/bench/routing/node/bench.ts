/**
 * Homes compared with direct routing on the same traces: `npm run bench -- routing --json`. Values:
 * seeds, out (output directory for the page).
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import type { IMemberProfile } from '../../../trace/common/members.js';
import { DOBRESCU, DONAUTAL } from '../../../trace/common/members.js';
import type { ITrace } from '../../../trace/common/trace.js';
import { buildFrom, buildTrace } from '../../../trace/common/traceGenerator.js';
import type { Cell, IBenchOptions, IBenchReport, IBenchTable } from '../../common/bench.js';
import { Bench, formatNumber, parseNumbers } from '../../common/bench.js';
import { formatReport } from '../../common/formatReport.js';
import { ROUTING_MODES } from '../common/routingMode.js';
import { runRouting } from '../common/routingRun.js';
import { measureHomeCost } from './homeCost.js';

const STEADY_MS = 30_000;
const STEADY_LOADS: readonly number[] = [0.7, 0.9];
const FAULT_TRACES: readonly string[] = [
  'dobrescu-fail-20',
  'dobrescu-fail-100',
  'dobrescu-slow-3x',
  'donautal-fail-20',
  'donautal-fail-100',
  'donautal-slow-3x',
  'donautal-overload-3x',
];
/** A service of the size of survey records and cut lists. */
const SMALL_SERVICE: IMemberProfile = { ...DOBRESCU, service: 'survey-records', targets: 6 };

class RoutingBench extends Bench {
  override readonly summary = 'shard homes against direct routing: latency, collisions, detection';

  override async run(options: IBenchOptions): Promise<IBenchReport> {
    const seeds = parseNumbers(options, 'seeds', [options.seed]);
    const tables = [
      await buildSteadyTable(seeds, options.log),
      await buildFaultTable(seeds, options.log),
      await measureHomeCost(),
    ];
    const report = {
      tables,
      notes: [
        'all tables but the cost of a home use simulated time, where the load of the machine has no effect',
        'direct: 48 nodes, each with a local view of slots and outcomes; the ledger is shared',
        'added: latency beyond the recorded work; a hop costs the network delay plus 0.15 ms each way',
      ],
    };
    const out = options.values.get('out');
    if (out !== undefined) writePage(out, report);
    return report;
  }
}

async function buildSteadyTable(
  seeds: readonly number[],
  log: (line: string) => void,
): Promise<IBenchTable> {
  const rows: Cell[][] = [];
  for (const profile of [DOBRESCU, SMALL_SERVICE, DONAUTAL]) {
    for (const load of STEADY_LOADS) {
      const scenario = { name: `steady-${load}`, durationMs: STEADY_MS, faults: [] };
      for (const seed of seeds) {
        const trace = buildFrom({ ...profile, load }, scenario, seed);
        log(`${trace.header.service.name} at ${load}`);
        const name = `${profile.targets}x${profile.slotsPerTarget}, ${profile.farMs} ms`;
        rows.push(...(await runModes(trace, [name, load, seed], seed)));
      }
    }
  }
  return {
    title: 'No faults',
    columns: ['service', 'load', 'seed', ...RESULT_COLUMNS],
    rows,
  };
}

async function buildFaultTable(
  seeds: readonly number[],
  log: (line: string) => void,
): Promise<IBenchTable> {
  const rows: Cell[][] = [];
  for (const name of FAULT_TRACES) {
    for (const seed of seeds) {
      log(name);
      rows.push(...(await runModes(buildTrace(name, seed), [name, seed], seed)));
    }
  }
  return { title: 'Faults and overload', columns: ['trace', 'seed', ...RESULT_COLUMNS], rows };
}

const RESULT_COLUMNS: readonly string[] = [
  'routing',
  'added p50 ms',
  'added p99 ms',
  'collisions %',
  'shed %',
  'errors %',
  'connections a target',
  'detection ms',
  'false ejections',
];

async function runModes(
  trace: ITrace,
  head: readonly Cell[],
  seed: number,
): Promise<readonly Cell[][]> {
  const rows: Cell[][] = [];
  for (const mode of ROUTING_MODES) {
    const results = await runRouting(trace, mode, seed);
    const times = results.detectionMs.map((timeMs) => timeMs?.toFixed(0) ?? 'never');
    rows.push([
      ...head,
      mode,
      formatNumber(results.addedP50Ms),
      formatNumber(results.addedP99Ms),
      formatNumber(100 * results.collisionShare, 2),
      formatNumber(100 * results.shedShare, 2),
      formatNumber(100 * results.errorShare, 2),
      results.connections,
      times.join(', ') || '-',
      results.falseEjections,
    ]);
  }
  return rows;
}

function writePage(out: string, report: IBenchReport): void {
  mkdirSync(out, { recursive: true });
  const head = '# Routing\n\nWritten by `npm run bench -- routing --set out=docs/benchmarks`.\n\n';
  writeFileSync(join(out, 'routing.md'), head + formatReport(report));
}

export const bench: Bench = new RoutingBench();
