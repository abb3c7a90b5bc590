/** A clock that advances only on request, for replays and tests. */
import type { IDisposable } from '../../lifecycle/common/disposable.js';
import { toDisposable } from '../../lifecycle/common/disposable.js';
import { Clock } from './clock.js';

interface ITimer {
  readonly dueMs: number;
  readonly sequence: number;
  readonly callback: () => void;
  isCancelled: boolean;
}

/** Options of a {@link ManualClock}. */
export interface IManualClockOptions {
  /** Wall time at the start, in milliseconds since the Unix epoch. Default 0. */
  readonly startMs?: number;
}

/**
 * Runs timers in order of due time, then of creation. Promise continuations that a timer triggers
 * complete before the next timer fires.
 *
 * @example
 * const clock = new ManualClock();
 * const done = clock.sleep(1000);
 * await clock.advanceBy(1000);
 * await done;
 */
export class ManualClock extends Clock {
  private readonly startMs: number;
  private nowMs = 0;
  private sequence = 0;
  private readonly heap: ITimer[] = [];

  constructor(options: IManualClockOptions = {}) {
    super();
    this.startMs = options.startMs ?? 0;
  }

  override getWallTime(): number {
    return this.startMs + this.nowMs;
  }

  override getMonotonicTime(): number {
    return this.nowMs;
  }

  override startTimer(delayMs: number, callback: () => void): IDisposable {
    const timer: ITimer = {
      dueMs: this.nowMs + Math.max(0, delayMs),
      sequence: this.sequence++,
      callback,
      isCancelled: false,
    };
    this.pushTimer(timer);
    return toDisposable(() => {
      timer.isCancelled = true;
    });
  }

  /** Advances by `durationMs` and fires the timers that become due. */
  async advanceBy(durationMs: number): Promise<void> {
    await this.advanceTo(this.nowMs + durationMs);
  }

  /** Advances to the monotonic instant `instantMs` and fires the timers that become due. */
  async advanceTo(instantMs: number): Promise<void> {
    await waitForMicrotasks();
    for (;;) {
      const next = this.heap[0];
      if (next === undefined || next.dueMs > instantMs) break;
      this.removeFirstTimer();
      if (next.isCancelled) continue;
      this.nowMs = next.dueMs;
      next.callback();
      await waitForMicrotasks();
    }
    this.nowMs = Math.max(this.nowMs, instantMs);
  }

  private pushTimer(timer: ITimer): void {
    const heap = this.heap;
    let index = heap.push(timer) - 1;
    while (index > 0) {
      const parentIndex = (index - 1) >> 1;
      const parent = heap[parentIndex];
      if (parent === undefined || !isBefore(timer, parent)) break;
      heap[index] = parent;
      index = parentIndex;
    }
    heap[index] = timer;
  }

  private removeFirstTimer(): void {
    const heap = this.heap;
    const last = heap.pop();
    if (last === undefined || heap.length === 0) return;
    let index = 0;
    for (;;) {
      let childIndex = 2 * index + 1;
      if (isBefore(heap[childIndex + 1], heap[childIndex])) childIndex += 1;
      const child = heap[childIndex];
      if (child === undefined || !isBefore(child, last)) break;
      heap[index] = child;
      index = childIndex;
    }
    heap[index] = last;
  }
}

function isBefore(left: ITimer | undefined, right: ITimer | undefined): boolean {
  if (left === undefined || right === undefined) return false;
  return left.dueMs < right.dueMs || (left.dueMs === right.dueMs && left.sequence < right.sequence);
}

/** Waits until pending promise chains settle: immediates run after the microtask queue is empty. */
function waitForMicrotasks(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
