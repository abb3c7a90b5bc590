/**
 * Open-loop load generator: arrivals don't depend on the fleet's latency. A closed loop would slow
 * down with the fleet and hide the delays that are to be measured.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { IDisposable } from '@parsleymux/base';
import { SeededRandom } from '@parsleymux/base';
import type { Histogram } from 'hdr-histogram-js';
import { build } from 'hdr-histogram-js';
import type { IAttemptRecord, IRequestRecord } from '../common/requestRecord.js';
import { AttemptOutcome, getFinalAttempt } from '../common/requestRecord.js';
import type { ICallerRequest, IWorkload } from '../common/workload.js';
import { Caller } from './caller.js';

const MAX_RETRY_WAIT_MS = 1500;
const RETRY_WAIT_MS = 100;
/**
 * Maximum delay of a duplicate, in ms. Duplicates therefore arrive while the first attempt is queued,
 * claimed, dispatched or complete.
 */
const MAX_DUPLICATE_DELAY_MS = 60;
const MAX_LATENCY_MS = 120_000;

/** Chooses the node for an attempt, as the platform's balancer does. */
export abstract class Balancer {
  /** Caller address of a node that is considered ready, or undefined if there is none. */
  abstract pick(): string | undefined;
}

/** Options of a {@link LoadGenerator}. */
export interface ILoadGeneratorOptions {
  readonly workloads: readonly IWorkload[];
  readonly balancer: Balancer;
  readonly seed: number;
}

/** Latencies of the requests with one outcome. */
export interface IOutcomeSummary {
  /** Outcome of the deciding attempt, with the result code if there is one. */
  readonly outcome: string;
  readonly count: number;
  /** Time from the first attempt to the end, retries and waits included, in ms. */
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/**
 * Generates the load of several workloads and records every request.
 *
 * @example
 * const load = new LoadGenerator({ workloads, balancer, seed: 1 });
 * load.start();
 * await load.stop();
 * const records = load.getRecords();
 */
export class LoadGenerator implements IDisposable {
  private readonly options: ILoadGeneratorOptions;
  private readonly caller = new Caller();
  private readonly records: IRequestRecord[] = [];
  private readonly histograms = new Map<string, Histogram>();
  private readonly pending = new Set<Promise<void>>();
  private readonly timers = new Set<NodeJS.Timeout>();
  private readonly runId: string;
  private isRunning = false;
  private sequence = 0;

  constructor(options: ILoadGeneratorOptions) {
    this.options = options;
    this.runId = `${options.seed.toString(36)}-${Date.now().toString(36)}`;
  }

  /** Starts the arrivals, which continue until {@link stop}. */
  start(): void {
    this.isRunning = true;
    this.options.workloads.forEach((workload, index) => {
      const random = new SeededRandom(this.options.seed * 1000 + index);
      this.startStream(workload, random, performance.now());
    });
  }

  /** Stops the arrivals and waits until every request has ended. */
  async stop(): Promise<void> {
    this.isRunning = false;
    for (const timer of this.timers) clearTimeout(timer);
    this.timers.clear();
    await Promise.all(this.pending);
  }

  async dispose(): Promise<void> {
    this.isRunning = false;
    for (const timer of this.timers) clearTimeout(timer);
    await this.caller.dispose();
    await Promise.all(this.pending);
  }

  /** Requests that have ended. */
  getRecords(): readonly IRequestRecord[] {
    return this.records;
  }

  getPendingCount(): number {
    return this.pending.size;
  }

  summarize(): readonly IOutcomeSummary[] {
    return [...this.histograms]
      .map(([outcome, histogram]) => ({
        outcome,
        count: histogram.totalCount,
        p50Ms: histogram.getValueAtPercentile(50),
        p99Ms: histogram.getValueAtPercentile(99),
      }))
      .sort((left, right) => right.count - left.count);
  }

  /** Schedules each arrival relative to the due time of the previous one, so a late timer loses none. */
  private startStream(workload: IWorkload, random: SeededRandom, lastDueMs: number): void {
    const dueMs = lastDueMs + random.getExponential(1000 / workload.perSecond);
    const timer = setTimeout(
      () => {
        this.timers.delete(timer);
        if (!this.isRunning) return;
        this.startRequest(this.makeRequest(workload, random));
        this.startStream(workload, random, dueMs);
      },
      Math.max(0, dueMs - performance.now()),
    );
    this.timers.add(timer);
  }

  private makeRequest(workload: IWorkload, random: SeededRandom): ICallerRequest {
    this.sequence += 1;
    const requestId = `${this.runId}-${this.sequence}`;
    const text = `${requestId}:${random.getInteger(1_000_000)}:`;
    return {
      workload,
      requestId,
      key: workload.idempotent ? '' : `key-${requestId}`,
      path: `${workload.path}?n=${this.sequence}`,
      body: Buffer.from(text.padEnd(workload.bodyBytes, '.')),
      twinAfterMs:
        random.getFloat() < workload.twinShare
          ? random.getInteger(MAX_DUPLICATE_DELAY_MS)
          : undefined,
    };
  }

  private startRequest(request: ICallerRequest): void {
    const done = this.runRequest(request).finally(() => this.pending.delete(done));
    this.pending.add(done);
  }

  private async runRequest(request: ICallerRequest): Promise<void> {
    const startMs = performance.now();
    const attempts: IAttemptRecord[] = [];
    await Promise.all([this.runAttempts(request, attempts), this.runDuplicate(request, attempts)]);
    attempts.sort((left, right) => left.sentAtMs - right.sentAtMs);
    this.records.push({ request, attempts });
    this.recordOutcome(getFinalAttempt(attempts), performance.now() - startMs);
  }

  private async runAttempts(request: ICallerRequest, attempts: IAttemptRecord[]): Promise<void> {
    const { maxAttempts } = request.workload;
    for (let count = 1; count <= maxAttempts; count += 1) {
      const node = this.options.balancer.pick();
      const last = node === undefined ? undefined : await this.caller.send(node, request);
      if (last !== undefined) attempts.push(last);
      if (!isRetryable(last) || count === maxAttempts) return;
      await sleep(getRetryDelayMs(count));
    }
  }

  private async runDuplicate(request: ICallerRequest, attempts: IAttemptRecord[]): Promise<void> {
    if (request.twinAfterMs === undefined) return;
    await sleep(request.twinAfterMs);
    const node = this.options.balancer.pick();
    if (node !== undefined) attempts.push(await this.caller.send(node, request));
  }

  private recordOutcome(last: IAttemptRecord | undefined, latencyMs: number): void {
    const name = formatOutcome(last);
    const histogram = this.histograms.get(name) ?? makeHistogram();
    this.histograms.set(name, histogram);
    histogram.recordValue(Math.min(Math.round(latencyMs), MAX_LATENCY_MS));
  }
}

function isRetryable(last: IAttemptRecord | undefined): boolean {
  return last?.outcome !== AttemptOutcome.Answered;
}

function getRetryDelayMs(attempts: number): number {
  return Math.min(MAX_RETRY_WAIT_MS, RETRY_WAIT_MS * 2 ** attempts);
}

function formatOutcome(last: IAttemptRecord | undefined): string {
  if (last === undefined) return 'no node';
  if (last.code <= 0) return last.outcome;
  return `${last.outcome} ${last.code} ${last.runState ?? ''}`.trimEnd();
}

function makeHistogram(): Histogram {
  return build({ highestTrackableValue: MAX_LATENCY_MS, numberOfSignificantValueDigits: 3 });
}
