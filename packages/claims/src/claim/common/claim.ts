/**
 * The row of one idempotency key. A node inserts it before it dispatches the request, and later
 * changes only update it. A release marks the row instead of deleting it: otherwise a delayed
 * claim could be inserted afterwards and hold the key for a request that has already ended. Only
 * the sweeper deletes rows, long after their last change.
 */
import type { ITableRow } from '@parsleymux/store';
import type { IStoredResponse } from './responseCodec.js';

/** State of the execution of a key. */
export const ClaimState = {
  /** Claimed. Only the claimer may dispatch; it may have dispatched already, or have terminated. */
  Running: 'running',
  /** Executed; the complete response is recorded. */
  Finished: 'finished',
  /** Executed; the response is not recorded. */
  RanNotKept: 'ran-not-kept',
  /** Dispatched without a usable response: a target may have executed it. */
  Unknown: 'unknown',
  /** Provably never executed: the key may be claimed again. */
  NotRun: 'not-run',
} as const;

export type ClaimState = (typeof ClaimState)[keyof typeof ClaimState];

/** An operator's decision on an outcome that the fleet could not determine. */
export interface ISettlement {
  readonly operator: string;
  readonly note: string;
  /** Wall time, in ms since the Unix epoch. */
  readonly settledAtMs: number;
}

/** The content of a claim row. */
export interface IClaim {
  readonly state: ClaimState;
  /** Random, unique token of the attempt that holds the claim. */
  readonly token: string;
  /** Peer address of the node that holds the claim. */
  readonly claimer: string;
  /** Digest of the request. The same key with a different digest is a conflict. */
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

/** A claim with the version of its row. */
export interface IVersionedClaim {
  readonly claim: IClaim;
  readonly version: number;
}

/**
 * Decodes a claim from its row.
 *
 * @example
 * const { claim, version } = decodeClaim(row);
 */
export function decodeClaim(row: ITableRow): IVersionedClaim {
  return { claim: JSON.parse(row.value) as IClaim, version: row.version };
}

/**
 * Encodes a claim as the value of its row.
 *
 * @example
 * writes.push({ key, value: encodeClaim(claim) });
 */
export function encodeClaim(claim: IClaim): string {
  return JSON.stringify(claim);
}
