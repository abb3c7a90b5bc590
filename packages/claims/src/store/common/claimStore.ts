/** Claims in the platform's table, with every lost answer settled by asking again. */
import type { Clock, RandomSource } from '@parsleymux/base';
import { PlatformError, PlatformFailure } from '@parsleymux/store';
import type { IClaim, IVersionedClaim } from '../../claim/common/claim.js';
import { ClaimState, decodeClaim, encodeClaim } from '../../claim/common/claim.js';
import type { GroupCommitter } from './groupCommitter.js';

const RETRY_MS = 20;

/** What an attempt to claim came to. */
export const ClaimWriteResult = {
  Won: 'won',
  /** The row is not as expected; nothing of ours is in it or ever will be. */
  Lost: 'lost',
  /** Provably not written. */
  Unavailable: 'unavailable',
  /** It may be written, now or later. */
  Unresolved: 'unresolved',
} as const;

export type ClaimWriteResult = (typeof ClaimWriteResult)[keyof typeof ClaimWriteResult];

/** The verdict, with the version won or the row that stands in the way. */
export interface IClaimResult {
  readonly writeResult: ClaimWriteResult;
  /** Version of the row when won. */
  readonly version: number;
  /** The row when lost; undefined when it has gone. */
  readonly current: IVersionedClaim | undefined;
}

/** The state of a row against what it was expected to be. */
export interface ICheckedRow {
  readonly isUnchanged: boolean;
  /** The row when changed; undefined when it has gone. */
  readonly current: IVersionedClaim | undefined;
}

/** What became of writing an outcome. */
export const OutcomeWriteResult = {
  Written: 'written',
  /** The row holds an outcome already, or has expired. */
  Settled: 'settled',
  /** The row holds another attempt. */
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
   * Checks whether a row still has `expectedVersion`; 0 means no row. It is a transaction
   * without writes: a read may be served stale, and would then deny a key that has run.
   * Rejects with a PlatformError.
   */
  async check(rowKey: string, expectedVersion: number): Promise<ICheckedRow> {
    if (this.committer.isStoreUnavailable()) {
      throw new PlatformError(PlatformFailure.NotSent, 'the store has fallen silent');
    }
    const change = { key: rowKey, expectedVersion, value: undefined };
    const { committed, row } = await this.committer.commit(change);
    const current = row === undefined ? undefined : decodeClaim(row);
    return { isUnchanged: committed, current };
  }

  /**
   * Writes `claim` if the row has `expectedVersion`; 0 means no row. An answer that is lost
   * after the write is settled by sending the same write again: if the first took effect, the
   * second finds our own token in the row. A read would not do, for a write that is late can
   * land after the read. Gives up at the monotonic instant `untilMs`.
   */
  async claim(
    rowKey: string,
    expectedVersion: number,
    claim: IClaim,
    untilMs: number,
  ): Promise<IClaimResult> {
    if (this.committer.isStoreUnavailable()) return makeInconclusive(ClaimWriteResult.Unavailable);
    const change = { key: rowKey, expectedVersion, value: encodeClaim(claim) };
    let mayBeWritten = false;
    for (;;) {
      try {
        const result = await this.committer.commit(change);
        if (result.committed) return makeWon(expectedVersion + 1);
        const current = result.row === undefined ? undefined : decodeClaim(result.row);
        return isHeldBy(current, claim.token) ? makeWon(current.version) : makeLost(current);
      } catch (error) {
        if (!(error instanceof PlatformError)) throw error;
        mayBeWritten ||= error.failure === PlatformFailure.Unknown;
      }
      if (!mayBeWritten) return makeInconclusive(ClaimWriteResult.Unavailable);
      if (this.clock.getMonotonicTime() + RETRY_MS >= untilMs) {
        return makeInconclusive(ClaimWriteResult.Unresolved);
      }
      await this.clock.sleep(this.random.getJittered(RETRY_MS));
    }
  }

  /**
   * Writes the outcome of the attempt `claim.token`, whatever version its row has come to.
   * Rejects with a PlatformError when the platform gave no answer; calling it again is safe.
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

/** A proven outcome replaces what was open, and also an operator's word that it contradicts. */
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
