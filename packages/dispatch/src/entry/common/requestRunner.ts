/** Runs a request from its first attempt to its final response. */
import type { Clock } from '@parsleymux/base';
import { ResultCode, RunState } from '@parsleymux/base';
import type { ITargetResponse } from '@parsleymux/routing';
import type { IGrantRequest, ITargetRecord, RequestQuarantine } from '@parsleymux/scheduling';
import { GrantOutcome } from '@parsleymux/scheduling';
import type { IGrant, Selection, TargetSelector } from '../../grants/common/targetSelector.js';
import type { IAttemptResult } from './attemptOutcome.js';
import type { IAttemptSenderOptions } from './attemptSender.js';
import { AttemptSender } from './attemptSender.js';
import { CancellableAttempt } from './cancellableAttempt.js';
import { makeLocalResponse, makeTargetResponse } from './entryResponse.js';
import type { IAttemptRecord, IEntryResponse, IEntryRequest } from './entryRequest.js';
import type { PathHealth } from './pathHealth.js';
import type { ShutdownLimit } from './shutdownLimit.js';

/** Attempts per request that may fail before anything is sent: each may cost one connect timeout. */
const MAX_UNSENT_ATTEMPTS = 4;
/**
 * Share of the latency objective after which an idempotent request is also sent to a second target. Few
 * requests take this long, and the second target can still respond within the objective.
 */
const HEDGE_DELAY_SHARE = 0.6;
/** Retry-After of a request that no target accepted, in ms: about the duration of one request. */
const DEFAULT_RETRY_MS = 250;

/** Share of a service's targets up to which those that this node can't reach are avoided. */
const MAX_AVOIDED_SHARE = 0.5;
/** Options of a {@link RequestRunner}. */
export interface IRequestRunnerOptions extends IAttemptSenderOptions {
  readonly selector: TargetSelector;
  readonly paths: PathHealth;
  readonly quarantine: RequestQuarantine;
  readonly shutdownLimit: ShutdownLimit;
  readonly failureDomain: string;
  /** The targets of a service that this node knows. */
  readonly listTargets: (service: string) => readonly ITargetRecord[];
}

type Refusal = Extract<Selection, { kind: 'refused' }>;

interface IRunState {
  readonly attempts: IAttemptRecord[];
  readonly tried: string[];
  sent: number;
  unsent: number;
  /** Whether a connection of this node failed; a further one may cost another connect timeout. */
  hasFailedToConnect: boolean;
  mayHaveRun: boolean;
  /** Whether any attempt reached a target. */
  hasReachedTarget: boolean;
  /** The last failure response of a target itself. */
  lastResponse: ITargetResponse | undefined;
  lastOutcome: GrantOutcome | undefined;
}

/**
 * Runs requests with retries and hedging. A request that is not idempotent is retried only while it is
 * certain that no target has run it.
 *
 * @example
 * const response = await runner.run(request, signal);
 */
export class RequestRunner {
  private readonly sender: AttemptSender;

  constructor(private readonly options: IRequestRunnerOptions) {
    this.sender = new AttemptSender(options);
  }

  /** Rejects only if `signal` is aborted, because the caller disconnected. */
  async run(request: IEntryRequest, signal: AbortSignal): Promise<IEntryResponse> {
    const state: IRunState = {
      attempts: [],
      tried: [],
      sent: 0,
      unsent: 0,
      hasFailedToConnect: false,
      mayHaveRun: false,
      hasReachedTarget: false,
      lastResponse: undefined,
      lastOutcome: undefined,
    };
    while (this.hasNextAttempt(request, state)) {
      const selection = await this.choose(request, state, [], signal);
      if (selection.kind === 'refused') return this.makeRefusal(state, selection);
      const result = await this.tryWithHedge(request, selection.grant, state, signal);
      signal.throwIfAborted();
      if (result.outcome === GrantOutcome.Succeeded && result.response !== undefined) {
        return makeTargetResponse(result.response, state.attempts);
      }
      if (result.hasNoPath === true && !state.mayHaveRun) return this.refuseWithoutPath(state);
    }
    return this.makeFailure(request, state);
  }

  private hasNextAttempt(request: IEntryRequest, state: IRunState): boolean {
    if (this.getRemainingMs(request) <= 0) return false;
    if (state.sent >= request.route.maxAttempts || state.unsent >= MAX_UNSENT_ATTEMPTS)
      return false;
    return request.route.isIdempotent || !state.mayHaveRun;
  }

  private getRemainingMs(request: IEntryRequest): number {
    return request.deadlineMs - this.options.clock.getMonotonicTime();
  }

  /**
   * Sends the request to one target, and also to a second one if the first is slow and the request is
   * idempotent. A hanging target would otherwise hold the request until its deadline.
   */
  private async tryWithHedge(
    request: IEntryRequest,
    grant: IGrant,
    state: IRunState,
    signal: AbortSignal,
  ): Promise<IAttemptResult> {
    const first = new CancellableAttempt(signal, grant);
    const firstResult = this.sendToTarget(request, grant, state, first);
    const { isIdempotent, maxAttempts, objectiveMs } = request.route;
    if (!isIdempotent || state.sent + 2 > maxAttempts) return firstResult;
    const hedgeDelayMs = objectiveMs * HEDGE_DELAY_SHARE;
    const earlyResult = await waitWithTimeout(this.options.clock, firstResult, hedgeDelayMs);
    if (earlyResult !== undefined || signal.aborted) return firstResult;
    const selection = await this.chooseHedgeTarget(request, grant, state, firstResult, signal);
    if (selection?.kind !== 'granted') return firstResult;
    if (first.hasEnded()) {
      selection.grant.report(GrantOutcome.Abandoned, 0);
      return firstResult;
    }
    const second = new CancellableAttempt(signal, selection.grant);
    const secondResult = this.sendToTarget(request, selection.grant, state, second);
    const winner = await Promise.race([firstResult, secondResult]);
    if (winner.outcome !== GrantOutcome.Succeeded) {
      return first.hasEnded() ? secondResult : firstResult;
    }
    // The first attempt is reported as timed out: its target was too slow, which is evidence against it.
    first.cancel(GrantOutcome.TimedOut);
    second.cancel(GrantOutcome.Abandoned);
    return winner;
  }

  /**
   * Requests a second target; returns undefined if the first attempt ends before the grant. The grant
   * request may be queued, and a response that is ready must not wait for it.
   */
  private async chooseHedgeTarget(
    request: IEntryRequest,
    running: IGrant,
    state: IRunState,
    runningResult: Promise<IAttemptResult>,
    signal: AbortSignal,
  ): Promise<Selection | undefined> {
    const pendingSelection = new CancellableAttempt(signal);
    const choice = this.choose(request, state, [running.target.id], pendingSelection.signal);
    // The selection rejects when it is cancelled, here or because the caller disconnected.
    const selected = choice.catch(() => undefined);
    const selection = await Promise.race([selected, runningResult.then(() => undefined)]);
    pendingSelection.cancel(GrantOutcome.Abandoned);
    pendingSelection.end();
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
    if (holdMs > 0) return refuseQuarantined(holdMs);
    const attempt = state.sent + running.length + 1;
    const { selector, shutdownLimit } = this.options;
    const grantRequest: IGrantRequest = {
      requestId: request.id,
      fingerprints,
      route: route.name,
      service,
      failureDomain: this.options.failureDomain,
      attempt,
      isRepeated: state.unsent > 0,
      isRetry: state.hasReachedTarget || running.length > 0,
      isIdempotent: route.isIdempotent,
      mayRetry: route.isIdempotent && attempt < route.maxAttempts,
      isHedge: running.length > 0,
      priority: sender.tenant?.priority ?? route.priority,
      key: sender.key,
      catalogVersion: request.catalogVersion,
      isCharged: state.mayHaveRun || running.length > 0,
      remainingMs: Math.min(this.getRemainingMs(request), shutdownLimit.getRemainingMs()),
      objectiveMs: route.objectiveMs,
      connected: this.listConnected(service),
      limits: this.options.notices.listLimits(this.options.listTargets(service)),
      excluded: [...state.tried, ...running, ...this.listExcluded(service)],
    };
    const selection = await shutdownLimit.waitForDecision(route.objectiveMs, signal, (limited) =>
      selector.choose(grantRequest, limited),
    );
    return selection ?? refuseLeaving();
  }

  /** Targets that must not be granted, because of this node's paths or of their notices. */
  private listExcluded(service: string): readonly string[] {
    const { listTargets, notices } = this.options;
    const notified = listTargets(service).filter((target) => notices.isExcluded(target));
    return [...this.listAvoided(service), ...notified.map(({ id }) => id)];
  }

  /**
   * Targets that this node can't reach. If they are most of the service's, the attempts are sent through peers
   * instead: the others would receive more than they can serve.
   */
  private listAvoided(service: string): readonly string[] {
    const unreachable = this.options.paths.listUnreachable();
    if (unreachable.length === 0) return [];
    const ids = new Set(this.options.listTargets(service).map(({ id }) => id));
    const ofService = unreachable.filter((id) => ids.has(id));
    return ofService.length > ids.size * MAX_AVOIDED_SHARE ? [] : unreachable;
  }

  /** Targets with idle connections. The home prefers them, since they need no new handshake. */
  private listConnected(service: string): readonly string[] {
    const { dispatcher, listTargets } = this.options;
    return listTargets(service)
      .filter((target) => dispatcher.hasIdleConnection(target))
      .map(({ id }) => id);
  }

  private async sendToTarget(
    request: IEntryRequest,
    grant: IGrant,
    state: IRunState,
    attempt: CancellableAttempt,
  ): Promise<IAttemptResult> {
    const { clock, dispatcher } = this.options;
    const startMs = clock.getMonotonicTime();
    const result = await this.sender.send(request, grant.target, {
      signal: attempt.signal,
      needsFreshConnection: grant.needsFreshConnection,
      silenceMs: request.route.objectiveMs * HEDGE_DELAY_SHARE,
      prefersPeer: state.hasFailedToConnect || this.options.paths.isUnreachable(grant.target.id),
      // The home would otherwise keep the target's slot in use and count the silence against the target.
      onPathFault: () => {
        attempt.settleGrant(GrantOutcome.Abandoned, clock.getMonotonicTime() - startMs);
      },
    });
    const latencyMs = clock.getMonotonicTime() - startMs;
    attempt.end();
    const answerBytes = countBodyBytes(result.response);
    const isDraining = this.options.notices.isDraining(grant.target);
    const outcome = attempt.cancelOutcome ?? result.outcome;
    const { rateLimit } = result;
    const isPathFault =
      outcome === GrantOutcome.TimedOut &&
      result.relay === undefined &&
      dispatcher.hasLostPathSince(startMs);
    const reported = isPathFault ? GrantOutcome.Abandoned : outcome;
    attempt.settleGrant(reported, latencyMs, { answerBytes, isDraining, rateLimit });
    if (attempt.cancelOutcome !== undefined) return result;
    this.recordPath(grant, result);
    state.tried.push(grant.target.id);
    // A shed request has reached the target, so it counts as sent although it has not run.
    if (result.mayHaveRun || result.outcome === GrantOutcome.Shed) state.sent += 1;
    else state.unsent += 1;
    state.hasFailedToConnect ||= result.outcome === GrantOutcome.Unreachable;
    state.mayHaveRun ||= result.mayHaveRun;
    state.hasReachedTarget ||= hasReachedTarget(result);
    state.lastResponse = result.response ?? state.lastResponse;
    state.lastOutcome = result.outcome;
    state.attempts.push({
      target: grant.target.id,
      home: grant.home,
      suspicion: grant.suspicion,
      outcome: result.outcome,
      latencyMs: Math.round(latencyMs),
      rateLimit: result.rateLimit,
      isConnectionReused: result.isConnectionReused,
      relay: result.relay,
    });
    return result;
  }

  private recordPath(grant: IGrant, result: IAttemptResult): void {
    const { paths } = this.options;
    if (result.outcome === GrantOutcome.Unreachable) paths.recordUnreachable(grant.target);
    if (result.response !== undefined) paths.recordReachable(grant.target.id);
  }

  /** Further attempts would have no path either. Another node may serve the request immediately. */
  private refuseWithoutPath({ attempts, lastResponse }: IRunState): IEntryResponse {
    if (lastResponse !== undefined) return makeTargetResponse(lastResponse, attempts);
    const retryAfterMs = DEFAULT_RETRY_MS;
    const code = ResultCode.NoPathToTargets;
    return makeLocalResponse({ code, runState: RunState.NotRun, attempts, retryAfterMs });
  }

  private makeRefusal(state: IRunState, refusal: Refusal): IEntryResponse {
    if (state.lastResponse !== undefined)
      return makeTargetResponse(state.lastResponse, state.attempts);
    const { attempts } = state;
    if (state.mayHaveRun) {
      const code = ResultCode.TargetFailed;
      return makeLocalResponse({ code, runState: RunState.MayHaveRun, attempts });
    }
    const { code, retryAfterMs } = refusal;
    return makeLocalResponse({
      code,
      runState: RunState.NotRun,
      attempts,
      ...toRetryAfter(retryAfterMs),
    });
  }

  private makeFailure(request: IEntryRequest, state: IRunState): IEntryResponse {
    const { attempts } = state;
    if (state.lastResponse !== undefined)
      return makeTargetResponse(state.lastResponse, state.attempts);
    if (!state.mayHaveRun) {
      const retryAfterMs = DEFAULT_RETRY_MS;
      const code = ResultCode.TargetShed;
      return makeLocalResponse({ code, runState: RunState.NotRun, attempts, retryAfterMs });
    }
    const isLate = this.getRemainingMs(request) <= 0 || state.lastOutcome === GrantOutcome.TimedOut;
    const code = isLate ? ResultCode.TargetTimeout : ResultCode.TargetFailed;
    return makeLocalResponse({ code, runState: RunState.MayHaveRun, attempts });
  }
}

/** Refuses a request that this node knows to be quarantined, without requesting a grant from the home. */
function refuseQuarantined(holdMs: number): Selection {
  const code = ResultCode.RequestQuarantined;
  return { kind: 'refused', code, retryAfterMs: Math.ceil(holdMs), home: '' };
}

/** Refuses a request that waited for a slot, or would have to, when the node shuts down. Another node may serve it. */
function refuseLeaving(): Selection {
  const code = ResultCode.NodeLeaving;
  return { kind: 'refused', code, retryAfterMs: DEFAULT_RETRY_MS, home: '' };
}

/** Omits the Retry-After if it is 0, which means that a retry would not succeed. */
function toRetryAfter(retryAfterMs: number): { readonly retryAfterMs?: number } {
  return retryAfterMs === 0 ? {} : { retryAfterMs };
}

/** Whether the attempt reached a target, which may have run the request or responded that it did not. */
function hasReachedTarget({ mayHaveRun, outcome }: IAttemptResult): boolean {
  return mayHaveRun || outcome === GrantOutcome.Shed || outcome === GrantOutcome.Misdirected;
}

/** The size of a buffered body. A streamed body has no known size, but responses are buffered here. */
function countBodyBytes(response: ITargetResponse | undefined): number {
  return response?.body instanceof Uint8Array ? response.body.byteLength : 0;
}

/** Returns a grant that arrived too late to be used. */
function discardSelection(selection: Selection | undefined): void {
  if (selection?.kind === 'granted') selection.grant.report(GrantOutcome.Abandoned, 0);
}

/** Resolves to the result, or to undefined if it takes longer than `limitMs`. */
function waitWithTimeout<T>(
  clock: Clock,
  result: Promise<T>,
  limitMs: number,
): Promise<T | undefined> {
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
