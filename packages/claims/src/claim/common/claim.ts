/**
 * The row that stands for one idempotency key. It is inserted by whoever is about to dispatch
 * and only ever updated after that; a release marks it, and only the sweeper deletes, long after
 * the last change. Were it deleted on release, a claim that is late on its way to the table would
 * land on the empty place and hold the key for a request that is long over.
 */
import type { ITableRow } from '@parsleymux/store';
import type { IStoredResponse } from './responseCodec.js';

/** What is known of the one execution of a key. */
export const ClaimState = {
  /** Claimed; its claimer alone may dispatch, or has dispatched, or has died. */
  Running: 'running',
  /** Executed; the whole answer is recorded. */
  Finished: 'finished',
  /** Executed; the answer is not kept. */
  RanNotKept: 'ran-not-kept',
  /** Dispatched with no usable answer: a target may have executed it. */
  Unknown: 'unknown',
  /** Provably never executed: the key may be claimed again. */
  NotRun: 'not-run',
} as const;

export type ClaimState = (typeof ClaimState)[keyof typeof ClaimState];

/** An operator's word on an outcome that the system could not find out. */
export interface ISettlement {
  readonly operator: string;
  readonly note: string;
  /** Wall time, in ms since the Unix epoch. */
  readonly settledAtMs: number;
}

/** The content of a claim row. */
export interface IClaim {
  readonly state: ClaimState;
  /** Random name of the attempt that holds the claim. */
  readonly token: string;
  /** Peer address of the node that holds the claim. */
  readonly claimer: string;
  /** Digest of the request; the same key with another digest is a conflict. */
  readonly digest: string;
  /** Wall time of the claim, in ms since the Unix epoch. */
  readonly claimedAtMs: number;
  /** Wall time of the last change of state, in ms since the Unix epoch. */
  readonly changedAtMs: number;
  /** Present when finished. */
  readonly answer?: IStoredResponse;
  /** Present when an operator settled it. */
  readonly settlement?: ISettlement;
}

/** A claim as read from its row. */
export interface IVersionedClaim {
  readonly claim: IClaim;
  readonly version: number;
}

/**
 * Reads a claim from its row.
 *
 * @example
 * const { claim, version } = decodeClaim(row);
 */
export function decodeClaim(row: ITableRow): IVersionedClaim {
  return { claim: JSON.parse(row.value) as IClaim, version: row.version };
}

/**
 * The value of a claim's row.
 *
 * @example
 * writes.push({ key, value: encodeClaim(claim) });
 */
export function encodeClaim(claim: IClaim): string {
  return JSON.stringify(claim);
}
