/** Claims a key, dispatches under the claim, and records what came of it. */
import type { Clock, InvariantRegistry, RandomSource } from '@parsleymux/base';
import { MuxError, RunState } from '@parsleymux/base';
import type { ObjectStore } from '@parsleymux/store';
import type { IResponse, IGuardedAttempt } from '@parsleymux/routing';
import type { AttemptRegistry, IAttemptOutcome } from '../../attempt/common/attemptRegistry.js';
import { Attempt, AttemptEnd } from '../../attempt/common/attemptRegistry.js';
import type { IStoredAnswer, IWholeAnswer } from '../../claim/common/answerCodec.js';
import { encodeAnswer, encodeAnswerHead } from '../../claim/common/answerCodec.js';
import type { IClaim, IVersionedClaim } from '../../claim/common/claim.js';
import { ClaimState } from '../../claim/common/claim.js';
import type { IClaimIdentity } from '../../claim/common/claimIdentity.js';
import { formatClaimRowKey } from '../../claim/common/claimIdentity.js';
import type { ClaimMetrics } from '../../metrics/common/claimMetrics.js';
import type { ClaimStore } from '../../store/common/claimStore.js';
import { ClaimVerdict } from '../../store/common/claimStore.js';
import { readWholeBody } from './wholeBody.js';
import type { BackgroundRetrier } from './backgroundRetrier.js';
import { makeCallerGone, makeDeadlinePassed, makeStoreUnavailable } from './claimErrors.js';
import { makeAnswerNotKept, makeUnexpectedError } from './claimErrors.js';

/** By day, so that a rule of the object store can remove what is older than claims are kept. */
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
  /** Largest answer that is kept, in bytes. */
  readonly maxAnswerBytes: number;
  /** Largest body that is recorded in the row itself, in bytes. */
  readonly maxRowBytes: number;
  /** Longest wait for a claim whose answer was lost, in ms. */
  readonly claimWaitMs: number;
  /** Longest time that an answer is held back for its record, in ms. */
  readonly recordWaitMs: number;
}

/** Either the outcome of this attempt, or the row that was found in its place. */
export interface IRunResult {
  readonly outcome: IAttemptOutcome | undefined;
  readonly current: IVersionedClaim | undefined;
}

const EMPTY_ROW: IRunResult = { outcome: undefined, current: undefined };

/**
 * Runs attempts of this process. Throws a MuxError when the attempt ended without running.
 *
 * @example
 * const result = await runner.run(attempt, identity, 0, signal);
 */
export class ClaimRunner {
  constructor(private readonly options: IClaimRunnerOptions) {}

  /** Claims the row at `expectedVersion` and, when that is won, dispatches. */
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
    this.options.metrics.verdicts.inc({ member: identity.member, verdict: result.verdict });
    switch (result.verdict) {
      case ClaimVerdict.Won:
        return this.runClaimed(guarded, attempt, claim, result.version, signal);
      case ClaimVerdict.Lost:
        this.remove(attempt);
        return { ...EMPTY_ROW, current: result.current };
      case ClaimVerdict.Unavailable:
        this.remove(attempt);
        throw this.makeStoreUnavailable();
      case ClaimVerdict.Unresolved:
        // The claim may stand, or land later, although nobody will ever run it. Until the row
        // says so, this process answers "not run" to whoever finds our token there.
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
    const refusal = this.findLateRefusal(guarded, signal);
    if (refusal !== undefined) {
      await this.release(attempt, claim, version, refusal, false);
      throw refusal;
    }
    const outcome = await this.dispatch(guarded, attempt);
    this.options.metrics.ends.inc({ member: guarded.request.member, end: outcome.end });
    if (outcome.end === AttemptEnd.NotRun) {
      await this.release(attempt, claim, version, outcome.error, true);
      if (outcome.error !== undefined) throw outcome.error;
      return { ...EMPTY_ROW, outcome };
    }
    attempt.end(outcome, true);
    await this.options.retrier.start(
      () => this.record(attempt, claim, version, outcome),
      this.options.recordWaitMs,
    );
    return { ...EMPTY_ROW, outcome };
  }

  /** Drops an attempt whose claim is not in the table and never will be. */
  private remove(attempt: Attempt): void {
    attempt.end({ end: AttemptEnd.NotRun }, false);
    this.options.registry.remove(attempt);
  }

  /** The process may have been paused between the claim's commit and now. */
  private findLateRefusal(guarded: IGuardedAttempt, signal: AbortSignal): MuxError | undefined {
    const { deadlineMs } = guarded.request;
    if (this.options.clock.getMonotonicTime() >= deadlineMs) return makeDeadlinePassed();
    if (signal.aborted) return makeCallerGone();
    return undefined;
  }

  /**
   * The caller's signal is not passed on: whoever hangs up cancels reads, never a request that
   * may be running. Its answer is recorded for the caller's next try.
   */
  private async dispatch(guarded: IGuardedAttempt, attempt: Attempt): Promise<IAttemptOutcome> {
    attempt.recordDispatch();
    try {
      const answer = await guarded.run(new AbortController().signal);
      return await this.readOutcome(answer);
    } catch (error) {
      const failure = error instanceof MuxError ? error : makeUnexpectedError(error);
      return { end: ENDS[failure.runState], error: failure };
    }
  }

  private async readOutcome(answer: IResponse): Promise<IAttemptOutcome> {
    const body = await readWholeBody(answer.body, this.options.maxAnswerBytes);
    if (body === undefined) return { end: AttemptEnd.RanNotKept, error: makeAnswerNotKept() };
    // A target's own refusal is passed on as it is and leaves the key free.
    const end = answer.runState === RunState.NotRun ? AttemptEnd.NotRun : AttemptEnd.Finished;
    return { end, answer: { ...answer, body } };
  }

  private async release(
    attempt: Attempt,
    claim: IClaim,
    expectedVersion: number,
    error: MuxError | undefined,
    isProved: boolean,
  ): Promise<void> {
    attempt.end({ end: AttemptEnd.NotRun, ...(error === undefined ? {} : { error }) }, isProved);
    const released = this.makeNextClaim(claim, ClaimState.NotRun);
    // Not waited for: whoever asks meanwhile is told by this process that it was not run.
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
      outcome.answer === undefined ? undefined : await this.storeAnswer(attempt, outcome.answer);
    const next = { ...this.makeNextClaim(claim, state), ...(stored ? { answer: stored } : {}) };
    await this.options.store.writeOutcome(attempt.rowKey, version, next);
    this.options.registry.remove(attempt);
  }

  private async storeAnswer(attempt: Attempt, answer: IWholeAnswer): Promise<IStoredAnswer> {
    if (answer.body.length <= this.options.maxRowBytes) return encodeAnswer(answer);
    // The row names the object only after the object is whole, so no reader finds half of one.
    const day = new Date(this.options.clock.getWallTime()).toISOString().slice(0, DAY_LENGTH);
    const objectKey = `${OBJECT_PREFIX}${day}/${attempt.rowKey}/${attempt.token}`;
    await this.options.objects.put(objectKey, answer.body);
    return encodeAnswerHead(answer, objectKey);
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
