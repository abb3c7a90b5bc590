/** Finds out what became of a claim that somebody else holds, or held. */
import type { Clock, RandomSource } from '@parsleymux/base';
import type { IRoutedRequest } from '@parsleymux/routing';
import { ClaimLookUp } from '@parsleymux/schema';
import { decodeResponseBytes } from '../../claim/common/responseCodec.js';
import type { IClaim, IVersionedClaim } from '../../claim/common/claim.js';
import { ClaimState } from '../../claim/common/claim.js';
import type { IClaimIdentity } from '../../claim/common/claimIdentity.js';
import { formatClaimRowKey } from '../../claim/common/claimIdentity.js';
import type { ClaimLookUpHandler } from '../../peer/common/claimLookUpHandler.js';
import type {
  ClaimPeer,
  IClaimLookUpResponse,
  IClaimLookUpRequest,
} from '../../peer/common/claimPeer.js';
import type { ClaimStore, ICheckedRow } from '../../store/common/claimStore.js';
import { makeKeyConflict, makeStillRunning } from './claimErrors.js';
import type { IClaimResolution, OutcomeSettler } from './outcomeSettler.js';
import { makeReplayable, makeClaimable } from './outcomeSettler.js';

/** Short enough that a claimer's silence leaves time to ask the store and the targets. */
const MAX_LOOK_UP_MS = 1000;
const RETRY_MS = 100;

/** Options of a {@link ClaimResolver}. All times are in ms. */
export interface IClaimResolverOptions {
  readonly store: ClaimStore;
  readonly handler: ClaimLookUpHandler;
  readonly peer: ClaimPeer;
  readonly settler: OutcomeSettler;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly nodeAddress: string;
  /** Whether the node may still be alive. */
  readonly isLive: (address: string) => boolean;
  /** Time before the deadline at which waiting ends, so that the refusal arrives in time. */
  readonly responseMarginMs: number;
  /** Longest time that a silent claimer which is listed as gone is asked again. */
  readonly unlistedRetryMs: number;
}

/**
 * Follows claims to their outcome. Throws a MuxError when there is none to be had in time.
 *
 * @example
 * const result = await follower.resolve(request, identity, known);
 */
export class ClaimResolver {
  constructor(private readonly options: IClaimResolverOptions) {}

  /**
   * The answer under the key, or the version at which its row may be claimed. Waits for the
   * claimer until the request's deadline.
   */
  async resolve(
    request: IRoutedRequest,
    identity: IClaimIdentity,
    first: IVersionedClaim,
  ): Promise<IClaimResolution> {
    const { clock, random } = this.options;
    const startMs = clock.getMonotonicTime();
    let known = first;
    for (;;) {
      checkDigest(known.claim, identity);
      if (known.claim.state !== ClaimState.Running) {
        return this.readOutcome(request, identity, known);
      }
      const lookUpResponse = await this.fetchAttemptState(request, identity, known.claim);
      if (lookUpResponse?.state === ClaimLookUp.FINISHED)
        return makeReplayable(decodeResponseBytes(lookUpResponse.answer));
      if (lookUpResponse?.state === ClaimLookUp.NOT_RUN) return makeClaimable(known.version);
      if (lookUpResponse?.state !== ClaimLookUp.RUNNING) {
        // The claimer may have written the outcome and forgotten it since the row was read.
        const checked = await this.tryCheck(identity, known.version);
        const isUnchanged = checked?.isUnchanged === true;
        if (isUnchanged && this.isClaimerTerminated(known.claim, lookUpResponse, startMs)) {
          return this.settle(request, identity, known);
        }
        if (checked?.current === undefined) await clock.sleep(random.getJittered(RETRY_MS));
        known = checked?.current ?? known;
      }
      if (this.getTimeLeft(request) <= 0) throw makeStillRunning();
    }
  }

  /** Time that may still be spent on waiting for the request's outcome, in ms. */
  getTimeLeft(request: IRoutedRequest): number {
    const untilMs = request.deadlineMs - this.options.responseMarginMs;
    return Math.max(0, untilMs - this.options.clock.getMonotonicTime());
  }

  private readOutcome(
    request: IRoutedRequest,
    identity: IClaimIdentity,
    known: IVersionedClaim,
  ): Promise<IClaimResolution> {
    const leftMs = this.getTimeLeft(request);
    return this.options.settler.readOutcome(request, identity, known, leftMs);
  }

  private settle(
    request: IRoutedRequest,
    identity: IClaimIdentity,
    known: IVersionedClaim,
  ): Promise<IClaimResolution> {
    const leftMs = this.getTimeLeft(request);
    return this.options.settler.settleByTargets(request, identity, known, leftMs);
  }

  /** The process at the claimer's address never had the attempt, or nothing is there any more. */
  private isClaimerTerminated(
    claim: IClaim,
    said: IClaimLookUpResponse | undefined,
    startMs: number,
  ): boolean {
    if (said !== undefined) return true;
    const silentMs = this.options.clock.getMonotonicTime() - startMs;
    return silentMs >= this.options.unlistedRetryMs && !this.options.isLive(claim.claimer);
  }

  /** Undefined when the claimer stays silent. */
  private async fetchAttemptState(
    request: IRoutedRequest,
    identity: IClaimIdentity,
    claim: IClaim,
  ): Promise<IClaimLookUpResponse | undefined> {
    const waitMs = Math.min(MAX_LOOK_UP_MS, this.getTimeLeft(request));
    const { member, claimKey } = identity;
    const question = { member, claimKey, attemptToken: claim.token, waitMs };
    if (claim.claimer === this.options.nodeAddress) return this.options.handler.handle(question);
    return this.fetchFromPeer(claim.claimer, question);
  }

  private async fetchFromPeer(
    address: string,
    question: IClaimLookUpRequest,
  ): Promise<IClaimLookUpResponse | undefined> {
    const { clock, peer, responseMarginMs: answerMarginMs } = this.options;
    const stop = new AbortController();
    // A claimer that is paused, or hears us but is not heard, would hold the caller for ever.
    const limitMs = question.waitMs + answerMarginMs;
    const timer = clock.startTimer(limitMs, () => {
      stop.abort(new Error('claimer is silent'));
    });
    const silence = new Promise<undefined>((resolve) => {
      stop.signal.addEventListener('abort', () => {
        resolve(undefined);
      });
    });
    try {
      const asked = peer.lookUp(address, question, stop.signal).catch(() => undefined);
      return await Promise.race([asked, silence]);
    } finally {
      void timer.dispose();
    }
  }

  /** Undefined when the store gave no answer. */
  private async tryCheck(
    identity: IClaimIdentity,
    expectedVersion: number,
  ): Promise<ICheckedRow | undefined> {
    const rowKey = formatClaimRowKey(identity.member, identity.claimKey);
    try {
      return await this.options.store.check(rowKey, expectedVersion);
    } catch {
      return undefined;
    }
  }
}

/** A key whose request never ran is free, also for another request. */
function checkDigest(claim: IClaim, identity: IClaimIdentity): void {
  const isFree = claim.state === ClaimState.NotRun;
  if (!isFree && claim.digest !== identity.digest) throw makeKeyConflict();
}
