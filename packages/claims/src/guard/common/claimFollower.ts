/** Finds out what became of a claim that somebody else holds, or held. */
import type { Clock, RandomSource } from '@parsleymux/base';
import type { ObjectStore } from '@parsleymux/platform';
import type { IRoutedRequest } from '@parsleymux/routing';
import { ClaimLookUp } from '@parsleymux/schema';
import type { IStoredAnswer, IWholeAnswer } from '../../claim/common/answerCodec.js';
import {
  decodeAnswer,
  encodeAnswer,
  markReplayed,
  decodeAnswerBytes,
} from '../../claim/common/answerCodec.js';
import type { IClaim, IVersionedClaim } from '../../claim/common/claim.js';
import { ClaimState } from '../../claim/common/claim.js';
import type { IClaimIdentity } from '../../claim/common/claimIdentity.js';
import { formatClaimRowKey } from '../../claim/common/claimIdentity.js';
import type { OutcomeLookUp } from '../../outcome/common/outcomeLookUp.js';
import { TargetWord } from '../../outcome/common/outcomeLookUp.js';
import type { ClaimLookUpHandler } from '../../peer/common/claimLookUpHandler.js';
import type {
  ClaimPeer,
  IClaimLookUpAnswer,
  IClaimLookUpQuestion,
} from '../../peer/common/claimPeer.js';
import type { ClaimStore } from '../../store/common/claimStore.js';
import type { BackgroundRetrier } from './backgroundRetrier.js';
import {
  makeAnswerNotKept,
  makeAnswerUnavailable,
  makeOutcomeSettled,
  makeOutcomeUnknown,
  makeStillRunning,
} from './claimErrors.js';

const MAX_QUESTION_MS = 5000;
const SILENT_RETRY_MS = 100;

/** Options of a {@link ClaimFollower}. */
export interface IClaimFollowerOptions {
  readonly store: ClaimStore;
  readonly objects: ObjectStore;
  readonly handler: ClaimLookUpHandler;
  readonly peer: ClaimPeer;
  readonly lookUp: OutcomeLookUp;
  readonly retrier: BackgroundRetrier;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly nodeAddress: string;
  /** Whether the node may still be alive. */
  readonly isLive: (address: string) => boolean;
  /** Time before the deadline at which waiting ends, so that the refusal arrives in time, in ms. */
  readonly answerMarginMs: number;
  /** Longest time that a silent claimer which is listed as gone is asked again, in ms. */
  readonly goneWaitMs: number;
  /** Time after which a target's "never ran" is believed of an unknown outcome, in ms. */
  readonly quietMs: number;
}

/** What is to be done about a claim: give the answer, or claim the row at its version. */
export interface IFollowResult {
  readonly answer: IWholeAnswer | undefined;
  /** Version at which the row may be claimed again. */
  readonly claimableVersion: number;
}

/**
 * Follows claims to their outcome. Throws a MuxError when there is none to be had in time.
 *
 * @example
 * const result = await follower.resolve(request, identity, known);
 */
export class ClaimFollower {
  constructor(private readonly options: IClaimFollowerOptions) {}

  async resolve(
    request: IRoutedRequest,
    identity: IClaimIdentity,
    first: IVersionedClaim,
  ): Promise<IFollowResult> {
    let known = first;
    let silentSinceMs: number | undefined;
    for (;;) {
      if (known.claim.state !== ClaimState.Running)
        return this.readOutcome(request, identity, known);
      const said = await this.fetchState(request, identity, known.claim);
      if (said?.state === ClaimLookUp.FINISHED) return makeAnswered(decodeAnswerBytes(said.answer));
      if (said?.state === ClaimLookUp.NOT_RUN) return makeClaimable(known.version);
      if (said?.state === ClaimLookUp.RUNNING) {
        silentSinceMs = undefined;
        this.checkTimeLeft(request);
        continue;
      }
      // The claimer may have written the outcome and forgotten it since the row was read.
      const reread = await this.tryRead(identity);
      if (reread !== undefined && hasChanged(known, reread)) {
        known = reread;
        continue;
      }
      if (said !== undefined) return this.settleByTargets(request, identity, known);
      const nowMs = this.options.clock.getMonotonicTime();
      silentSinceMs ??= nowMs;
      if (this.isGone(known.claim.claimer, nowMs - silentSinceMs)) {
        return this.settleByTargets(request, identity, known);
      }
      this.checkTimeLeft(request);
      await this.options.clock.sleep(this.options.random.getJittered(SILENT_RETRY_MS));
    }
  }

  /** Time that may still be spent on waiting for the request's outcome, in ms. */
  getTimeLeft(request: IRoutedRequest): number {
    const untilMs = request.deadlineMs - this.options.answerMarginMs;
    return Math.max(0, untilMs - this.options.clock.getMonotonicTime());
  }

  private checkTimeLeft(request: IRoutedRequest): void {
    if (this.getTimeLeft(request) <= 0) throw makeStillRunning();
  }

  private isGone(claimer: string, silentMs: number): boolean {
    return silentMs >= this.options.goneWaitMs && !this.options.isLive(claimer);
  }

  /** Undefined when the claimer stays silent. */
  private async fetchState(
    request: IRoutedRequest,
    identity: IClaimIdentity,
    claim: IClaim,
  ): Promise<IClaimLookUpAnswer | undefined> {
    const waitMs = Math.min(MAX_QUESTION_MS, this.getTimeLeft(request));
    const { member, claimKey } = identity;
    const question = { member, claimKey, attemptToken: claim.token, waitMs };
    if (claim.claimer === this.options.nodeAddress) return this.options.handler.handle(question);
    return this.fetchFromPeer(claim.claimer, question);
  }

  private async fetchFromPeer(
    address: string,
    question: IClaimLookUpQuestion,
  ): Promise<IClaimLookUpAnswer | undefined> {
    const { clock, peer, answerMarginMs } = this.options;
    const stop = new AbortController();
    // A claimer that is paused, or hears us but is not heard, would hold the caller for ever.
    const timer = clock.startTimer(question.waitMs + answerMarginMs, () => {
      stop.abort(new Error('claimer is silent'));
    });
    const aborted = new Promise<undefined>((resolve) => {
      stop.signal.addEventListener('abort', () => {
        resolve(undefined);
      });
    });
    try {
      const asked = peer.lookUp(address, question, stop.signal).catch(() => undefined);
      return await Promise.race([asked, aborted]);
    } finally {
      void timer.dispose();
    }
  }

  private async tryRead(identity: IClaimIdentity): Promise<IVersionedClaim | undefined> {
    try {
      return await this.options.store.read(formatClaimRowKey(identity.member, identity.claimKey));
    } catch {
      return undefined;
    }
  }

  private async readOutcome(
    request: IRoutedRequest,
    identity: IClaimIdentity,
    known: IVersionedClaim,
  ): Promise<IFollowResult> {
    const { state, answer, settlement } = known.claim;
    if (state === ClaimState.NotRun) return makeClaimable(known.version);
    if (state === ClaimState.Unknown) return this.settleByTargets(request, identity, known);
    if (answer !== undefined) return makeAnswered(await this.loadAnswer(answer));
    throw settlement === undefined ? makeAnswerNotKept() : makeOutcomeSettled();
  }

  private async loadAnswer(stored: IStoredAnswer): Promise<IWholeAnswer> {
    if (stored.objectKey === undefined) return decodeAnswer(stored);
    let body: Uint8Array | undefined;
    try {
      body = await this.options.objects.get(stored.objectKey);
    } catch (error) {
      throw makeAnswerUnavailable(error);
    }
    if (body === undefined) throw makeAnswerNotKept();
    return decodeAnswer(stored, body);
  }

  /**
   * Nobody in the fleet knows the outcome. The targets' "it ran" settles it. Their "it never ran"
   * is believed only of a dispatch that its own claimer gave up long ago: a claimer that is
   * merely paused may dispatch yet, and a request that was sent may still be on its way.
   */
  private async settleByTargets(
    request: IRoutedRequest,
    identity: IClaimIdentity,
    known: IVersionedClaim,
  ): Promise<IFollowResult> {
    const canAsk = request.route.lookUpPath !== '';
    if (!canAsk) throw makeOutcomeUnknown(false);
    const stop = new AbortController();
    const timer = this.options.clock.startTimer(this.getTimeLeft(request), () => {
      stop.abort(new Error('deadline passed'));
    });
    const said = await this.options.lookUp.lookUp(request, stop.signal);
    void timer.dispose();
    if (said.word === TargetWord.Ran && said.answer !== undefined) {
      await this.recordAnswer(request, identity, known, said.answer);
      return makeAnswered(markReplayed(said.answer));
    }
    if (said.word === TargetWord.NotRun && this.isQuiet(known.claim)) {
      return makeClaimable(known.version);
    }
    throw makeOutcomeUnknown(canAsk);
  }

  private isQuiet(claim: IClaim): boolean {
    const ageMs = this.options.clock.getWallTime() - claim.changedAtMs;
    return claim.state === ClaimState.Unknown && ageMs >= this.options.quietMs;
  }

  private async recordAnswer(
    request: IRoutedRequest,
    identity: IClaimIdentity,
    known: IVersionedClaim,
    answer: IWholeAnswer,
  ): Promise<void> {
    const claim: IClaim = {
      ...known.claim,
      state: ClaimState.Finished,
      changedAtMs: this.options.clock.getWallTime(),
      answer: encodeAnswer(answer),
    };
    const rowKey = formatClaimRowKey(identity.member, identity.claimKey);
    await this.options.retrier.start(async () => {
      await this.options.store.writeOutcome(rowKey, known.version, claim);
    }, this.getTimeLeft(request));
  }
}

function hasChanged(before: IVersionedClaim, after: IVersionedClaim): boolean {
  return before.version !== after.version || before.claim.token !== after.claim.token;
}

function makeAnswered(answer: IWholeAnswer): IFollowResult {
  return { answer, claimableVersion: 0 };
}

function makeClaimable(version: number): IFollowResult {
  return { answer: undefined, claimableVersion: version };
}
