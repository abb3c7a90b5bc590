/** Determines the outcome of a claim that another attempt holds or held. */
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
  IClaimLookUpRequest,
  IClaimLookUpResponse,
} from '../../peer/common/claimPeer.js';
import type { ClaimStore, ICheckedRow } from '../../store/common/claimStore.js';
import { makeKeyConflict, makeStillRunning } from './claimErrors.js';
import type { IClaimResolution, OutcomeSettler } from './outcomeSettler.js';
import { makeClaimable, makeReplayable } from './outcomeSettler.js';

/** Short enough to leave time to query the store and the targets if the claimer does not respond. */
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
  /** Whether the node may still be running. */
  readonly isLive: (address: string) => boolean;
  /** Time before the deadline at which waiting ends, so that the refusal reaches the caller in time. */
  readonly responseMarginMs: number;
  /** Time that an unresponsive, no longer listed claimer is retried before it counts as terminated. */
  readonly unlistedRetryMs: number;
}

/**
 * Waits for the outcome of claims. Throws a MuxError if it can't be determined before the deadline.
 *
 * @example
 * const resolution = await resolver.resolve(request, identity, known);
 */
export class ClaimResolver {
  constructor(private readonly options: IClaimResolverOptions) {}

  /**
   * Returns the response recorded under the key, or the version at which its row may be claimed.
   * Waits for the claimer until the request's deadline.
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
        // The claimer may have written the outcome and removed the attempt since the row was read.
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

  /** Returns the remaining time to wait for the request's outcome, in ms. */
  getTimeLeft(request: IRoutedRequest): number {
    const untilMs = request.deadlineMs - this.options.responseMarginMs;
    return Math.max(0, untilMs - this.options.clock.getMonotonicTime());
  }

  private readOutcome(
    request: IRoutedRequest,
    identity: IClaimIdentity,
    known: IVersionedClaim,
  ): Promise<IClaimResolution> {
    const remainingMs = this.getTimeLeft(request);
    return this.options.settler.readOutcome(request, identity, known, remainingMs);
  }

  private settle(
    request: IRoutedRequest,
    identity: IClaimIdentity,
    known: IVersionedClaim,
  ): Promise<IClaimResolution> {
    const remainingMs = this.getTimeLeft(request);
    return this.options.settler.settleByTargets(request, identity, known, remainingMs);
  }

  /** True if the process at the claimer's address never held the attempt, or no longer exists. */
  private isClaimerTerminated(
    claim: IClaim,
    lookUpResponse: IClaimLookUpResponse | undefined,
    startMs: number,
  ): boolean {
    if (lookUpResponse !== undefined) return true;
    const unresponsiveMs = this.options.clock.getMonotonicTime() - startMs;
    return unresponsiveMs >= this.options.unlistedRetryMs && !this.options.isLive(claim.claimer);
  }

  /** Returns undefined if the claimer does not respond. */
  private async fetchAttemptState(
    request: IRoutedRequest,
    identity: IClaimIdentity,
    claim: IClaim,
  ): Promise<IClaimLookUpResponse | undefined> {
    const waitMs = Math.min(MAX_LOOK_UP_MS, this.getTimeLeft(request));
    const { member, claimKey } = identity;
    const lookUpRequest = { member, claimKey, attemptToken: claim.token, waitMs };
    if (claim.claimer === this.options.nodeAddress)
      return this.options.handler.handle(lookUpRequest);
    return this.fetchFromPeer(claim.claimer, lookUpRequest);
  }

  private async fetchFromPeer(
    address: string,
    lookUpRequest: IClaimLookUpRequest,
  ): Promise<IClaimLookUpResponse | undefined> {
    const { clock, peer, responseMarginMs } = this.options;
    const stop = new AbortController();
    // A claimer that is paused, or whose responses are lost, would block the caller indefinitely.
    const limitMs = lookUpRequest.waitMs + responseMarginMs;
    const timer = clock.startTimer(limitMs, () => {
      stop.abort(new Error('claimer did not respond'));
    });
    const timeout = new Promise<undefined>((resolve) => {
      stop.signal.addEventListener('abort', () => {
        resolve(undefined);
      });
    });
    try {
      const lookUp = peer.lookUp(address, lookUpRequest, stop.signal).catch(() => undefined);
      return await Promise.race([lookUp, timeout]);
    } finally {
      void timer.dispose();
    }
  }

  /** Returns undefined if the store did not respond. */
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

/** A key whose request never ran may also be reused for a different request. */
function checkDigest(claim: IClaim, identity: IClaimIdentity): void {
  const isFree = claim.state === ClaimState.NotRun;
  if (!isFree && claim.digest !== identity.digest) throw makeKeyConflict();
}
