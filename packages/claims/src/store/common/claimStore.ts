/** Reads and writes claims in the platform's table, and resolves lost responses by repeating the request. */
import type { Clock, RandomSource } from '@parsleymux/base';
import { PlatformError, PlatformFailure } from '@parsleymux/store';
import type { IClaim, IVersionedClaim } from '../../claim/common/claim.js';
import { ClaimState, decodeClaim, encodeClaim } from '../../claim/common/claim.js';
import type { GroupCommitter } from './groupCommitter.js';

const RETRY_MS = 20;

/** Result of an attempt to claim a row. */
export const ClaimWriteResult = {
  Won: 'won',
  /** The row is not as expected; this claim was not written and never will be. */
  Lost: 'lost',
  /** The store is unavailable; this claim was provably not written. */
  Unavailable: 'unavailable',
  /** The claim may have been written, or may still be written later. */
  Unresolved: 'unresolved',
} as const;

export type ClaimWriteResult = (typeof ClaimWriteResult)[keyof typeof ClaimWriteResult];

/** Result of a claim, with the version won or the conflicting row. */
export interface IClaimResult {
  readonly writeResult: ClaimWriteResult;
  /** Version of the row if won, otherwise 0. */
  readonly version: number;
  /** The current row if lost; undefined if it was removed. */
  readonly current: IVersionedClaim | undefined;
}

/** Result of comparing a row with its expected version. */
export interface ICheckedRow {
  readonly isUnchanged: boolean;
  /** The current row if changed; undefined if it was removed. */
  readonly current: IVersionedClaim | undefined;
}

/** Result of writing an outcome. */
export const OutcomeWriteResult = {
  Written: 'written',
  /** The row already contains an outcome, or was removed. */
  Settled: 'settled',
  /** The row contains another attempt. */
  Overtaken: 'overtaken',
} as const;

export type OutcomeWriteResult = (typeof OutcomeWriteResult)[keyof typeof OutcomeWriteResult];

/** Options of a {@link ClaimStore}. */
export interface IClaimStoreOptions {
  readonly committer: GroupCommitter;
  readonly clock: Clock;
  readonly random: RandomSource;
}

/**
 * Reads and writes claim rows.
 *
 * @example
 * const result = await store.claim(rowKey, 0, claim, clock.getMonotonicTime() + 500);
 */
export class ClaimStore {
  private readonly committer: GroupCommitter;
  private readonly clock: Clock;
  private readonly random: RandomSource;

  constructor(options: IClaimStoreOptions) {
    this.committer = options.committer;
    this.clock = options.clock;
    this.random = options.random;
  }

  /**
   * Checks whether a row still has `expectedVersion`; 0 means no row. This is a transaction
   * without writes, because a stale read could miss the row of a key that has run.
   * Rejects with a PlatformError.
   */
  async check(rowKey: string, expectedVersion: number): Promise<ICheckedRow> {
    if (this.committer.isStoreUnavailable()) {
      throw new PlatformError(PlatformFailure.NotSent, 'the store is not responding');
    }
    const change = { key: rowKey, expectedVersion, value: undefined };
    const { committed, row } = await this.committer.commit(change);
    const current = row === undefined ? undefined : decodeClaim(row);
    return { isUnchanged: committed, current };
  }

  /**
   * Writes `claim` if the row has `expectedVersion`; 0 means no row. If the response to the write
   * is lost, the same write is sent again: if the first was committed, the second finds this
   * claim's token in the row. A read would not suffice, because a delayed write can be committed
   * after it. Gives up at the monotonic time `untilMs`.
   */
  async claim(
    rowKey: string,
    expectedVersion: number,
    claim: IClaim,
    untilMs: number,
  ): Promise<IClaimResult> {
    if (this.committer.isStoreUnavailable()) return makeInconclusive(ClaimWriteResult.Unavailable);
    const change = { key: rowKey, expectedVersion, value: encodeClaim(claim) };
    let isPossiblyWritten = false;
    for (;;) {
      try {
        const result = await this.committer.commit(change);
        if (result.committed) return makeWon(expectedVersion + 1);
        const current = result.row === undefined ? undefined : decodeClaim(result.row);
        return isHeldBy(current, claim.token) ? makeWon(current.version) : makeLost(current);
      } catch (error) {
        if (!(error instanceof PlatformError)) throw error;
        isPossiblyWritten ||= error.failure === PlatformFailure.Unknown;
      }
      if (!isPossiblyWritten) return makeInconclusive(ClaimWriteResult.Unavailable);
      if (this.clock.getMonotonicTime() + RETRY_MS >= untilMs) {
        return makeInconclusive(ClaimWriteResult.Unresolved);
      }
      await this.clock.sleep(this.random.getJittered(RETRY_MS));
    }
  }

  /**
   * Writes the outcome of the attempt `claim.token`, whatever the current version of its row.
   * Rejects with a PlatformError if the platform did not respond; calling it again is safe.
   */
  async writeOutcome(
    rowKey: string,
    expectedVersion: number,
    claim: IClaim,
  ): Promise<OutcomeWriteResult> {
    const value = encodeClaim(claim);
    let version = expectedVersion;
    for (;;) {
      const result = await this.committer.commit({ key: rowKey, expectedVersion: version, value });
      if (result.committed) return OutcomeWriteResult.Written;
      if (result.row === undefined) return OutcomeWriteResult.Settled;
      const current = decodeClaim(result.row);
      if (current.claim.token !== claim.token) return OutcomeWriteResult.Overtaken;
      if (!isReplaceable(current.claim, claim)) return OutcomeWriteResult.Settled;
      version = current.version;
    }
  }
}

function isHeldBy(current: IVersionedClaim | undefined, token: string): current is IVersionedClaim {
  return current?.claim.token === token && current.claim.state === ClaimState.Running;
}

/** A proven outcome replaces an unsettled state, and also an operator's decision that it contradicts. */
function isReplaceable(current: IClaim, next: IClaim): boolean {
  if (current.state === ClaimState.Running) return true;
  if (next.state === ClaimState.NotRun || next.state === ClaimState.Unknown) return false;
  return current.state === ClaimState.Unknown || current.settlement !== undefined;
}

function makeWon(version: number): IClaimResult {
  return { writeResult: ClaimWriteResult.Won, version, current: undefined };
}

function makeLost(current: IVersionedClaim | undefined): IClaimResult {
  return { writeResult: ClaimWriteResult.Lost, version: 0, current };
}

function makeInconclusive(verdict: ClaimWriteResult): IClaimResult {
  return { writeResult: verdict, version: 0, current: undefined };
}
