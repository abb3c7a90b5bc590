/** Estimates how long a response may take from how long earlier ones took. */

/** Weights of a new sample in the mean and in the deviation, and the deviations added (RFC 6298). */
const MEAN_GAIN = 1 / 8;
const DEVIATION_GAIN = 1 / 4;
const DEVIATIONS = 4;
/** What is added at least, as a share of the mean: responses that take equally long must not be overdue either. */
const MIN_MARGIN_SHARE = 0.5;

/**
 * Learns a time limit as TCP's retransmission timer does. A fixed limit below the usual time of a busy peer or
 * store would discard each response shortly before it arrives.
 *
 * @example
 * times.recordResponse(nowMs - sentMs);
 * const limitMs = times.getLimitMs(MIN_LIMIT_MS);
 */
export class ResponseTimes {
  private meanMs: number | undefined;
  private deviationMs = 0;
  /** Doubles with each limit that expired since the last response. */
  private backoff = 1;

  /** `maxLimitMs` bounds the limits, in ms, and `maxBackoff` the factor by which limits that expired raise the least one. */
  constructor(
    private readonly maxLimitMs: number,
    private readonly maxBackoff = Infinity,
  ) {}

  recordResponse(tookMs: number): void {
    this.backoff = 1;
    if (this.meanMs === undefined) {
      this.meanMs = tookMs;
      this.deviationMs = tookMs / 2;
      return;
    }
    const difference = Math.abs(tookMs - this.meanMs);
    this.deviationMs += (difference - this.deviationMs) * DEVIATION_GAIN;
    this.meanMs += (tookMs - this.meanMs) * MEAN_GAIN;
  }

  /** Records that no response came in time: what it would have taken isn't known, only that it was more. */
  recordExpired(): void {
    this.backoff = Math.min(this.maxBackoff, this.backoff * 2);
  }

  /** Time that few responses exceed, in ms; 0 before the first response. */
  getProbableMs(): number {
    const { deviationMs, meanMs = 0 } = this;
    return meanMs + Math.max(DEVIATIONS * deviationMs, MIN_MARGIN_SHARE * meanMs);
  }

  /** Time after which a response is overdue, in ms: at least `minLimitMs`, which holds for an idle peer. */
  getLimitMs(minLimitMs: number): number {
    return Math.min(this.maxLimitMs, Math.max(minLimitMs * this.backoff, this.getProbableMs()));
  }
}
