/** Reads recorded outcomes, and queries the targets if the fleet has no outcome. */
import type { Clock } from '@parsleymux/base';
import type { ObjectStore } from '@parsleymux/store';
import type { IRoutedRequest } from '@parsleymux/routing';
import type { ICompleteResponse, IStoredResponse } from '../../claim/common/responseCodec.js';
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
  makeOutcomeSettled,
  makeOutcomeUnknown,
  makeResponseUnavailable,
} from './claimErrors.js';

/** Options of an {@link OutcomeSettler}. All times are in ms. */
export interface IOutcomeSettlerOptions {
  readonly store: ClaimStore;
  readonly objects: ObjectStore;
  readonly lookUp: OutcomeLookUp;
  readonly retrier: BackgroundRetrier;
  readonly clock: Clock;
  /** Minimum age of an unknown outcome at which the targets' "not run" is accepted. */
  readonly quietPeriodMs: number;
  /** Maximum time that a response is delayed until it is recorded. */
  readonly recordWaitMs: number;
}

/** Resolution of a claim: a response to replay, or the version at which the row may be claimed. */
export interface IClaimResolution {
  readonly response: ICompleteResponse | undefined;
  /** Version at which the row may be claimed again. */
  readonly claimableVersion: number;
}

/**
 * Settles claims that have an outcome or whose claimer has terminated.
 *
 * @example
 * const resolution = await settler.readOutcome(request, identity, known, timeLeftMs);
 */
export class OutcomeSettler {
  constructor(private readonly options: IOutcomeSettlerOptions) {}

  /** Resolves a row that is no longer running. Throws a MuxError if it has no response. */
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
   * Queries the targets for an outcome that is unknown to the fleet. A target's "ran" settles the
   * claim. "Not run" is accepted only once the quiet period has passed since the claimer itself
   * recorded the outcome as unknown: a claimer that is merely paused may still dispatch, and a
   * request that was sent may still be in flight.
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
    response: ICompleteResponse,
  ): Promise<void> {
    const claim: IClaim = {
      ...known.claim,
      state: ClaimState.Finished,
      changedAtMs: this.options.clock.getWallTime(),
      answer: encodeResponse(response),
    };
    const rowKey = formatClaimRowKey(identity.member, identity.claimKey);
    await this.options.retrier.start(async () => {
      await this.options.store.writeOutcome(rowKey, known.version, claim);
    }, this.options.recordWaitMs);
  }
}

/**
 * Creates a resolution that replays `response`.
 *
 * @example
 * return makeReplayable(decodeResponseBytes(lookUpResponse.answer));
 */
export function makeReplayable(response: ICompleteResponse): IClaimResolution {
  return { response, claimableVersion: 0 };
}

/**
 * Creates a resolution for a row that provably has no execution and may be claimed at `version`.
 *
 * @example
 * if (lookUpResponse?.state === ClaimLookUp.NOT_RUN) return makeClaimable(known.version);
 */
export function makeClaimable(version: number): IClaimResolution {
  return { response: undefined, claimableVersion: version };
}
