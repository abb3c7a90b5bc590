/** The home of one service: queues its requests, dispatches them to targets, retries and hedges. */
import type { IDisposable } from '@parsleymux/base';
import { InvariantName, MuxError, RunState } from '@parsleymux/base';
import type { Service } from '@parsleymux/schema';
import type { AttemptOutcome } from '../../attempt/common/attemptOutcome.js';
import {
  discardOutcome,
  isSuccessful,
  isProvablyNotRun,
  isRetryable,
  toResponse,
} from '../../attempt/common/attemptOutcome.js';
import type { IRunningAttempt } from '../../attempt/common/hedgedAttempt.js';
import { runHedged } from '../../attempt/common/hedgedAttempt.js';
import { makeDeadlinePassed } from '../../refusal/common/refusals.js';
import { AttemptRunner, DispatchCount } from '../../attempt/common/attemptRunner.js';
import { RetryBudget } from '../../budget/common/retryBudget.js';
import type { IResponse, IRoutedRequest } from '../../request/common/request.js';
import { EvidenceRecorder } from './evidenceRecorder.js';
import type { IHomeContext } from './homeOptions.js';
import type { ISlot } from './slotPool.js';
import { SlotPool } from './slotPool.js';

const DEFAULT_RETRY_SHARE = 0.1;
const NONE_EXCLUDED: ReadonlySet<string> = new Set();

/** Options of a {@link ServiceHome}. */
export interface IServiceHomeOptions {
  readonly context: IHomeContext;
  readonly member: string;
  readonly service: Service;
}

/** State of one request in the home. */
interface IRequestState {
  readonly request: IRoutedRequest;
  readonly signal: AbortSignal;
  readonly count: DispatchCount;
  readonly tried: Set<string>;
}

/** Marks an attempt that was recorded as overdue before it ended. */
interface IStallFlag {
  isStalled: boolean;
}

/** Serves the requests of one service. */
export class ServiceHome implements IDisposable {
  readonly member: string;
  readonly pool: SlotPool;
  inFlight = 0;
  /** Instant of the latest request on the monotonic clock, in ms. */
  lastUsedMs: number;
  private service: Service;
  private readonly context: IHomeContext;
  private readonly runner: AttemptRunner;
  private readonly evidenceRecorder: EvidenceRecorder;
  private readonly labels: Readonly<Record<'member' | 'service', string>>;
  private readonly budget: RetryBudget;

  constructor(options: IServiceHomeOptions) {
    this.member = options.member;
    this.service = options.service;
    this.context = options.context;
    this.lastUsedMs = options.context.clock.getMonotonicTime();
    this.pool = new SlotPool({ ...options.context, service: options.service });
    this.runner = new AttemptRunner(options.context, options.member);
    this.labels = { member: options.member, service: options.service.name };
    this.evidenceRecorder = new EvidenceRecorder({
      ...options,
      pool: this.pool,
      getService: () => this.service,
    });
    this.budget = new RetryBudget({ share: options.service.retryBudget || DEFAULT_RETRY_SHARE });
  }

  /** Applies a new configuration of the service. */
  update(service: Service): void {
    this.service = service;
    this.evidenceRecorder.update(service, this.pool.update(service));
  }

  dispose(): void {
    this.evidenceRecorder.dispose();
  }

  /** The current configuration. */
  getService(): Service {
    return this.service;
  }

  /** Serves one request. Rejects with a MuxError. */
  async handle(request: IRoutedRequest, signal: AbortSignal): Promise<IResponse> {
    this.inFlight += 1;
    this.lastUsedMs = this.context.clock.getMonotonicTime();
    try {
      if (request.route.idempotent) return await this.run(request, signal);
      return await this.context.guard.execute(
        {
          request,
          estimateRefusal: () => this.pool.estimateRefusal({ request, excluded: NONE_EXCLUDED }),
          run: (runSignal) => this.run(request, runSignal),
        },
        signal,
      );
    } finally {
      this.inFlight -= 1;
    }
  }

  /** Attempts one target after another, while a retry is safe and the budget allows it. */
  private async run(request: IRoutedRequest, signal: AbortSignal): Promise<IResponse> {
    const state: IRequestState = { request, signal, count: new DispatchCount(), tried: new Set() };
    try {
      return await this.tryTargets(state);
    } catch (error) {
      throw this.checkRefusal(state, error);
    }
  }

  private async tryTargets(state: IRequestState): Promise<IResponse> {
    let last: AttemptOutcome | undefined;
    for (;;) {
      const slot = await this.waitForSlot(state, last);
      if (slot === undefined) break;
      if (this.isDeadlinePassed(state.request.deadlineMs)) {
        slot.release();
        if (last === undefined) throw makeDeadlinePassed();
        break;
      }
      discardOutcome(last);
      last = await this.runAttempt(state, slot);
      if (!this.isRetryAllowed(state, last)) break;
    }
    if (last === undefined) throw new Error('no attempt was made');
    return toResponse(last, this.pool.computeRetryAfter());
  }

  private isDeadlinePassed(deadlineMs: number): boolean {
    return this.context.clock.getMonotonicTime() >= deadlineMs;
  }

  /** Returns undefined when refused after an earlier attempt, whose outcome is then the response. */
  private async waitForSlot(
    state: IRequestState,
    last: AttemptOutcome | undefined,
  ): Promise<ISlot | undefined> {
    const slotRequest = { request: state.request, excluded: state.tried };
    try {
      return await this.pool.wait(slotRequest, state.signal);
    } catch (error) {
      if (last === undefined) throw error;
      return undefined;
    }
  }

  /** Runs one attempt, and hedges it when it is overdue and the request is idempotent. */
  private async runAttempt(state: IRequestState, slot: ISlot): Promise<AttemptOutcome> {
    const { request } = state;
    const isFresh = !request.route.idempotent;
    const stall: IStallFlag = { isStalled: false };
    const outcome = await runHedged({
      clock: this.context.clock,
      first: this.startAttempt(state, slot, stall),
      hedgeDelayMs: this.evidenceRecorder.getStallLimit(request, slot.handle),
      onOverdue: () => {
        stall.isStalled = this.evidenceRecorder.recordStall(request, slot.handle, isFresh);
        return this.startHedge(state);
      },
    });
    return outcome;
  }

  private startHedge(state: IRequestState): IRunningAttempt | undefined {
    const { request, tried } = state;
    if (!request.route.idempotent || !this.context.hedges) return undefined;
    const slot = this.pool.tryReserve({ request, excluded: tried });
    if (slot === undefined) return undefined;
    if (!this.budget.spend()) {
      slot.release();
      return undefined;
    }
    this.context.metrics.hedges.inc(this.labels);
    return this.startAttempt(state, slot, { isStalled: false });
  }

  private startAttempt(state: IRequestState, slot: ISlot, stall: IStallFlag): IRunningAttempt {
    const { request, count } = state;
    const abort = new AbortController();
    state.tried.add(slot.handle.address);
    this.context.metrics.attempts.inc(this.labels);
    // A caller that disconnects cancels idempotent requests only; other requests run to completion.
    const signals = request.route.idempotent ? [state.signal, abort.signal] : [abort.signal];
    const attempt = {
      slot,
      request,
      count,
      signal: AbortSignal.any(signals),
      isFresh: !request.route.idempotent,
    };
    const startMs = this.context.clock.getMonotonicTime();
    const outcome = this.runner.run(attempt).then((ended) => {
      const durationMs = this.context.clock.getMonotonicTime() - startMs;
      this.recordOutcome(slot, request.route.name, ended, durationMs);
      this.evidenceRecorder.recordOutcome(request, slot.handle, ended, stall.isStalled);
      return ended;
    });
    return {
      outcome,
      cancel: () => {
        abort.abort(new Error('another attempt was faster'));
      },
    };
  }

  private recordOutcome(
    slot: ISlot,
    route: string,
    outcome: AttemptOutcome,
    durationMs: number,
  ): void {
    if (isSuccessful(outcome)) {
      this.budget.recordSuccess();
      this.pool.recordServiceTime(route, durationMs);
      slot.handle.recordAccepted();
    } else if (outcome.kind === 'answered' && outcome.response.notRun) {
      this.context.metrics.sheds.inc(this.labels);
      slot.handle.recordShed();
    }
  }

  private isRetryAllowed(state: IRequestState, outcome: AttemptOutcome): boolean {
    if (state.signal.aborted || !isRetryable(outcome)) return false;
    if (!state.request.route.idempotent && !isProvablyNotRun(outcome)) return false;
    if (!this.budget.spend()) return false;
    this.context.metrics.retries.inc(this.labels);
    return true;
  }

  /** Ensures that a refusal is truthful about all attempts of the request, not just the last. */
  private checkRefusal(state: IRequestState, error: unknown): unknown {
    if (!(error instanceof MuxError)) return error;
    const mayHaveRun = state.count.hasPossiblyRun();
    const truthful = mayHaveRun ? error.toMayHaveRun() : error;
    this.context.invariants.check(
      InvariantName.TruthfulRefusal,
      !(mayHaveRun && truthful.runState === RunState.NotRun),
      () => `${this.member}/${this.service.name}: refusal after a dispatch says not run`,
    );
    return truthful;
  }
}
