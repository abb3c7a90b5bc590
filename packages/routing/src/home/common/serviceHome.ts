/** The home of one service: from the queue through attempts and retries to the answer. */
import { InvariantName, MuxError, RunState } from '@parsleymux/base';
import type { Service } from '@parsleymux/schema';
import type { AttemptOutcome } from '../../attempt/common/attemptOutcome.js';
import {
  isGood,
  isProvablyNotRun,
  isWorthRetrying,
  markMayHaveRun,
  toAnswer,
} from '../../attempt/common/attemptOutcome.js';
import { AttemptRunner, DispatchCount } from '../../attempt/common/attemptRunner.js';
import { RetryBudget } from '../../budget/common/retryBudget.js';
import type { IAnswer, IRoutedRequest } from '../../request/common/request.js';
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

/** One request on its way through the home. */
interface IPassage {
  readonly request: IRoutedRequest;
  readonly signal: AbortSignal;
  readonly count: DispatchCount;
  readonly tried: Set<string>;
}

/** Serves the requests of one service. */
export class ServiceHome {
  readonly member: string;
  readonly pool: SlotPool;
  inFlight = 0;
  private service: Service;
  private readonly context: IHomeContext;
  private readonly runner: AttemptRunner;
  private readonly budget: RetryBudget;

  constructor(options: IServiceHomeOptions) {
    this.member = options.member;
    this.service = options.service;
    this.context = options.context;
    this.pool = new SlotPool({ ...options.context, service: options.service });
    this.runner = new AttemptRunner(options.context, options.member);
    this.budget = new RetryBudget({ share: options.service.retryBudget || DEFAULT_RETRY_SHARE });
  }

  /** Takes over a new configuration of the service. */
  update(service: Service): void {
    this.service = service;
    this.pool.update(service);
  }

  /** The configuration in force. */
  getService(): Service {
    return this.service;
  }

  /** Serves one request. Rejects with a MuxError. */
  async handle(request: IRoutedRequest, signal: AbortSignal): Promise<IAnswer> {
    this.inFlight += 1;
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

  /** Attempts on one target after another, as far as that is safe and the budget allows. */
  private async run(request: IRoutedRequest, signal: AbortSignal): Promise<IAnswer> {
    const passage: IPassage = { request, signal, count: new DispatchCount(), tried: new Set() };
    try {
      return await this.tryTargets(passage);
    } catch (error) {
      throw this.checkRefusal(passage, error);
    }
  }

  private async tryTargets(passage: IPassage): Promise<IAnswer> {
    let last: AttemptOutcome | undefined;
    for (;;) {
      const slot = await this.waitForSlot(passage, last);
      if (slot === undefined) break;
      last = await this.runAttempt(passage, slot);
      if (!this.isRetryAllowed(passage, last)) break;
    }
    if (last === undefined) throw new Error('no attempt was made');
    return toAnswer(last, this.pool.computeRetryAfter());
  }

  /** Undefined when an earlier attempt's outcome is the better answer than the refusal to queue. */
  private async waitForSlot(
    passage: IPassage,
    last: AttemptOutcome | undefined,
  ): Promise<ISlot | undefined> {
    const wish = { request: passage.request, excluded: passage.tried };
    try {
      return await this.pool.wait(wish, passage.signal);
    } catch (error) {
      if (last === undefined) throw error;
      return undefined;
    }
  }

  private async runAttempt(passage: IPassage, slot: ISlot): Promise<AttemptOutcome> {
    const { request, count } = passage;
    const startMs = this.context.clock.getMonotonicTime();
    const outcome = await this.runner.run({
      slot,
      request,
      count,
      // A caller that hangs up cancels reads; a request that must not run twice is let finish.
      signal: request.route.idempotent ? passage.signal : new AbortController().signal,
      isFresh: !request.route.idempotent,
    });
    passage.tried.add(outcome.target);
    this.recordOutcome(slot, outcome, this.context.clock.getMonotonicTime() - startMs);
    return outcome;
  }

  private recordOutcome(slot: ISlot, outcome: AttemptOutcome, durationMs: number): void {
    if (isGood(outcome)) {
      this.budget.recordSuccess();
      this.pool.serviceTime.record(durationMs);
      slot.handle.recordAccepted();
    } else if (outcome.kind === 'answered' && outcome.answer.notRun) {
      slot.handle.recordShed();
    }
  }

  private isRetryAllowed(passage: IPassage, outcome: AttemptOutcome): boolean {
    if (passage.signal.aborted || !isWorthRetrying(outcome)) return false;
    if (!passage.request.route.idempotent && !isProvablyNotRun(outcome)) return false;
    return this.budget.spend();
  }

  /** A refusal is truthful only if it reckons with every attempt of the request. */
  private checkRefusal(passage: IPassage, error: unknown): unknown {
    if (!(error instanceof MuxError)) return error;
    const mayHaveRun = passage.count.isMaybeRun();
    const truthful =
      mayHaveRun && error.runState === RunState.NotRun ? markMayHaveRun(error) : error;
    this.context.invariants.check(
      InvariantName.TruthfulRefusal,
      !(mayHaveRun && truthful.runState === RunState.NotRun),
      () => `${this.member}/${this.service.name}: refusal after a dispatch says not run`,
    );
    return truthful;
  }
}
