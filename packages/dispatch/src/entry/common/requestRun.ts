/** One request from its first attempt to its final answer. */
import type { Clock } from '@parsleymux/base';
import { ResultCode, RunState } from '@parsleymux/base';
import type { ITargetResponse } from '@parsleymux/routing';
import type { ITargetRecord } from '../../catalog/common/catalog.js';
import { formatLife } from '../../catalog/common/catalog.js';
import { GrantOutcome } from '../../grants/common/grant.js';
import type { IGrant, Selection, TargetSelector } from '../../grants/common/targetSelector.js';
import type { RequestQuarantine } from '../../quarantine/common/requestQuarantine.js';
import type { IAttemptResult } from './attemptOutcome.js';
import type { IAttemptSenderOptions } from './attemptSender.js';
import { AttemptSender } from './attemptSender.js';
import { CancellableAttempt } from './cancellableAttempt.js';
import { makeOwnAnswer, makeTargetAnswer } from './entryAnswer.js';
import type { IAttemptRecord, IEntryAnswer, IEntryRequest } from './entryRequest.js';
import type { PathHealth } from './pathHealth.js';

/** Grants that may come to nothing before a byte was sent, per request: each costs one connect time. */
const MAX_UNSENT = 4;
/**
 * Share of its objective after which a request that may be repeated is sent to a second target too:
 * an answer within the objective is then still likely, and few requests usually take so long.
 */
const PATIENCE_SHARE = 0.6;
/** When to come back after a request that no target took, in ms: about one request's work. */
const DEFAULT_RETRY_MS = 250;

/** Options of a {@link RequestRunner}. */
export interface IRequestRunnerOptions extends IAttemptSenderOptions {
  readonly selector: TargetSelector;
  readonly paths: PathHealth;
  readonly quarantine: RequestQuarantine;
  readonly failureDomain: string;
  /** The targets of a service, as far as this node knows them. */
  readonly listTargets: (service: string) => readonly ITargetRecord[];
}

type Refusal = Extract<Selection, { kind: 'refused' }>;

interface IRunState {
  readonly attempts: IAttemptRecord[];
  readonly tried: string[];
  sent: number;
  unsent: number;
  mayHaveRun: boolean;
  /** Whether any target was reached. */
  hasArrived: boolean;
  /** The last failure that a target itself answered with. */
  lastAnswer: ITargetResponse | undefined;
  lastOutcome: GrantOutcome | undefined;
}

/**
 * Runs requests, one attempt after the other. A request that can't be repeated goes on only while
 * it is certain that no target has run it.
 *
 * @example
 * const answer = await runner.run(request, signal);
 */
export class RequestRunner {
  private readonly sender: AttemptSender;

  constructor(private readonly options: IRequestRunnerOptions) {
    this.sender = new AttemptSender(options);
  }

  /** Rejects only when `signal` aborts: the caller left. */
  async run(request: IEntryRequest, signal: AbortSignal): Promise<IEntryAnswer> {
    const state: IRunState = {
      attempts: [],
      tried: [],
      sent: 0,
      unsent: 0,
      mayHaveRun: false,
      hasArrived: false,
      lastAnswer: undefined,
      lastOutcome: undefined,
    };
    while (this.hasNextAttempt(request, state)) {
      const selection = await this.choose(request, state, [], signal);
      if (selection.kind === 'refused') return this.makeRefusal(state, selection);
      const result = await this.tryWithHedge(request, selection.grant, state, signal);
      signal.throwIfAborted();
      if (result.outcome === GrantOutcome.Succeeded && result.answer !== undefined) {
        return makeTargetAnswer(result.answer, state.attempts);
      }
    }
    return this.makeFailure(request, state);
  }

  private hasNextAttempt(request: IEntryRequest, state: IRunState): boolean {
    if (this.getRemainingMs(request) <= 0) return false;
    if (state.sent >= request.route.maxAttempts || state.unsent >= MAX_UNSENT) return false;
    return request.route.isIdempotent || !state.mayHaveRun;
  }

  private getRemainingMs(request: IEntryRequest): number {
    return request.deadlineMs - this.options.clock.getMonotonicTime();
  }

  /**
   * Sends to one target, and to a second one if the first is slow and the request may be repeated.
   * A target that hangs would otherwise keep the request until nobody waits for it any more.
   */
  private async tryWithHedge(
    request: IEntryRequest,
    grant: IGrant,
    state: IRunState,
    signal: AbortSignal,
  ): Promise<IAttemptResult> {
    const first = new CancellableAttempt(signal);
    const firstResult = this.tryTarget(request, grant, state, first);
    const { isIdempotent, maxAttempts, objectiveMs } = request.route;
    if (!isIdempotent || state.sent + 2 > maxAttempts) return firstResult;
    const patienceMs = objectiveMs * PATIENCE_SHARE;
    const early = await waitAtMost(this.options.clock, firstResult, patienceMs);
    if (early !== undefined || signal.aborted) return firstResult;
    const selection = await this.chooseBeside(request, grant, state, firstResult, signal);
    if (selection?.kind !== 'granted') return firstResult;
    if (first.hasEnded()) {
      selection.grant.report(GrantOutcome.Abandoned, 0);
      return firstResult;
    }
    const second = new CancellableAttempt(signal);
    const secondResult = this.tryTarget(request, selection.grant, state, second);
    const winner = await Promise.race([firstResult, secondResult]);
    if (winner.outcome !== GrantOutcome.Succeeded) {
      return first.hasEnded() ? secondResult : firstResult;
    }
    // The target of the first one was too slow: that is evidence, though it was not waited for.
    first.cancel(GrantOutcome.TimedOut);
    second.cancel(GrantOutcome.Abandoned);
    return winner;
  }

  /**
   * Asks for a second target until the first answers; undefined then. The question may wait in a
   * queue, and an answer that is ready must not wait with it.
   */
  private async chooseBeside(
    request: IEntryRequest,
    running: IGrant,
    state: IRunState,
    runningResult: Promise<IAttemptResult>,
    signal: AbortSignal,
  ): Promise<Selection | undefined> {
    const question = new CancellableAttempt(signal);
    const asked = this.choose(request, state, [running.target.id], question.signal);
    // Withdrawn questions reject, here and when the caller leaves.
    const selected = asked.catch(() => undefined);
    const selection = await Promise.race([selected, runningResult.then(() => undefined)]);
    question.cancel(GrantOutcome.Abandoned);
    question.end();
    if (selection === undefined) void selected.then(discardSelection);
    return selection;
  }

  private async choose(
    request: IEntryRequest,
    state: IRunState,
    running: readonly string[],
    signal: AbortSignal,
  ): Promise<Selection> {
    const { fingerprints, route, sender, service } = request;
    const checked = this.options.keys.checkAgain(sender, route);
    if (checked.kind === 'refused') {
      const { code, retryAfterMs = 0 } = checked;
      return { kind: 'refused', code, retryAfterMs, home: '' };
    }
    const holdMs = this.options.quarantine.getHoldMs(fingerprints);
    if (holdMs > 0) return refuseHeld(holdMs);
    const attempt = state.sent + running.length + 1;
    return this.options.selector.choose(
      {
        requestId: request.id,
        fingerprints,
        route: route.name,
        service,
        failureDomain: this.options.failureDomain,
        attempt,
        isRepeated: state.unsent > 0,
        isRetry: state.hasArrived || running.length > 0,
        isIdempotent: route.isIdempotent,
        mayRetry: route.isIdempotent && attempt < route.maxAttempts,
        isHedge: running.length > 0,
        priority: sender.tenant?.priority ?? route.priority,
        key: sender.key,
        catalogVersion: request.catalogVersion,
        isCharged: state.mayHaveRun || running.length > 0,
        remainingMs: this.getRemainingMs(request),
        objectiveMs: route.objectiveMs,
        connected: this.listConnected(service),
        limits: this.options.notices.listLimits(this.options.listTargets(service)),
        excluded: [...state.tried, ...running, ...this.listAvoided(service)],
      },
      signal,
    );
  }

  /** Targets that this node can't reach, or that have told it to send them nothing. */
  private listAvoided(service: string): readonly string[] {
    const { listTargets, notices, paths } = this.options;
    const told = listTargets(service).filter((target) => notices.isExcluded(target));
    return [...paths.listBroken(), ...told.map(({ id }) => id)];
  }

  /** A new connection costs both sides a handshake, so the home prefers targets that need none. */
  private listConnected(service: string): readonly string[] {
    const { listTargets, transport } = this.options;
    return listTargets(service)
      .filter((target) => transport.hasIdleConnection(formatLife(target), target.address))
      .map(({ id }) => id);
  }

  private async tryTarget(
    request: IEntryRequest,
    grant: IGrant,
    state: IRunState,
    attempt: CancellableAttempt,
  ): Promise<IAttemptResult> {
    const { clock } = this.options;
    const startMs = clock.getMonotonicTime();
    const result = await this.sender.send(request, grant.target, {
      signal: attempt.signal,
      needsFreshConnection: grant.needsFreshConnection,
    });
    const latencyMs = clock.getMonotonicTime() - startMs;
    attempt.end();
    const answerBytes = countBodyBytes(result.answer);
    const isLeaving = this.options.notices.isLeaving(grant.target);
    const outcome = attempt.cancelOutcome ?? result.outcome;
    const { rateLimit } = result;
    grant.report(outcome, latencyMs, { answerBytes, isDraining: isLeaving, rateLimit });
    if (attempt.cancelOutcome !== undefined) return result;
    this.recordPath(grant, result);
    state.tried.push(grant.target.id);
    // A shed request reached the target: it counts as sent, though it has not run.
    if (result.mayHaveRun || result.outcome === GrantOutcome.Shed) state.sent += 1;
    else state.unsent += 1;
    state.mayHaveRun ||= result.mayHaveRun;
    state.hasArrived ||= hasArrived(result);
    state.lastAnswer = result.answer ?? state.lastAnswer;
    state.lastOutcome = result.outcome;
    state.attempts.push({
      target: grant.target.id,
      home: grant.home,
      suspicion: grant.suspicion,
      outcome: result.outcome,
      latencyMs: Math.round(latencyMs),
      rateLimit: result.rateLimit,
    });
    return result;
  }

  private recordPath(grant: IGrant, result: IAttemptResult): void {
    const { paths } = this.options;
    if (result.outcome === GrantOutcome.Unreachable) paths.recordBroken(grant.target);
    if (result.answer !== undefined) paths.recordWorking(grant.target.id);
  }

  private makeRefusal(state: IRunState, refusal: Refusal): IEntryAnswer {
    if (state.lastAnswer !== undefined) return makeTargetAnswer(state.lastAnswer, state.attempts);
    const { attempts } = state;
    if (state.mayHaveRun) {
      const code = ResultCode.TargetFailed;
      return makeOwnAnswer({ code, runState: RunState.MayHaveRun, attempts });
    }
    const { code, retryAfterMs } = refusal;
    return makeOwnAnswer({ code, runState: RunState.NotRun, attempts, ...toWait(retryAfterMs) });
  }

  private makeFailure(request: IEntryRequest, state: IRunState): IEntryAnswer {
    const { attempts } = state;
    if (state.lastAnswer !== undefined) return makeTargetAnswer(state.lastAnswer, state.attempts);
    if (!state.mayHaveRun) {
      const retryAfterMs = DEFAULT_RETRY_MS;
      const code = ResultCode.TargetShed;
      return makeOwnAnswer({ code, runState: RunState.NotRun, attempts, retryAfterMs });
    }
    const isLate = this.getRemainingMs(request) <= 0 || state.lastOutcome === GrantOutcome.TimedOut;
    const code = isLate ? ResultCode.TargetTimeout : ResultCode.TargetFailed;
    return makeOwnAnswer({ code, runState: RunState.MayHaveRun, attempts });
  }
}

/** No home is asked about a request that this node knows to be held back. */
function refuseHeld(holdMs: number): Selection {
  const code = ResultCode.RequestQuarantined;
  return { kind: 'refused', code, retryAfterMs: Math.ceil(holdMs), home: '' };
}

/** No time to come back is given where coming back would change nothing. */
function toWait(retryAfterMs: number): { readonly retryAfterMs?: number } {
  return retryAfterMs === 0 ? {} : { retryAfterMs };
}

/** Whether a target was reached: it may have run the request, or answered that it did not. */
function hasArrived({ mayHaveRun, outcome }: IAttemptResult): boolean {
  return mayHaveRun || outcome === GrantOutcome.Shed || outcome === GrantOutcome.Misdirected;
}

/** Streamed bodies have no size yet; answers here are held until whole. */
function countBodyBytes(answer: ITargetResponse | undefined): number {
  return answer?.body instanceof Uint8Array ? answer.body.byteLength : 0;
}

/** Gives back a grant that came too late to be used. */
function discardSelection(selection: Selection | undefined): void {
  if (selection?.kind === 'granted') selection.grant.report(GrantOutcome.Abandoned, 0);
}

/** The result if it comes within `limitMs`, else undefined. */
function waitAtMost<T>(clock: Clock, result: Promise<T>, limitMs: number): Promise<T | undefined> {
  return new Promise((resolve, reject) => {
    const timer = clock.startTimer(limitMs, () => {
      resolve(undefined);
    });
    result
      .finally(() => {
        void timer.dispose();
      })
      .then(resolve, reject);
  });
}
