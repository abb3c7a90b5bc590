/** Claims a key, dispatches the request under the claim, and records the outcome. */
import type { Clock, InvariantRegistry, RandomSource } from '@parsleymux/base';
import { MuxError, RunState } from '@parsleymux/base';
import type { ObjectStore } from '@parsleymux/store';
import type { IGuardedAttempt, IResponse } from '@parsleymux/routing';
import type { AttemptRegistry, IAttemptOutcome } from '../../attempt/common/attemptRegistry.js';
import { Attempt, AttemptEnd } from '../../attempt/common/attemptRegistry.js';
import type { ICompleteResponse, IStoredResponse } from '../../claim/common/responseCodec.js';
import { encodeResponse, encodeResponseHead } from '../../claim/common/responseCodec.js';
import type { IClaim, IVersionedClaim } from '../../claim/common/claim.js';
import { ClaimState } from '../../claim/common/claim.js';
import type { IClaimIdentity } from '../../claim/common/claimIdentity.js';
import { formatClaimRowKey } from '../../claim/common/claimIdentity.js';
import type { ClaimMetrics } from '../../metrics/common/claimMetrics.js';
import type { ClaimStore } from '../../store/common/claimStore.js';
import { ClaimWriteResult } from '../../store/common/claimStore.js';
import { readCompleteBody } from './completeBody.js';
import type { BackgroundRetrier } from './backgroundRetrier.js';
import { makeCallerGone, makeDeadlinePassed, makeStoreUnavailable } from './claimErrors.js';
import { makeAnswerNotKept, makeUnexpectedError } from './claimErrors.js';

/** Object keys contain the day, so that a rule of the object store can remove objects past the retention. */
const OBJECT_PREFIX = 'claim-answers/';
const DAY_LENGTH = 'YYYY-MM-DD'.length;

/** Options of a {@link ClaimRunner}. */
export interface IClaimRunnerOptions {
  readonly store: ClaimStore;
  readonly objects: ObjectStore;
  readonly registry: AttemptRegistry;
  readonly retrier: BackgroundRetrier;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly invariants: InvariantRegistry;
  readonly nodeAddress: string;
  readonly metrics: ClaimMetrics;
  readonly makeToken: () => string;
  /** Maximum size of a recorded response, in bytes. */
  readonly maxResponseBytes: number;
  /** Maximum size of a body recorded in the row instead of an object, in bytes. */
  readonly maxRowBytes: number;
  /** Maximum time to resolve a claim after the response to its write was lost, in ms. */
  readonly claimWaitMs: number;
  /** Maximum time that a response is delayed until it is recorded, in ms. */
  readonly recordWaitMs: number;
}

/** The outcome of this attempt, or the row that prevented the claim. */
export interface IRunResult {
  readonly outcome: IAttemptOutcome | undefined;
  readonly current: IVersionedClaim | undefined;
}

const EMPTY_RESULT: IRunResult = { outcome: undefined, current: undefined };

/**
 * Runs attempts of this process. Throws a MuxError if an attempt ends without running.
 *
 * @example
 * const result = await runner.run(attempt, identity, 0, signal);
 */
export class ClaimRunner {
  constructor(private readonly options: IClaimRunnerOptions) {}

  /** Claims the row at `expectedVersion` and dispatches the request if the claim is won. */
  async run(
    guarded: IGuardedAttempt,
    identity: IClaimIdentity,
    expectedVersion: number,
    signal: AbortSignal,
  ): Promise<IRunResult> {
    const attempt = this.openAttempt(identity);
    const claim = this.makeClaim(attempt);
    const result = await this.options.store.claim(
      attempt.rowKey,
      expectedVersion,
      claim,
      this.getClaimLimit(guarded),
    );
    this.options.metrics.claims.inc({ member: identity.member, verdict: result.writeResult });
    switch (result.writeResult) {
      case ClaimWriteResult.Won:
        return this.runClaimed(guarded, attempt, claim, result.version, signal);
      case ClaimWriteResult.Lost:
        this.remove(attempt);
        return { ...EMPTY_RESULT, current: result.current };
      case ClaimWriteResult.Unavailable:
        this.remove(attempt);
        throw this.makeStoreUnavailable();
      case ClaimWriteResult.Unresolved:
        // The claim may be in the row, now or later, although the request will never run. Until
        // the release is written, this process reports "not run" to peers that find this token.
        await this.release(attempt, claim, expectedVersion, undefined, false);
        throw this.makeStoreUnavailable();
    }
  }

  private async runClaimed(
    guarded: IGuardedAttempt,
    attempt: Attempt,
    claim: IClaim,
    version: number,
    signal: AbortSignal,
  ): Promise<IRunResult> {
    attempt.recordClaim();
    const refusal = this.findRefusalAfterClaim(guarded, signal);
    if (refusal !== undefined) {
      await this.release(attempt, claim, version, refusal, false);
      throw refusal;
    }
    const outcome = await this.dispatch(guarded, attempt);
    this.options.metrics.ends.inc({ member: guarded.request.member, end: outcome.end });
    if (outcome.end === AttemptEnd.NotRun) {
      await this.release(attempt, claim, version, outcome.error, true);
      if (outcome.error !== undefined) throw outcome.error;
      return { ...EMPTY_RESULT, outcome };
    }
    attempt.end(outcome, true);
    await this.options.retrier.start(
      () => this.record(attempt, claim, version, outcome),
      this.options.recordWaitMs,
    );
    return { ...EMPTY_RESULT, outcome };
  }

  /** Removes an attempt whose claim is not in the table and never will be. */
  private remove(attempt: Attempt): void {
    attempt.end({ end: AttemptEnd.NotRun }, false);
    this.options.registry.remove(attempt);
  }

  /** Checks the deadline and the caller again: the process may have been paused since the claim's commit. */
  private findRefusalAfterClaim(
    guarded: IGuardedAttempt,
    signal: AbortSignal,
  ): MuxError | undefined {
    const { deadlineMs } = guarded.request;
    if (this.options.clock.getMonotonicTime() >= deadlineMs) return makeDeadlinePassed();
    if (signal.aborted) return makeCallerGone();
    return undefined;
  }

  /**
   * Dispatches the request. The caller's signal is not passed on: a disconnected caller must not
   * cancel a request that may be running. The response is recorded for the caller's next attempt.
   */
  private async dispatch(guarded: IGuardedAttempt, attempt: Attempt): Promise<IAttemptOutcome> {
    attempt.recordDispatch();
    try {
      const response = await guarded.run(new AbortController().signal);
      return await this.readOutcome(response);
    } catch (error) {
      const failure = error instanceof MuxError ? error : makeUnexpectedError(error);
      return { end: ENDS[failure.runState], error: failure };
    }
  }

  private async readOutcome(response: IResponse): Promise<IAttemptOutcome> {
    const body = await readCompleteBody(response.body, this.options.maxResponseBytes);
    if (body === undefined) return { end: AttemptEnd.RanNotKept, error: makeAnswerNotKept() };
    // A target's own refusal is returned unchanged, and the key is released.
    const end = response.runState === RunState.NotRun ? AttemptEnd.NotRun : AttemptEnd.Finished;
    return { end, response: { ...response, body } };
  }

  private async release(
    attempt: Attempt,
    claim: IClaim,
    expectedVersion: number,
    error: MuxError | undefined,
    isConfirmed: boolean,
  ): Promise<void> {
    attempt.end({ end: AttemptEnd.NotRun, ...(error === undefined ? {} : { error }) }, isConfirmed);
    const released = this.makeNextClaim(claim, ClaimState.NotRun);
    // Not awaited: until the release is written, this process reports "not run" to peers.
    await this.options.retrier.start(async () => {
      await this.options.store.writeOutcome(attempt.rowKey, expectedVersion, released);
      this.options.registry.remove(attempt);
    }, 0);
  }

  private async record(
    attempt: Attempt,
    claim: IClaim,
    version: number,
    outcome: IAttemptOutcome,
  ): Promise<void> {
    const state = STATES[outcome.end];
    const stored =
      outcome.response === undefined
        ? undefined
        : await this.storeResponse(attempt, outcome.response);
    const next = { ...this.makeNextClaim(claim, state), ...(stored ? { answer: stored } : {}) };
    await this.options.store.writeOutcome(attempt.rowKey, version, next);
    this.options.registry.remove(attempt);
  }

  private async storeResponse(
    attempt: Attempt,
    response: ICompleteResponse,
  ): Promise<IStoredResponse> {
    if (response.body.length <= this.options.maxRowBytes) return encodeResponse(response);
    // The row refers to the object only after it is complete, so no reader finds a partial one.
    const day = new Date(this.options.clock.getWallTime()).toISOString().slice(0, DAY_LENGTH);
    const objectKey = `${OBJECT_PREFIX}${day}/${attempt.rowKey}/${attempt.token}`;
    await this.options.objects.put(objectKey, response.body);
    return encodeResponseHead(response, objectKey);
  }

  private openAttempt(identity: IClaimIdentity): Attempt {
    const attempt = new Attempt({
      rowKey: formatClaimRowKey(identity.member, identity.claimKey),
      token: this.options.makeToken(),
      digest: identity.digest,
      invariants: this.options.invariants,
    });
    this.options.registry.add(attempt);
    return attempt;
  }

  private makeClaim(attempt: Attempt): IClaim {
    const nowMs = this.options.clock.getWallTime();
    return {
      state: ClaimState.Running,
      token: attempt.token,
      claimer: this.options.nodeAddress,
      digest: attempt.digest,
      claimedAtMs: nowMs,
      changedAtMs: nowMs,
    };
  }

  private makeNextClaim(claim: IClaim, state: ClaimState): IClaim {
    return { ...claim, state, changedAtMs: this.options.clock.getWallTime() };
  }

  private getClaimLimit(guarded: IGuardedAttempt): number {
    const limitMs = this.options.clock.getMonotonicTime() + this.options.claimWaitMs;
    return Math.min(guarded.request.deadlineMs, limitMs);
  }

  private makeStoreUnavailable(): MuxError {
    return makeStoreUnavailable(this.options.random.getFloat());
  }
}

const ENDS: Readonly<Record<RunState, AttemptEnd>> = {
  [RunState.NotRun]: AttemptEnd.NotRun,
  [RunState.MayHaveRun]: AttemptEnd.Unknown,
  [RunState.Ran]: AttemptEnd.RanNotKept,
};

const STATES: Readonly<Record<AttemptEnd, ClaimState>> = {
  [AttemptEnd.Finished]: ClaimState.Finished,
  [AttemptEnd.NotRun]: ClaimState.NotRun,
  [AttemptEnd.RanNotKept]: ClaimState.RanNotKept,
  [AttemptEnd.Unknown]: ClaimState.Unknown,
};
