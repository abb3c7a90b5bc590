/** Slots of one service's targets and the bounded queue of requests that wait for a slot. */
import type { Clock, MuxError, RandomSource } from '@parsleymux/base';
import type { Service, Target } from '@parsleymux/schema';
import { ServiceTimeEstimate } from '../../queue/common/serviceTimeEstimate.js';
import { WaitQueue } from '../../queue/common/waitQueue.js';
import {
  makeCallerGone,
  makeDeadlinePassed,
  makeNoTarget,
  makeQueueFull,
  makeQueueTimeout,
} from '../../refusal/common/refusals.js';
import type { IRoutedRequest } from '../../request/common/request.js';
import { TargetHandle } from '../../target/common/targetHandle.js';
import { pickTarget } from '../../target/common/targetPicker.js';

/** Queue limit as a multiple of all slots of the service. */
const DEFAULT_QUEUE_FACTOR = 2;
const MIN_QUEUE = 1;
const MIN_RETRY_AFTER_MS = 100;
const NO_TARGET_RETRY_AFTER_MS = 2000;

/** A reserved slot. */
export interface ISlot {
  readonly handle: TargetHandle;
  /** Releases the slot. Further calls have no effect. */
  release(): void;
}

/** A request for a slot. */
export interface ISlotRequest {
  readonly request: IRoutedRequest;
  /** Addresses of targets that must not be used. */
  readonly excluded: ReadonlySet<string>;
}

/** Options of a {@link SlotPool}. */
export interface ISlotPoolOptions {
  readonly service: Service;
  readonly clock: Clock;
  readonly random: RandomSource;
}

interface ISlotWaiter {
  readonly caller: string;
  readonly deadlineMs: number;
  readonly slotRequest: ISlotRequest;
  finish(result: ISlot | MuxError): void;
}

/**
 * Owns the slots and the queue of one service.
 *
 * @example
 * const slot = await pool.acquire({ request, excluded: new Set() }, signal);
 * try { await send(slot.handle); } finally { slot.release(); }
 */
export class SlotPool {
  readonly handles = new Map<string, TargetHandle>();
  private readonly serviceTime = new ServiceTimeEstimate();
  private readonly routeTimes = new Map<string, ServiceTimeEstimate>();
  private service: Service;
  private readonly clock: Clock;
  private readonly random: RandomSource;
  private readonly queue = new WaitQueue<ISlotWaiter>();
  private isServingQueue = false;

  constructor(options: ISlotPoolOptions) {
    this.service = options.service;
    this.clock = options.clock;
    this.random = options.random;
    this.update(options.service);
  }

  /**
   * Applies the configured targets and returns those that are new. Requests that a removed target
   * still runs are completed.
   */
  update(service: Service): readonly TargetHandle[] {
    this.service = service;
    const configured = new Set(service.targets.map((target) => target.address));
    for (const address of this.handles.keys()) {
      if (!configured.has(address)) this.handles.delete(address);
    }
    const added: TargetHandle[] = [];
    for (const target of service.targets) {
      const handle = this.handles.get(target.address);
      if (handle !== undefined) handle.update(target, this.clock.getMonotonicTime());
      else added.push(this.addHandle(target));
    }
    this.serveWaiting();
    return added;
  }

  /** Reserves a free slot immediately. Returns undefined when none is available. */
  tryReserve(slotRequest: ISlotRequest): ISlot | undefined {
    const handle = pickTarget({
      handles: this.handles.values(),
      excluded: slotRequest.excluded,
      isIdempotent: slotRequest.request.route.idempotent,
      wallTimeMs: this.clock.getWallTime(),
      random: this.random,
    });
    return handle === undefined ? undefined : this.reserveSlot(handle);
  }

  /** Waits in the queue for a slot. Rejects with a MuxError of a request that was not run. */
  wait(slotRequest: ISlotRequest, signal: AbortSignal): Promise<ISlot> {
    if (signal.aborted) return Promise.reject(makeCallerGone());
    const refusal = this.estimateRefusal(slotRequest);
    if (refusal !== undefined) return Promise.reject(refusal);
    const slot = this.queue.size === 0 ? this.tryReserve(slotRequest) : undefined;
    if (slot !== undefined) return Promise.resolve(slot);
    return this.addWaiter(slotRequest, signal);
  }

  /** Reserves a free slot of one target whatever its health status, for probes and trials. */
  tryReserveOn(handle: TargetHandle): ISlot | undefined {
    return handle.inUse < handle.target.slots ? this.reserveSlot(handle) : undefined;
  }

  /** The refusal that a request would receive now; undefined when it would be served. */
  estimateRefusal(slotRequest: ISlotRequest): MuxError | undefined {
    const leftMs = slotRequest.request.deadlineMs - this.clock.getMonotonicTime();
    if (leftMs <= 0) return makeDeadlinePassed();
    if (!this.hasUsableTarget(slotRequest.excluded)) {
      return makeNoTarget(this.random.getJittered(NO_TARGET_RETRY_AFTER_MS));
    }
    if (this.queue.size === 0 && this.countFree() > 0) return undefined;
    const waitMs = this.estimateWait(slotRequest.request.caller);
    if (waitMs + this.getLongestExpected(slotRequest.request) > leftMs) {
      return makeQueueTimeout(this.computeRetryAfter());
    }
    const isFull = this.queue.size >= this.getQueueLimit();
    if (isFull && !this.queue.hasRoomFor(slotRequest.request.caller)) {
      return makeQueueFull(this.computeRetryAfter());
    }
    return undefined;
  }

  /** Records that a successful request of the route held its slot for `durationMs`. */
  recordServiceTime(route: string, durationMs: number): void {
    this.serviceTime.record(durationMs);
    let estimate = this.routeTimes.get(route);
    if (estimate === undefined) {
      estimate = new ServiceTimeEstimate();
      this.routeTimes.set(route, estimate);
    }
    estimate.record(durationMs);
  }

  /** Retry delay in ms: the time in which the current queue drains, with jitter. */
  computeRetryAfter(): number {
    const drainMs = ((this.queue.size + 1) * this.serviceTime.getMean()) / this.countAllowed();
    return Math.max(MIN_RETRY_AFTER_MS, this.random.getJittered(drainMs, 0.3));
  }

  /** Number of free slots less the number of waiting requests. */
  getSpare(): number {
    return this.countFree() - this.queue.size;
  }

  /** Number of waiting requests. */
  getQueued(): number {
    return this.queue.size;
  }

  /** Assigns free slots to waiting requests. Must be called whenever a slot may have become free. */
  serveWaiting(): void {
    // Finishing a waiter can synchronously release or reserve slots, which calls this method again.
    if (this.isServingQueue) return;
    this.isServingQueue = true;
    try {
      while (this.queue.size > 0 && this.countFree() > 0 && this.serveNext());
    } finally {
      this.isServingQueue = false;
    }
  }

  private serveNext(): boolean {
    let slot: ISlot | undefined;
    const waiter = this.queue.take((candidate) => {
      slot = this.tryReserve(candidate.slotRequest);
      return slot !== undefined;
    });
    if (waiter === undefined || slot === undefined) return false;
    waiter.finish(slot);
    return true;
  }

  private addWaiter(slotRequest: ISlotRequest, signal: AbortSignal): Promise<ISlot> {
    if (this.queue.size >= this.getQueueLimit()) {
      this.queue
        .takeFromLongest(slotRequest.request.caller)
        ?.finish(makeQueueFull(this.computeRetryAfter()));
    }
    return new Promise((resolve, reject) => {
      const { request } = slotRequest;
      // A request that starts later is likely to miss its deadline. Under overload, a queue that starts
      // requests at the last moment fills all slots with work whose results arrive too late.
      const latestStartMs = request.deadlineMs - this.getLongestExpected(request);
      const timer = this.clock.startTimer(latestStartMs - this.clock.getMonotonicTime(), () => {
        this.queue.remove(waiter);
        waiter.finish(makeQueueTimeout(this.computeRetryAfter()));
      });
      const onAbort = () => {
        this.queue.remove(waiter);
        waiter.finish(makeCallerGone());
      };
      const waiter: ISlotWaiter = {
        caller: request.caller,
        deadlineMs: request.deadlineMs,
        slotRequest,
        finish: (result) => {
          void timer.dispose();
          signal.removeEventListener('abort', onAbort);
          if ('handle' in result) resolve(result);
          else reject(result);
        },
      };
      signal.addEventListener('abort', onAbort, { once: true });
      this.queue.add(waiter);
      this.serveWaiting();
    });
  }

  private reserveSlot(handle: TargetHandle): ISlot {
    handle.inUse += 1;
    let isHeld = true;
    return {
      handle,
      release: () => {
        if (!isHeld) return;
        isHeld = false;
        handle.inUse -= 1;
        this.serveWaiting();
      },
    };
  }

  private estimateWait(caller: string): number {
    return ((this.queue.countAhead(caller) + 1) * this.serviceTime.getMean()) / this.countAllowed();
  }

  private getLongestExpected(request: IRoutedRequest): number {
    return this.routeTimes.get(request.route.name)?.getLongestExpected() ?? 0;
  }

  private getQueueLimit(): number {
    const factor = this.service.queueFactor || DEFAULT_QUEUE_FACTOR;
    const slots = this.service.targets.reduce((sum, target) => sum + target.slots, 0);
    return Math.max(MIN_QUEUE, Math.round(factor * slots));
  }

  private countAllowed(): number {
    return Math.max(
      1,
      this.countUsable((handle) => handle.getEffectiveLimit()),
    );
  }

  private countFree(): number {
    return this.countUsable((handle) => Math.max(0, handle.getEffectiveLimit() - handle.inUse));
  }

  private hasUsableTarget(excluded: ReadonlySet<string>): boolean {
    const wallTimeMs = this.clock.getWallTime();
    for (const handle of this.handles.values()) {
      if (handle.isUsable(wallTimeMs) && !excluded.has(handle.address)) return true;
    }
    return false;
  }

  private countUsable(count: (handle: TargetHandle) => number): number {
    const wallTimeMs = this.clock.getWallTime();
    let sum = 0;
    for (const handle of this.handles.values()) {
      if (handle.isUsable(wallTimeMs)) sum += count(handle);
    }
    return sum;
  }

  private addHandle(target: Target): TargetHandle {
    const handle = new TargetHandle(target, this.clock.getMonotonicTime());
    this.handles.set(target.address, handle);
    return handle;
  }
}
