/** Counts requests on one node and writes the counts to the platform's table. */
import { randomUUID } from 'node:crypto';
import type { Clock, RandomSource } from '@parsleymux/base';
import { ResultCode } from '@parsleymux/base';
import type { ConfigService } from '@parsleymux/config';
import type { TableService } from '@parsleymux/store';
import { PlatformError, PlatformFailure } from '@parsleymux/store';
import type { IBurnCounts } from './burnCounts.js';
import { addCounts, getSlotStart, NO_COUNTS } from './burnCounts.js';
import type { IRawCounts } from './burnRows.js';
import { encodeRawCounts, formatRawKey } from './burnRows.js';
import { MIN_MERGE_AGE_MS } from './burnMerger.js';

const DEFAULT_FLUSH_MS = 60_000;
/**
 * Maximum number of counts buffered while the store is unavailable: two hours of 200 services. Beyond
 * it the oldest are dropped.
 */
const MAX_PENDING_COUNTS = 5000;
const DEFAULT_LATENCY_MS = 1000;
/** Lower codes are faults of the request or disconnects of its caller, and don't count. */
const MIN_SERVER_CODE = 2000;
/** Codes of rejections that don't count, though they are not below {@link MIN_SERVER_CODE}. */
const UNCOUNTED_CODES: ReadonlySet<ResultCode> = new Set([
  ResultCode.IdempotencyKeyMissing,
  ResultCode.IdempotencyKeyConflict,
  ResultCode.IdempotencyKeyMalformed,
  ResultCode.MemberLimit,
]);

/** One finished request. */
export interface IFinishedRequest {
  readonly member: string;
  readonly service: string;
  readonly code: ResultCode;
  readonly durationMs: number;
}

/** Options of a {@link BurnRecorder}. */
export interface IBurnRecorderOptions {
  readonly table: TableService;
  readonly config: ConfigService;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Mean interval between two writes, in ms. Default 60000. */
  readonly flushMs?: number;
}

/** A write whose outcome is not known yet. It is retried unchanged, under the same key. */
interface IBatch {
  readonly key: string;
  readonly createdAtMs: number;
  readonly counts: readonly IRawCounts[];
}

/**
 * Counts in memory, and periodically writes the counts of all members in one row. A node that is
 * killed loses the counts since its last write.
 *
 * @example
 * recorder.record({ member: 'dobrescu', service: 'booking', code: ResultCode.Ok, durationMs: 12 });
 */
export class BurnRecorder {
  private readonly writerId = randomUUID();
  private readonly pending = new Map<string, IRawCounts>();
  private batch: IBatch | undefined;
  /** Key of the batch that the store may have written already. */
  private unresolvedKey = '';
  private sequence = 0;
  private lostCount = 0;

  constructor(private readonly options: IBurnRecorderOptions) {}

  /** Number of requests whose counts were dropped and may be missing from the report. */
  getLostCount(): number {
    return this.lostCount;
  }

  /** Counts one finished request. */
  record(request: IFinishedRequest): void {
    const counts = this.toCounts(request);
    if (counts === undefined || request.member === '') return;
    const { member, service } = request;
    const slotMs = getSlotStart(this.options.clock.getWallTime());
    this.addPending({ member, service, slotMs, ...counts });
  }

  /** Writes counts periodically until `signal` aborts, and a last time after that. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, random } = this.options;
    const flushMs = this.options.flushMs ?? DEFAULT_FLUSH_MS;
    while (!signal.aborted) {
      await clock.sleep(random.getJittered(flushMs), signal).catch(() => undefined);
      await this.flush();
    }
  }

  /** Writes the counts since the last write. Counts whose write failed are retried by the next call. */
  async flush(): Promise<void> {
    this.batch ??= this.takeBatch();
    const { batch } = this;
    if (batch === undefined) return;
    const value = encodeRawCounts(batch.counts);
    const conditions = [{ key: batch.key, version: 0 }];
    try {
      // If it doesn't commit, an earlier attempt whose response was lost has written the row.
      await this.options.table.transact({
        conditions,
        writes: [{ key: batch.key, value }],
      });
      this.batch = undefined;
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      this.handleFailure(batch, error);
    }
  }

  /**
   * Counts that were certainly not written are merged into a later batch under another key. A batch
   * that may have been written is retried under its own key, but only until that row may have been
   * merged and removed: a later retry would count all of its requests twice, undetected.
   */
  private handleFailure(batch: IBatch, error: PlatformError): void {
    if (error.failure !== PlatformFailure.Unknown && batch.key !== this.unresolvedKey) {
      this.batch = undefined;
      for (const counts of batch.counts) this.addPending(counts);
      return;
    }
    this.unresolvedKey = batch.key;
    const ageMs = this.options.clock.getWallTime() - batch.createdAtMs;
    if (ageMs < MIN_MERGE_AGE_MS / 2) return;
    this.batch = undefined;
    this.lostCount += batch.counts.reduce((sum, counts) => sum + counts.requests, 0);
  }

  private takeBatch(): IBatch | undefined {
    if (this.pending.size === 0) return undefined;
    const counts = [...this.pending.values()];
    this.pending.clear();
    const createdAtMs = this.options.clock.getWallTime();
    this.sequence += 1;
    return { key: formatRawKey(createdAtMs, this.writerId, this.sequence), createdAtMs, counts };
  }

  private addPending(counts: IRawCounts): void {
    const key = `${counts.slotMs}/${counts.member}/${counts.service}`;
    const existing = this.pending.get(key);
    this.pending.set(
      key,
      existing === undefined ? counts : { ...counts, ...addCounts(existing, counts) },
    );
    if (this.pending.size <= MAX_PENDING_COUNTS) return;
    const oldest = this.pending.entries().next();
    if (oldest.done === true) return;
    this.pending.delete(oldest.value[0]);
    this.lostCount += oldest.value[1].requests;
  }

  /** Returns undefined if the request doesn't count towards the service's objectives. */
  private toCounts(request: IFinishedRequest): IBurnCounts | undefined {
    const { code } = request;
    if (code === ResultCode.Ok) {
      const isSlow = request.durationMs > this.getLatencyObjective(request);
      return { ...NO_COUNTS, requests: 1, slow: isSlow ? 1 : 0 };
    }
    if (code < MIN_SERVER_CODE || UNCOUNTED_CODES.has(code)) return undefined;
    return { requests: 1, failed: 1, slow: 0 };
  }

  private getLatencyObjective(request: IFinishedRequest): number {
    const intent = this.options.config.getCurrent().members.get(request.member)?.intent;
    const service = intent?.services.find((candidate) => candidate.name === request.service);
    const latencyMs = service?.objective?.latencyMs ?? 0;
    return latencyMs === 0 ? DEFAULT_LATENCY_MS : latencyMs;
  }
}
