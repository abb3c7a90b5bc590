/** Sends one attempt of a request to one target and determines its outcome. */
import type { Clock } from '@parsleymux/base';
import type { Header } from '@parsleymux/routing';
import type { ITargetRecord } from '@parsleymux/scheduling';
import { formatIncarnation, GrantOutcome, hasCompleteResponse } from '@parsleymux/scheduling';
import type { TargetDispatcher } from '../../relay/common/targetDispatcher.js';
import type { KeyChecker } from '../../tenants/common/keyChecker.js';
import type { ResponseCheck, IAttemptResult } from './attemptOutcome.js';
import { decideResponseOutcome, decideFailureOutcome } from './attemptOutcome.js';
import type { IEntryRequest } from './entryRequest.js';
import type { TargetNotices } from './targetNotices.js';

/** Largest accepted response, in bytes: half of the memory that a small VM can spare. */
const MAX_RESPONSE_BYTES = 67_108_864;
/** The target gets a deadline this much earlier, in ms, so that its own timeout response still arrives. */
const TARGET_MARGIN_MS = 20;

/** The granted target may no longer be used, or the request's key has been revoked in the meantime. */
const NOT_SENT: IAttemptResult = {
  outcome: GrantOutcome.Abandoned,
  mayHaveRun: false,
  response: undefined,
};

/** Options of an {@link AttemptSender}. */
export interface IAttemptSenderOptions {
  readonly clock: Clock;
  readonly dispatcher: TargetDispatcher;
  readonly notices: TargetNotices;
  readonly keys: KeyChecker;
  readonly isAuthentic: ResponseCheck;
  /** Headers to add for a particular target. */
  readonly listTargetHeaders: (targetId: string) => readonly Header[];
}

/** How one attempt is sent. */
export interface ISendAttemptOptions {
  readonly signal: AbortSignal;
  /** Whether the attempt must use a new connection. */
  readonly needsFreshConnection: boolean;
  /** Time without any response after which the path to the targets is checked, in ms. */
  readonly silenceMs: number;
  /** Called once if the path is lost while the target is silent; its response may still arrive. */
  readonly onPathFault: () => void;
  /** Whether a peer is tried first, because connections of this node have failed. */
  readonly prefersPeer: boolean;
}

/**
 * Sends attempts and records the notices of targets.
 *
 * @example
 * const { outcome } = await sender.send(request, target, options);
 */
export class AttemptSender {
  constructor(private readonly options: IAttemptSenderOptions) {}

  async send(
    request: IEntryRequest,
    target: ITargetRecord,
    options: ISendAttemptOptions,
  ): Promise<IAttemptResult> {
    const { clock, dispatcher, isAuthentic, keys, listTargetHeaders, notices } = this.options;
    // While the grant waited in a queue, the target may have reported that it is draining or overloaded.
    if (notices.isExcluded(target)) return NOT_SENT;
    if (keys.checkAgain(request.sender, request.route).kind === 'refused') return NOT_SENT;
    const remainingMs = request.deadlineMs - clock.getMonotonicTime();
    let relay: string | undefined;
    try {
      const response = await dispatcher.send(
        target,
        {
          target: target.address,
          // Connections to an earlier incarnation are dead or hang, so each incarnation has its own.
          member: formatIncarnation(target),
          method: request.method,
          path: request.path,
          headers: [...request.headers, ...listTargetHeaders(target.id)],
          body: request.body,
          timeoutMs: remainingMs,
          targetTimeoutMs: Math.max(1, remainingMs - TARGET_MARGIN_MS),
        },
        {
          signal: options.signal,
          onPathFault: options.onPathFault,
          prefersPeer: options.prefersPeer,
          silenceMs: options.silenceMs,
          freshConnection: options.needsFreshConnection,
          requestId: request.id,
          isIdempotent: request.route.isIdempotent,
          maxResponseBytes: MAX_RESPONSE_BYTES,
          onRelay: (peer) => {
            relay = peer;
          },
        },
      );
      const result = decideResponseOutcome(response, isAuthentic);
      // Headers of a response that is not the target's own can't be relied on.
      if (hasCompleteResponse(result.outcome)) notices.record(target, response);
      return { ...result, relay };
    } catch (error) {
      return { ...decideFailureOutcome(error), relay };
    }
  }
}
