/** Sends an open-loop stream of requests to one or more addresses and measures latencies. */
import { setTimeout as sleep } from 'node:timers/promises';
import { SeededRandom } from '@parsleymux/base';
import type { Histogram } from 'hdr-histogram-js';
import { build } from 'hdr-histogram-js';
import { Pool } from 'undici';

const OK = 200;
const US_PER_MS = 1000;
const MAX_US = 60_000_000;
const CONNECTIONS = 64;

/** Destination, kind and rate of the requests. */
export interface IStreamOptions {
  /** Used in round-robin order. */
  readonly addresses: readonly string[];
  readonly host: string;
  /** Sends non-idempotent requests, each with its own idempotency key. */
  readonly isBooking: boolean;
  readonly perSecond: number;
  readonly durationMs: number;
  readonly seed: number;
}

/** Results of a stream. Latencies are from sending to the last byte, in ms. */
export interface IStreamResults {
  readonly completed: number;
  readonly failed: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/**
 * Sends requests with Poisson arrivals, without waiting for earlier responses.
 *
 * @example
 * const results = await runStream({ addresses, host, isBooking: false, perSecond: 100, durationMs: 5000, seed: 1 });
 */
export async function runStream(options: IStreamOptions): Promise<IStreamResults> {
  const pools = options.addresses.map((address) => {
    return new Pool(`http://${address}`, { connections: CONNECTIONS });
  });
  const histogram = build({ highestTrackableValue: MAX_US, numberOfSignificantValueDigits: 3 });
  const stream = new RequestStream(options, pools, histogram);
  await stream.run();
  await Promise.all(pools.map((pool) => pool.close()));
  return {
    completed: histogram.totalCount,
    failed: stream.getFailed(),
    p50Ms: histogram.getValueAtPercentile(50) / US_PER_MS,
    p99Ms: histogram.getValueAtPercentile(99) / US_PER_MS,
  };
}

class RequestStream {
  private readonly random: SeededRandom;
  private readonly pending = new Set<Promise<void>>();
  private sent = 0;
  private failed = 0;

  constructor(
    private readonly options: IStreamOptions,
    private readonly pools: readonly Pool[],
    private readonly histogram: Histogram,
  ) {
    this.random = new SeededRandom(options.seed);
  }

  getFailed(): number {
    return this.failed;
  }

  async run(): Promise<void> {
    const endMs = performance.now() + this.options.durationMs;
    let dueMs = performance.now();
    for (;;) {
      dueMs += this.random.getExponential(1000 / this.options.perSecond);
      if (dueMs > endMs) break;
      const waitMs = dueMs - performance.now();
      if (waitMs > 0) await sleep(waitMs);
      this.startRequest();
    }
    await Promise.all(this.pending);
  }

  private startRequest(): void {
    const done = this.sendRequest().finally(() => this.pending.delete(done));
    this.pending.add(done);
  }

  private async sendRequest(): Promise<void> {
    const number = this.sent;
    this.sent += 1;
    const pool = this.pools[number % this.pools.length];
    if (pool === undefined) return;
    const { isBooking, host, seed } = this.options;
    const id = `${seed}-${number}-${Date.now().toString(36)}`;
    const headers = { host, 'x-request-id': id, ...(isBooking ? { 'idempotency-key': id } : {}) };
    const startMs = performance.now();
    try {
      const method = isBooking ? 'POST' : 'GET';
      const body = isBooking ? id : null;
      const response = await pool.request({ method, path: '/x', headers, body });
      await response.body.bytes();
      if (response.statusCode !== OK) this.failed += 1;
      else this.recordLatency(performance.now() - startMs);
    } catch {
      this.failed += 1;
    }
  }

  private recordLatency(latencyMs: number): void {
    this.histogram.recordValue(Math.min(MAX_US, Math.round(latencyMs * US_PER_MS)));
  }
}
