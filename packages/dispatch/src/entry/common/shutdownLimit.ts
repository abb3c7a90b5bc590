/** Limits how long requests wait for a slot while the node shuts down. */
import type { Clock, IDisposable } from '@parsleymux/base';
import { JoinedSignal } from '@parsleymux/base';

/** Least time that is kept for the response, in ms. */
const MIN_RESERVED_MS = 100;
/** Largest share of the shutdown that is kept for processing. */
const MAX_RESERVED_SHARE = 0.5;

interface IPeriod {
  readonly startMs: number;
  readonly endMs: number;
}

interface IWait {
  readonly expectedMs: number;
  readonly ended: AbortController;
  timer: IDisposable | undefined;
}

/**
 * A node exits at the end of its shutdown, whatever its requests wait for. A request that waits for a slot until
 * then gets no response although it has not run, and one that gets its slot shortly before is cut at its
 * target. Therefore waits end while there is still time to process the request; until then slots are used as
 * usual.
 *
 * @example
 * const limit = new ShutdownLimit(clock);
 * const selection = await limit.waitForDecision(1200, signal, (limited) => selector.choose(request, limited));
 * if (selection === undefined) refuse(ResultCode.NodeLeaving);
 */
export class ShutdownLimit {
  private period: IPeriod | undefined;
  private readonly waits = new Set<IWait>();

  constructor(private readonly clock: Clock) {}

  /** Number of requests that wait for a slot. */
  get waiting(): number {
    return this.waits.size;
  }

  /** Starts the shutdown, which cuts the requests in progress after `durationMs`. Calling it again does nothing. */
  start(durationMs: number): void {
    if (this.period !== undefined) return;
    const startMs = this.clock.getMonotonicTime();
    this.period = { startMs, endMs: startMs + durationMs };
    for (const wait of this.waits) this.startTimer(wait, this.period);
  }

  /** Time until the end of the shutdown, in ms; infinite if the node is not shutting down. */
  getRemainingMs(): number {
    return (this.period?.endMs ?? Infinity) - this.clock.getMonotonicTime();
  }

  /**
   * Resolves with the result of `wait`, or with undefined if it had to end because less than `expectedMs`, the
   * usual processing time, is left. Rejects if `signal` aborts.
   */
  async waitForDecision<T>(
    expectedMs: number,
    signal: AbortSignal,
    wait: (signal: AbortSignal) => Promise<T>,
  ): Promise<T | undefined> {
    if (this.period !== undefined && this.getWaitMs(expectedMs, this.period) <= 0) return undefined;
    const ended = new AbortController();
    const entry: IWait = { expectedMs, ended, timer: undefined };
    const joined = new JoinedSignal([signal, ended.signal]);
    this.waits.add(entry);
    if (this.period !== undefined) this.startTimer(entry, this.period);
    try {
      return await wait(joined.signal);
    } catch (error) {
      if (signal.aborted || !ended.signal.aborted) throw error;
      return undefined;
    } finally {
      this.waits.delete(entry);
      void entry.timer?.dispose();
      joined.dispose();
    }
  }

  private startTimer(wait: IWait, period: IPeriod): void {
    const delayMs = Math.max(0, this.getWaitMs(wait.expectedMs, period));
    wait.timer = this.clock.startTimer(delayMs, () => {
      wait.ended.abort(new Error('the node shuts down'));
    });
  }

  private getWaitMs(expectedMs: number, { endMs, startMs }: IPeriod): number {
    const longestMs = (endMs - startMs) * MAX_RESERVED_SHARE;
    const reservedMs = Math.min(Math.max(expectedMs, MIN_RESERVED_MS), longestMs);
    return endMs - reservedMs - this.clock.getMonotonicTime();
  }
}
