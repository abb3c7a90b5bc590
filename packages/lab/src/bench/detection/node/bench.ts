/**
 * Detection by every policy on every trace: `npm run bench -- detection --json`. Values: seeds,
 * threads, traces (a substring of the name), curve (0 to omit), out (output directory for pages).
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import type { PolicyName } from '../../../replay/common/policies.js';
import { POLICY_NAMES } from '../../../replay/common/policies.js';
import type { IReplayResult } from '../../../replay/common/replayResult.js';
import type { IReplayJob } from '../../../replay/node/replayPool.js';
import { runReplays } from '../../../replay/node/replayPool.js';
import { listTraceNames } from '../../../trace/common/traceGenerator.js';
import type { IBenchOptions, IBenchReport, IBenchTable } from '../../common/bench.js';
import { Bench, formatNumber, parseNumbers } from '../../common/bench.js';
import { formatReport } from '../../common/formatReport.js';
import { renderCurves } from '../common/curvePlot.js';
import { summarizeReplays } from '../common/detectionSummary.js';
import type { IMeasuredCurves } from './curves.js';
import { measureCurves, UNDETECTED_MS, formatCurves } from './curves.js';

const DEFAULT_SEEDS = [1, 2, 3, 4, 5];
const DEFAULT_THREADS = [4];
/** Traces that test load only; the overload benchmark covers them. */
const LOAD_PATTERN = /-(overload-.*|caller-flood)$/;
const MEMBERS = ['dobrescu', 'donautal'] as const;

class DetectionBench extends Bench {
  override readonly summary = 'detection time and false ejections by policy and trace';

  override async run(options: IBenchOptions): Promise<IBenchReport> {
    const seeds = parseNumbers(options, 'seeds', DEFAULT_SEEDS);
    const [threads = 1] = parseNumbers(options, 'threads', DEFAULT_THREADS);
    const part = options.values.get('traces') ?? '';
    const traces = listTraceNames().filter((name) => {
      return name.includes(part) && !LOAD_PATTERN.test(name);
    });
    const jobs = traces.flatMap((trace) => {
      return POLICY_NAMES.flatMap((policy) => seeds.map((seed) => ({ trace, policy, seed })));
    });
    options.log(`${jobs.length} replays on ${threads} threads`);
    const results = await runReplays(jobs, threads);
    const hasCurve = options.values.get('curve') !== '0';
    const curves = hasCurve ? await measureCurves(seeds, threads, options.log) : [];
    const report = buildReport(traces, jobs, results, curves);
    const out = options.values.get('out');
    if (out !== undefined) writePages(out, report, curves);
    return report;
  }
}

function buildReport(
  traces: readonly string[],
  jobs: readonly IReplayJob[],
  results: readonly IReplayResult[],
  curves: readonly IMeasuredCurves[],
): IBenchReport {
  const tables = MEMBERS.flatMap((member) => {
    const memberTraces = traces.filter((trace) => trace.startsWith(member));
    return memberTraces.length === 0
      ? []
      : [buildTable(member, memberTraces, results), buildTotals(member, results)];
  });
  const violations = results.reduce((sum, result) => sum + result.violations, 0);
  return {
    tables: [...tables, ...curves.map(formatCurves)],
    notes: [
      `${jobs.length} replays; simulated time, so the machine's load has no effect`,
      `invariant violations in all of them: ${violations}`,
      'detection: from the start of the fault to the first decision to suspect or eject the target, or to the last dispatch for a caller before 9 s without any, whichever is later',
      'a false ejection removes a healthy target from use; a demotion temporarily makes it the last choice',
    ],
  };
}

function buildTable(
  member: string,
  traces: readonly string[],
  results: readonly IReplayResult[],
): IBenchTable {
  const rows = traces.flatMap((trace) => {
    return POLICY_NAMES.map((policy) => {
      const replays = results.filter(
        (result) => result.trace === trace && result.policy === policy,
      );
      const summary = summarizeReplays(replays);
      return [
        trace.slice(member.length + 1),
        policy,
        formatTime(summary.medianMs),
        formatTime(summary.p99Ms),
        summary.faulty === 0 ? '-' : `${summary.missed}/${summary.faulty}`,
        formatNumber(summary.falsePerTargetHour, 2),
        formatNumber(summary.demotionsPerTargetHour, 2),
        formatNumber(100 * summary.errorShare, 2),
        formatNumber(summary.latencyP99Ms),
        summary.slotsOverFloor,
        formatNumber(summary.amplification, 4),
      ];
    });
  });
  return {
    title: `${member}: traces one by one`,
    columns: [
      'trace',
      'policy',
      'median ms',
      'p99 ms',
      'missed',
      'false per target-hour',
      'demotions per target-hour',
      'errors %',
      'latency p99 ms',
      'slots over floor',
      'attempts a request',
    ],
    rows,
  };
}

function buildTotals(member: string, results: readonly IReplayResult[]): IBenchTable {
  const rows = POLICY_NAMES.map((policy: PolicyName) => {
    const replays = results.filter((result) => {
      return result.trace.startsWith(member) && result.policy === policy;
    });
    const controls = replays.filter((result) => result.trace.includes('-control'));
    const all = summarizeReplays(replays);
    const faultFree = summarizeReplays(controls.length === 0 ? replays : controls);
    return [
      policy,
      formatNumber(faultFree.falsePerTargetHour, 2),
      formatNumber(all.falsePerTargetHour, 2),
      `${all.missed}/${all.faulty}`,
      all.slotsOverFloor,
    ];
  });
  return {
    title: `${member}: all traces together`,
    columns: [
      'policy',
      'false per target-hour, controls',
      'false per target-hour, all',
      'missed',
      'lowest slots over floor',
    ],
    rows,
  };
}

function formatTime(timeMs: number): string {
  if (Number.isNaN(timeMs)) return '-';
  return timeMs === Infinity ? 'never' : timeMs.toFixed(0);
}

function writePages(out: string, report: IBenchReport, curves: readonly IMeasuredCurves[]): void {
  mkdirSync(out, { recursive: true });
  const head = 'Written by `npm run bench -- detection --set out=docs/benchmarks`.\n\n';
  const tables = report.tables.filter((table) => table.title.includes('traces'));
  if (tables.length > 0) {
    const page = `# Detection\n\n${head}${formatReport({ ...report, tables })}`;
    writeFileSync(join(out, 'detection.md'), page);
  }
  if (curves.length > 0) {
    const page = `# Detection over the threshold\n\n${head}`;
    const body = formatReport({ tables: curves.map(formatCurves), notes: report.notes });
    writeFileSync(join(out, 'detection-curves.md'), page + body);
  }
  for (const { member, trace, curves: drawn } of curves) {
    const svg = renderCurves(`${member}, ${trace}`, drawn, UNDETECTED_MS);
    writeFileSync(join(out, `detection-${member}-${trace}.svg`), svg);
  }
}

export const bench: Bench = new DetectionBench();
