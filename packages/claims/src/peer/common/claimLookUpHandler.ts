/** Answers the questions of other nodes about attempts of this process. */
import type { Clock } from '@parsleymux/base';
import { ClaimLookUp } from '@parsleymux/schema';
import type { AttemptRegistry, IAttemptOutcome } from '../../attempt/common/attemptRegistry.js';
import { AttemptEnd } from '../../attempt/common/attemptRegistry.js';
import { waitWithTimeout } from '../../attempt/common/waitWithTimeout.js';
import { encodeResponseBytes } from '../../claim/common/responseCodec.js';
import { formatClaimRowKey } from '../../claim/common/claimIdentity.js';
import type { IClaimLookUpResponse, IClaimLookUpRequest } from './claimPeer.js';

const EMPTY_RESPONSE = new Uint8Array();
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
  async handle(question: IClaimLookUpRequest): Promise<IClaimLookUpResponse> {
    const attempt = this.registry.find(question.attemptToken);
    const rowKey = formatClaimRowKey(question.member, question.claimKey);
    // The row must match too: a token alone must not open another member's answer.
    if (attempt?.rowKey !== rowKey) return { state: ClaimLookUp.UNKNOWN, answer: EMPTY_RESPONSE };
    const waitMs = Math.min(question.waitMs, MAX_WAIT_MS);
    const outcome = await waitWithTimeout(this.clock, attempt.ended, waitMs);
    if (outcome === undefined) return { state: ClaimLookUp.RUNNING, answer: EMPTY_RESPONSE };
    return describeOutcome(outcome);
  }
}

function describeOutcome(outcome: IAttemptOutcome): IClaimLookUpResponse {
  if (outcome.end === AttemptEnd.NotRun)
    return { state: ClaimLookUp.NOT_RUN, answer: EMPTY_RESPONSE };
  if (outcome.response === undefined) return { state: ClaimLookUp.UNKNOWN, answer: EMPTY_RESPONSE };
  return { state: ClaimLookUp.FINISHED, answer: encodeResponseBytes(outcome.response) };
}
