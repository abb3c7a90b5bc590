/** Encodes and decodes the protobuf messages of grants. */
import { create } from '@bufbuild/protobuf';
import type { Ask, Decision, TargetLimit } from '@parsleymux/schema';
import {
  AskSchema,
  DecisionKind,
  DecisionSchema,
  Outcome,
  TargetLimitSchema,
} from '@parsleymux/schema';
import {
  decodeFingerprint,
  encodeFingerprint,
} from '../../quarantine/common/quarantineMessages.js';
import type { GrantDecision, IGrantRequest } from '@parsleymux/scheduling';
import { GrantOutcome } from '@parsleymux/scheduling';
import { toUint32 } from './integerFields.js';

const PERMILLE = 1000;
/** Maximum number of limits in one grant request, so that it fits into one packet. */
const MAX_LIMITS_PER_REQUEST = 8;
const MILLI = 1000;

const OUTCOMES: Readonly<Record<GrantOutcome, Outcome>> = {
  [GrantOutcome.Succeeded]: Outcome.SUCCEEDED,
  [GrantOutcome.Failed]: Outcome.FAILED,
  [GrantOutcome.Shed]: Outcome.SHED,
  [GrantOutcome.Unreachable]: Outcome.UNREACHABLE,
  [GrantOutcome.Broken]: Outcome.BROKEN,
  [GrantOutcome.TimedOut]: Outcome.TIMED_OUT,
  [GrantOutcome.Abandoned]: Outcome.ABANDONED,
  [GrantOutcome.Misdirected]: Outcome.MISDIRECTED,
  [GrantOutcome.Stale]: Outcome.STALE,
};

const OUTCOME_NAMES = new Map(
  Object.entries(OUTCOMES).map(([name, outcome]) => [outcome, name as GrantOutcome]),
);

/**
 * @example
 * encodeOutcome(GrantOutcome.Failed); // Outcome.FAILED
 */
export function encodeOutcome(outcome: GrantOutcome): Outcome {
  return OUTCOMES[outcome];
}

/** Unknown outcomes of a newer version are decoded as abandoned, which is no evidence. */
export function decodeOutcome(outcome: Outcome): GrantOutcome {
  return OUTCOME_NAMES.get(outcome) ?? GrantOutcome.Abandoned;
}

/**
 * @example
 * channel.send(home, { case: 'ask', value: encodeAsk(request, 7n, incarnation) });
 */
export function encodeAsk(request: IGrantRequest, id: bigint, incarnation: number): Ask {
  return create(AskSchema, {
    id,
    incarnation,
    requestId: request.requestId,
    fingerprints: request.fingerprints.map(encodeFingerprint),
    route: request.route,
    service: request.service,
    failureDomain: request.failureDomain,
    attempt: toUint32(request.attempt),
    idempotent: request.isIdempotent,
    mayRetry: request.mayRetry,
    hedge: request.isHedge,
    ...(request.key === undefined ? {} : { key: Buffer.from(request.key, 'base64url') }),
    catalogVersion: BigInt(request.catalogVersion),
    charged: request.isCharged,
    repeated: request.isRepeated,
    retry: request.isRetry,
    priority: toUint32(request.priority),
    remainingMs: toUint32(Math.floor(request.remainingMs)),
    objectiveMs: toUint32(Math.floor(request.objectiveMs)),
    excluded: [...request.excluded],
    connected: [...request.connected],
    limits: request.limits
      .slice(0, MAX_LIMITS_PER_REQUEST)
      .map((limit) => encodeLimit(limit, limit.ageMs)),
  });
}

/** Decodes a grant request. */
export function decodeAsk(ask: Ask): IGrantRequest {
  return {
    requestId: ask.requestId,
    fingerprints: ask.fingerprints.map(decodeFingerprint),
    route: ask.route,
    service: ask.service,
    failureDomain: ask.failureDomain,
    attempt: ask.attempt,
    isIdempotent: ask.idempotent,
    mayRetry: ask.mayRetry,
    isHedge: ask.hedge,
    key: ask.key === undefined ? undefined : Buffer.from(ask.key).toString('base64url'),
    catalogVersion: Number(ask.catalogVersion),
    isCharged: ask.charged,
    isRepeated: ask.repeated,
    // Older entries don't set the field; any attempt after the first one is a retry.
    isRetry: ask.retry || ask.attempt > 1,
    priority: ask.priority,
    remainingMs: ask.remainingMs,
    objectiveMs: ask.objectiveMs,
    excluded: ask.excluded,
    connected: ask.connected,
    limits: ask.limits.flatMap(({ ageMs, bornMs, rateMilli, targetId }) => {
      const ratePerS = decodeRate(rateMilli);
      if (ratePerS === undefined) return [];
      return { targetId, bornMs: decodeBornMs(bornMs), ratePerS, ageMs };
    }),
  };
}

/** The fields of a grant request that its decisions refer to. */
export type AskReference = Pick<Ask, 'id' | 'incarnation' | 'catalogVersion'>;

/**
 * Encodes the decision on a grant request; undefined stands for a queued request. It states `ownVersion`, the
 * configuration that the home has in force, if the request was accepted under an older one.
 */
export function encodeDecision(
  { catalogVersion: askVersion, id: askId, incarnation }: AskReference,
  decision: GrantDecision | undefined,
  ownVersion = 0,
): Decision {
  const catalogVersion = ownVersion > Number(askVersion) ? BigInt(ownVersion) : 0n;
  if (decision === undefined) {
    const kind = DecisionKind.QUEUED;
    return create(DecisionSchema, { askId, incarnation, catalogVersion, kind });
  }
  if (decision.kind === 'refused') {
    return create(DecisionSchema, {
      askId,
      incarnation,
      catalogVersion,
      kind: DecisionKind.REFUSED,
      retryAfterMs: toUint32(Math.ceil(decision.retryAfterMs)),
      resultCode: decision.code,
    });
  }
  return create(DecisionSchema, {
    askId,
    incarnation,
    catalogVersion,
    kind: DecisionKind.GRANTED,
    targetId: decision.target.id,
    ...encodeBornMs(decision.target.bornMs),
    suspicionPermille: toUint32(decision.suspicion * PERMILLE),
    freshConnection: decision.needsFreshConnection,
  });
}

/** Encodes the target's incarnation; omits the field if the target doesn't distinguish incarnations. */
export function encodeBornMs(bornMs: number | undefined): { readonly bornMs?: bigint } {
  return bornMs === undefined ? {} : { bornMs: BigInt(bornMs) };
}

/** Decodes the start of a target's incarnation, in ms of Unix time. */
export function decodeBornMs(bornMs: bigint | undefined): number | undefined {
  return bornMs === undefined ? undefined : Number(bornMs);
}

/** Encodes a target's limit, received in a response `ageMs` ago. */
export function encodeLimit(
  limit: {
    readonly targetId: string;
    readonly bornMs: number | undefined;
    readonly ratePerS: number | undefined;
    readonly granted?: number;
  },
  ageMs: number,
): TargetLimit {
  const rateMilli = encodeRate(limit.ratePerS);
  return create(TargetLimitSchema, {
    targetId: limit.targetId,
    ...encodeBornMs(limit.bornMs),
    ...(rateMilli === undefined ? {} : { rateMilli }),
    ageMs: toUint32(ageMs),
    granted: BigInt(limit.granted ?? 0),
  });
}

/** Encodes a rate in thousandths of a request per second; undefined stands for no limit. */
export function encodeRate(ratePerS: number | undefined): number | undefined {
  return ratePerS === undefined ? undefined : toUint32(Math.floor(ratePerS * MILLI));
}

/** Decodes a rate to requests per second. */
export function decodeRate(rateMilli: number | undefined): number | undefined {
  return rateMilli === undefined ? undefined : rateMilli / MILLI;
}

/** Decodes the probability that the target is failing, from 0 to 1. */
export function decodeSuspicion(decision: Decision): number {
  return decision.suspicionPermille / PERMILLE;
}
