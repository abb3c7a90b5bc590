/** Runs alternatives beside each other, each a little later than the one before. */
import type { IDisposable } from '../../lifecycle/common/disposable.js';
import type { Clock } from './clock.js';

/** What an alternative gets. */
export interface IStaggeredAttempt {
  /** Aborts when another alternative has succeeded. */
  readonly signal: AbortSignal;
  /** Records progress, which postpones the next alternative. */
  readonly recordProgress: () => void;
}

/** Options of {@link startStaggered}. */
export interface IStaggeredRaceOptions {
  readonly clock: Clock;
  /** Returns how long an alternative may make no progress before the next one begins, in ms. */
  readonly getLimitMs: () => number;
  /** Called with the position of an alternative that failed, or that the next one joins. Default: none. */
  readonly onDidFail?: (index: number, error: unknown) => void;
}

/**
 * Begins the next alternative when the newest one fails or makes no progress in time, without giving up any.
 * Resolves with the first success; rejects with the last error when all have failed.
 *
 * @example
 * const table = await startStaggered(peers.map((peer) => ({ signal }) => fetchFrom(peer, signal)), { clock, getLimitMs });
 */
export function startStaggered<T>(
  alternatives: readonly ((attempt: IStaggeredAttempt) => Promise<T>)[],
  options: IStaggeredRaceOptions,
): Promise<T> {
  return new StaggeredRace(alternatives, options).run();
}

class StaggeredRace<T> {
  private readonly ended = new AbortController();
  private started = 0;
  private pending = 0;
  private timer: IDisposable | undefined;

  constructor(
    private readonly alternatives: readonly ((attempt: IStaggeredAttempt) => Promise<T>)[],
    private readonly options: IStaggeredRaceOptions,
  ) {}

  run(): Promise<T> {
    return new Promise<T>((resolve, reject) => {
      this.startNext(resolve, reject);
    }).finally(() => {
      void this.timer?.dispose();
      this.ended.abort(new Error('another alternative has succeeded'));
    });
  }

  private startNext(resolve: (value: T) => void, reject: (error: unknown) => void): void {
    const index = this.started;
    const start = this.alternatives[index];
    if (start === undefined) {
      if (this.pending === 0) reject(new Error('there is no alternative'));
      return;
    }
    this.started += 1;
    this.pending += 1;
    const recordProgress = () => {
      if (this.started !== index + 1 || this.ended.signal.aborted) return;
      this.startTimer(() => {
        this.startNext(resolve, reject);
      });
    };
    recordProgress();
    start({ signal: this.ended.signal, recordProgress }).then(resolve, (error: unknown) => {
      this.pending -= 1;
      if (this.ended.signal.aborted) return;
      this.options.onDidFail?.(index, error);
      const isLast = this.started === this.alternatives.length;
      if (isLast && this.pending === 0) reject(error);
      else if (this.started === index + 1) this.startNext(resolve, reject);
    });
  }

  private startTimer(callback: () => void): void {
    void this.timer?.dispose();
    this.timer = this.options.clock.startTimer(this.options.getLimitMs(), callback);
  }
}
