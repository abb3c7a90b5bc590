/** Handles requests of other nodes for the state of attempts of this process. */
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
 * const response = await handler.handle({ member, claimKey, attemptToken, waitMs: 500 });
 */
export class ClaimLookUpHandler {
  private readonly registry: AttemptRegistry;
  private readonly clock: Clock;

  constructor(options: IClaimLookUpHandlerOptions) {
    this.registry = options.registry;
    this.clock = options.clock;
  }

  /** Returns the state of the attempt, after waiting up to `waitMs` for its end. */
  async handle(request: IClaimLookUpRequest): Promise<IClaimLookUpResponse> {
    const attempt = this.registry.find(request.attemptToken);
    const rowKey = formatClaimRowKey(request.member, request.claimKey);
    // The row must match too: a token alone must not give access to another member's response.
    if (attempt?.rowKey !== rowKey) return { state: ClaimLookUp.UNKNOWN, answer: EMPTY_RESPONSE };
    const waitMs = Math.min(request.waitMs, MAX_WAIT_MS);
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
