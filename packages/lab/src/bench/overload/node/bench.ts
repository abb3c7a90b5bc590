/**
 * Behavior under load beyond the capacity of the slots: `npm run bench -- overload`. Values: seeds,
 * threads.
 */
import type { IReplayResult } from '../../../replay/common/replayResult.js';
import { runReplays } from '../../../replay/node/replayPool.js';
import { listTraceNames } from '../../../trace/common/traceGenerator.js';
import type { Cell, IBenchOptions, IBenchReport } from '../../common/bench.js';
import { Bench, formatNumber, parseNumbers } from '../../common/bench.js';

const DEFAULT_SEEDS = [1, 2, 3];
const DEFAULT_THREADS = [3];
const TRACE_PATTERN = /-(overload-.*|caller-flood|half-shedding|all-failing)$/;

class OverloadBench extends Bench {
  override readonly summary = 'goodput, fairness and retries under overload';

  override async run(options: IBenchOptions): Promise<IBenchReport> {
    const seeds = parseNumbers(options, 'seeds', DEFAULT_SEEDS);
    const [threads = 1] = parseNumbers(options, 'threads', DEFAULT_THREADS);
    const traces = listTraceNames().filter((name) => TRACE_PATTERN.test(name));
    const jobs = traces.flatMap((trace) => {
      return seeds.map((seed) => ({ trace, seed, policy: 'sequential' as const }));
    });
    const results = await runReplays(jobs, threads);
    const rows = traces.map((trace) => {
      return buildRow(results.filter((result) => result.trace === trace));
    });
    return {
      tables: [
        {
          title: 'Worst of the seeds, during the overload or fault',
          columns: [
            'trace',
            'goodput, % of the slots',
            'errors %',
            "other callers' errors %",
            "other callers' p99 ms",
            'attempts for each request dispatched',
            'refusals by code',
          ],
          rows,
        },
      ],
      notes: [
        `seeds ${seeds.join(', ')}; simulated time`,
        'goodput: work of successful requests, as a share of the work that all slots can do in that time',
        'other callers: all but the flooding one, in traces with a caller flood',
      ],
    };
  }
}

function buildRow(results: readonly IReplayResult[]): Cell[] {
  const [first] = results;
  if (first === undefined) return [];
  const getWorst = (pick: (result: IReplayResult) => number) => Math.max(...results.map(pick));
  return [
    first.trace,
    formatNumber(100 * Math.min(...results.map((result) => result.goodputShare ?? NaN))),
    formatNumber(100 * getWorst((result) => result.faultErrorShare)),
    formatNumber(100 * getWorst((result) => result.othersErrorShare)),
    formatNumber(getWorst((result) => result.othersP99Ms)),
    formatNumber(
      getWorst((result) => result.retryAmplification),
      4,
    ),
    formatRefusals(results),
  ];
}

function formatRefusals(results: readonly IReplayResult[]): string {
  const sums = new Map<string, number>();
  for (const { refusals } of results) {
    for (const [code, count] of Object.entries(refusals)) {
      sums.set(code, (sums.get(code) ?? 0) + count);
    }
  }
  return [...sums].map(([code, count]) => `${code}: ${count}`).join(', ') || '-';
}

export const bench: Bench = new OverloadBench();
