/** Answers the questions of other nodes about attempts of this process. */
import type { Clock } from '@parsleymux/base';
import { ClaimLookUp } from '@parsleymux/schema';
import type { AttemptRegistry, IAttemptOutcome } from '../../attempt/common/attemptRegistry.js';
import { AttemptEnd } from '../../attempt/common/attemptRegistry.js';
import { waitAtMost } from '../../attempt/common/waitAtMost.js';
import { encodeAnswerBytes } from '../../claim/common/answerCodec.js';
import { formatClaimRowKey } from '../../claim/common/claimIdentity.js';
import type { IClaimLookUpAnswer, IClaimLookUpQuestion } from './claimPeer.js';

const NO_ANSWER = new Uint8Array();
const MAX_WAIT_MS = 10_000;

/** Options of a {@link ClaimLookUpHandler}. */
export interface IClaimLookUpHandlerOptions {
  readonly registry: AttemptRegistry;
  readonly clock: Clock;
}

/**
 * The server side of ControlService.LookUpClaim.
 *
 * @example
 * const answer = await handler.handle({ member, claimKey, attemptToken, waitMs: 500 });
 */
export class ClaimLookUpHandler {
  private readonly registry: AttemptRegistry;
  private readonly clock: Clock;

  constructor(options: IClaimLookUpHandlerOptions) {
    this.registry = options.registry;
    this.clock = options.clock;
  }

  /** Waits for the attempt's end, at most `waitMs`. */
  async handle(question: IClaimLookUpQuestion): Promise<IClaimLookUpAnswer> {
    const attempt = this.registry.find(question.attemptToken);
    const rowKey = formatClaimRowKey(question.member, question.claimKey);
    // The row must match too: a token alone must not open another member's answer.
    if (attempt?.rowKey !== rowKey) return { state: ClaimLookUp.UNKNOWN, answer: NO_ANSWER };
    const waitMs = Math.min(question.waitMs, MAX_WAIT_MS);
    const outcome = await waitAtMost(this.clock, attempt.ended, waitMs);
    if (outcome === undefined) return { state: ClaimLookUp.RUNNING, answer: NO_ANSWER };
    return describeOutcome(outcome);
  }
}

function describeOutcome(outcome: IAttemptOutcome): IClaimLookUpAnswer {
  if (outcome.end === AttemptEnd.NotRun) return { state: ClaimLookUp.NOT_RUN, answer: NO_ANSWER };
  if (outcome.answer === undefined) return { state: ClaimLookUp.UNKNOWN, answer: NO_ANSWER };
  return { state: ClaimLookUp.FINISHED, answer: encodeAnswerBytes(outcome.answer) };
}
