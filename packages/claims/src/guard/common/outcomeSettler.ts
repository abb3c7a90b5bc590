/** Reads recorded outcomes, and asks the targets where the fleet itself does not know. */
import type { Clock } from '@parsleymux/base';
import type { ObjectStore } from '@parsleymux/store';
import type { IRoutedRequest } from '@parsleymux/routing';
import type { IStoredResponse, ICompleteResponse } from '../../claim/common/responseCodec.js';
import { decodeResponse, encodeResponse, markReplayed } from '../../claim/common/responseCodec.js';
import type { IClaim, IVersionedClaim } from '../../claim/common/claim.js';
import { ClaimState } from '../../claim/common/claim.js';
import type { IClaimIdentity } from '../../claim/common/claimIdentity.js';
import { formatClaimRowKey } from '../../claim/common/claimIdentity.js';
import type { OutcomeLookUp } from '../../outcome/common/outcomeLookUp.js';
import { LookUpResult } from '../../outcome/common/outcomeLookUp.js';
import type { ClaimStore } from '../../store/common/claimStore.js';
import type { BackgroundRetrier } from './backgroundRetrier.js';
import {
  makeAnswerNotKept,
  makeResponseUnavailable,
  makeOutcomeSettled,
  makeOutcomeUnknown,
} from './claimErrors.js';

/** Options of an {@link OutcomeSettler}. All times are in ms. */
export interface IOutcomeSettlerOptions {
  readonly store: ClaimStore;
  readonly objects: ObjectStore;
  readonly lookUp: OutcomeLookUp;
  readonly retrier: BackgroundRetrier;
  readonly clock: Clock;
  /** Time after which a target's "never ran" is believed of an unknown outcome. */
  readonly quietPeriodMs: number;
  /** Longest time that an answer is held back for its record. */
  readonly recordWaitMs: number;
}

/** What is to be done about a claim: give the answer, or claim the row at its version. */
export interface IClaimResolution {
  readonly response: ICompleteResponse | undefined;
  /** Version at which the row may be claimed again. */
  readonly claimableVersion: number;
}

/**
 * Settles claims that no living claimer speaks for.
 *
 * @example
 * const result = await settler.readOutcome(request, identity, known, timeLeftMs);
 */
export class OutcomeSettler {
  constructor(private readonly options: IOutcomeSettlerOptions) {}

  /** What a row that is no longer running says. Throws a MuxError when there is no answer. */
  async readOutcome(
    request: IRoutedRequest,
    identity: IClaimIdentity,
    known: IVersionedClaim,
    timeLeftMs: number,
  ): Promise<IClaimResolution> {
    const { state, answer, settlement } = known.claim;
    if (state === ClaimState.NotRun) return makeClaimable(known.version);
    if (state === ClaimState.Unknown) {
      return this.settleByTargets(request, identity, known, timeLeftMs);
    }
    if (answer !== undefined) return makeReplayable(await this.loadResponse(answer));
    throw settlement === undefined ? makeAnswerNotKept() : makeOutcomeSettled();
  }

  /**
   * Nobody in the fleet knows the outcome. The targets' "it ran" settles it. Their "it never ran"
   * is believed only of a dispatch that its own claimer gave up long ago: a claimer that is
   * merely paused may dispatch yet, and a request that was sent may still be on its way.
   */
  async settleByTargets(
    request: IRoutedRequest,
    identity: IClaimIdentity,
    known: IVersionedClaim,
    timeLeftMs: number,
  ): Promise<IClaimResolution> {
    if (request.route.lookUpPath === '') throw makeOutcomeUnknown(false);
    if (timeLeftMs <= 0) throw makeOutcomeUnknown(true);
    const stop = new AbortController();
    const timer = this.options.clock.startTimer(timeLeftMs, () => {
      stop.abort(new Error('deadline passed'));
    });
    const targetOutcome = await this.options.lookUp.lookUp(request, stop.signal);
    void timer.dispose();
    if (targetOutcome.result === LookUpResult.Ran && targetOutcome.response !== undefined) {
      await this.recordResponse(identity, known, targetOutcome.response);
      return makeReplayable(markReplayed(targetOutcome.response));
    }
    if (targetOutcome.result === LookUpResult.NotRun && this.hasQuietPeriodPassed(known.claim)) {
      return makeClaimable(known.version);
    }
    throw makeOutcomeUnknown(true);
  }

  private async loadResponse(stored: IStoredResponse): Promise<ICompleteResponse> {
    if (stored.objectKey === undefined) return decodeResponse(stored);
    let body: Uint8Array | undefined;
    try {
      body = await this.options.objects.get(stored.objectKey);
    } catch (error) {
      throw makeResponseUnavailable(error);
    }
    if (body === undefined) throw makeAnswerNotKept();
    return decodeResponse(stored, body);
  }

  private hasQuietPeriodPassed(claim: IClaim): boolean {
    const ageMs = this.options.clock.getWallTime() - claim.changedAtMs;
    return claim.state === ClaimState.Unknown && ageMs >= this.options.quietPeriodMs;
  }

  private async recordResponse(
    identity: IClaimIdentity,
    known: IVersionedClaim,
    answer: ICompleteResponse,
  ): Promise<void> {
    const claim: IClaim = {
      ...known.claim,
      state: ClaimState.Finished,
      changedAtMs: this.options.clock.getWallTime(),
      answer: encodeResponse(answer),
    };
    const rowKey = formatClaimRowKey(identity.member, identity.claimKey);
    await this.options.retrier.start(async () => {
      await this.options.store.writeOutcome(rowKey, known.version, claim);
    }, this.options.recordWaitMs);
  }
}

/**
 * The claim is settled by `answer`.
 *
 * @example
 * return makeAnswered(decodeAnswerBytes(said.answer));
 */
export function makeReplayable(answer: ICompleteResponse): IClaimResolution {
  return { response: answer, claimableVersion: 0 };
}

/**
 * The row provably stands for no execution and may be claimed at `version`.
 *
 * @example
 * if (said?.state === ClaimLookUp.NOT_RUN) return makeClaimable(known.version);
 */
export function makeClaimable(version: number): IClaimResolution {
  return { response: undefined, claimableVersion: version };
}
