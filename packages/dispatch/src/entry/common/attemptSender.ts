/** Sends one attempt of a request to one target, and judges what came of it. */
import type { Clock } from '@parsleymux/base';
import type { Header, TargetTransport } from '@parsleymux/routing';
import type { ITargetRecord } from '../../catalog/common/catalog.js';
import { formatLife } from '../../catalog/common/catalog.js';
import { GrantOutcome, hasCompleteResponse } from '../../grants/common/grant.js';
import type { KeyChecker } from '../../tenants/common/keyChecker.js';
import type { AnswerCheck, IAttemptResult } from './attemptOutcome.js';
import { decideAnswerOutcome, decideFailureOutcome } from './attemptOutcome.js';
import type { IEntryRequest } from './entryRequest.js';
import type { TargetNotices } from './targetNotices.js';

/** Answers above this size are not taken, in bytes: half of what a small VM can spare. */
const MAX_ANSWER_BYTES = 67_108_864;
/** The target is told to stop this much sooner, in ms, so that its own last word still arrives. */
const TARGET_MARGIN_MS = 20;

/** A target was granted that may not be used any more, or the request's key has ended meanwhile. */
const NOT_SENT: IAttemptResult = {
  outcome: GrantOutcome.Abandoned,
  mayHaveRun: false,
  answer: undefined,
};

/** Options of an {@link AttemptSender}. */
export interface IAttemptSenderOptions {
  readonly clock: Clock;
  readonly transport: TargetTransport;
  readonly notices: TargetNotices;
  readonly keys: KeyChecker;
  readonly isAuthentic: AnswerCheck;
  /** Headers that are added for one target. */
  readonly listTargetHeaders: (targetId: string) => readonly Header[];
}

/** How one attempt is sent. */
export interface ISendAttemptOptions {
  readonly signal: AbortSignal;
  /** Whether a kept connection must not be used. */
  readonly needsFreshConnection: boolean;
}

/**
 * @example
 * const { outcome } = await sender.send(request, target, { signal, needsFreshConnection: false });
 */
export class AttemptSender {
  constructor(private readonly options: IAttemptSenderOptions) {}

  async send(
    request: IEntryRequest,
    target: ITargetRecord,
    { needsFreshConnection: freshConnection, signal }: ISendAttemptOptions,
  ): Promise<IAttemptResult> {
    const { clock, isAuthentic, keys, listTargetHeaders, notices, transport } = this.options;
    // The grant may have waited in a queue; the target may have told this node meanwhile.
    if (notices.isExcluded(target)) return NOT_SENT;
    if (keys.checkAgain(request.sender, request.route).kind === 'refused') return NOT_SENT;
    const remainingMs = request.deadlineMs - clock.getMonotonicTime();
    try {
      const answer = await transport.send(
        {
          target: target.address,
          // Connections to a former life lead nowhere, or hang: each life has its own.
          member: formatLife(target),
          method: request.method,
          path: request.path,
          headers: [...request.headers, ...listTargetHeaders(target.id)],
          body: request.body,
          timeoutMs: remainingMs,
          targetTimeoutMs: Math.max(1, remainingMs - TARGET_MARGIN_MS),
        },
        { signal, maxResponseBytes: MAX_ANSWER_BYTES, freshConnection },
      );
      const result = decideAnswerOutcome(answer, isAuthentic);
      // What is not the target's own answer may bear anything.
      if (hasCompleteResponse(result.outcome)) notices.record(target, answer);
      return result;
    } catch (error) {
      return decideFailureOutcome(error);
    }
  }
}
