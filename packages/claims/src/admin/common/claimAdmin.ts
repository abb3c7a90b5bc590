/** Shows claims to operators and lets them settle outcomes that the fleet can't determine. */
import { create } from '@bufbuild/protobuf';
import type { Clock } from '@parsleymux/base';
import { MuxError, ResultCode, RunState } from '@parsleymux/base';
import { PlatformError } from '@parsleymux/store';
import type { ClaimInfo } from '@parsleymux/schema';
import { ClaimInfoSchema, ClaimLookUp, ClaimOutcome } from '@parsleymux/schema';
import type { IClaim, IVersionedClaim } from '../../claim/common/claim.js';
import { ClaimState, decodeClaim, encodeClaim } from '../../claim/common/claim.js';
import { computeClaimKey, formatClaimRowKey } from '../../claim/common/claimIdentity.js';
import type { ClaimPeer } from '../../peer/common/claimPeer.js';
import type { GroupCommitter, IRowChange, IRowResult } from '../../store/common/groupCommitter.js';

const HASHED_KEY = /^[0-9a-f]{64}$/;
const LOOK_UP_TIMEOUT_MS = 1000;
const DEFAULT_MIN_AGE_MS = 900_000;
const STORE_RETRY_MS = 2000;

/** Options of a {@link ClaimAdmin}. */
export interface IClaimAdminOptions {
  readonly committer: GroupCommitter;
  readonly clock: Clock;
  readonly peer: ClaimPeer;
  /** Whether the platform lists the node or peers have reported it. */
  readonly isLive: (address: string) => boolean;
  /**
   * Minimum age at which a claim whose claimer has terminated may be settled as not run, in ms.
   * It exceeds every deadline: a claimer that was only paused finds its deadline passed by then
   * and does not dispatch. Default 15 minutes.
   */
  readonly minAgeMs?: number;
}

/** An operator's decision on the outcome of a claim. */
export interface ISettleRequest {
  readonly member: string;
  /** The caller's idempotency key, or its SHA-256 in hexadecimal. */
  readonly claimKey: string;
  readonly outcome: ClaimOutcome;
  readonly operator: string;
  readonly note: string;
}

/**
 * Reads and settles claims for operators. The caller writes the audit log.
 *
 * @example
 * const info = await admin.settle({ member, claimKey, outcome, operator, note }, signal);
 */
export class ClaimAdmin {
  private readonly minAgeMs: number;

  constructor(private readonly options: IClaimAdminOptions) {
    this.minAgeMs = options.minAgeMs ?? DEFAULT_MIN_AGE_MS;
  }

  /** Returns the claim, or undefined when there is none. Throws StoreUnavailable. */
  async getClaim(
    member: string,
    claimKey: string,
    signal: AbortSignal,
  ): Promise<ClaimInfo | undefined> {
    signal.throwIfAborted();
    const hashed = hashKey(claimKey);
    const existing = await this.find(formatClaimRowKey(member, hashed));
    return existing === undefined ? undefined : describeClaim(member, hashed, existing.claim);
  }

  /**
   * Settles a claim that has no outcome if its claimer has terminated and its row has not
   * changed since it was read. Throws ClaimNotSettleable, NotFound, StoreUnavailable.
   */
  async settle(request: ISettleRequest, signal: AbortSignal): Promise<ClaimInfo> {
    const hashed = hashKey(request.claimKey);
    const rowKey = formatClaimRowKey(request.member, hashed);
    const existing = await this.find(rowKey);
    if (existing === undefined) {
      throw refuse(ResultCode.NotFound, 'there is no claim under this idempotency key');
    }
    await this.checkSettleable(request, hashed, existing.claim, signal);
    const settled = this.makeSettled(request, existing.claim);
    await this.write(rowKey, existing.version, settled);
    return describeClaim(request.member, hashed, settled);
  }

  private async checkSettleable(
    request: ISettleRequest,
    hashed: string,
    claim: IClaim,
    signal: AbortSignal,
  ): Promise<void> {
    if (claim.state === ClaimState.Unknown) return;
    if (claim.state !== ClaimState.Running) {
      throw refuseSettling(`its outcome is known: ${claim.state}`);
    }
    const isTerminated = await this.isClaimerTerminated(request.member, hashed, claim, signal);
    if (!isTerminated) throw refuseSettling(`node ${claim.claimer} still answers for it, or may`);
    const ageMs = this.options.clock.getWallTime() - claim.claimedAtMs;
    if (request.outcome === ClaimOutcome.NOT_RUN && ageMs < this.minAgeMs) {
      throw refuseSettling('its claimer may be paused; "not-run" is taken after 15 minutes');
    }
  }

  /** True if the process at the claimer's address never held the attempt, or the VM is no longer listed. */
  private async isClaimerTerminated(
    member: string,
    claimKey: string,
    claim: IClaim,
    signal: AbortSignal,
  ): Promise<boolean> {
    const { peer, isLive } = this.options;
    const lookUpRequest = { member, claimKey, attemptToken: claim.token, waitMs: 0 };
    const timeoutSignal = AbortSignal.any([signal, AbortSignal.timeout(LOOK_UP_TIMEOUT_MS)]);
    try {
      const lookUpResponse = await peer.lookUp(claim.claimer, lookUpRequest, timeoutSignal);
      return lookUpResponse.state === ClaimLookUp.UNKNOWN;
    } catch {
      return !isLive(claim.claimer);
    }
  }

  private makeSettled(request: ISettleRequest, claim: IClaim): IClaim {
    const nowMs = this.options.clock.getWallTime();
    const hasRun = request.outcome === ClaimOutcome.RAN;
    return {
      ...claim,
      state: hasRun ? ClaimState.RanNotKept : ClaimState.NotRun,
      changedAtMs: nowMs,
      settlement: { operator: request.operator, note: request.note, settledAtMs: nowMs },
    };
  }

  private async find(rowKey: string): Promise<IVersionedClaim | undefined> {
    const { row } = await this.commit({ key: rowKey, expectedVersion: 0, value: undefined });
    return row === undefined ? undefined : decodeClaim(row);
  }

  private async write(rowKey: string, expectedVersion: number, claim: IClaim): Promise<void> {
    const result = await this.commit({ key: rowKey, expectedVersion, value: encodeClaim(claim) });
    if (result.committed) return;
    // The write is repeated when its response is lost, so finding this settlement in the row is success.
    const current = result.row === undefined ? undefined : decodeClaim(result.row).claim;
    const settlement = claim.settlement;
    const isThisSettlement =
      current?.settlement?.settledAtMs === settlement?.settledAtMs &&
      current?.settlement?.operator === settlement?.operator;
    if (!isThisSettlement) throw refuseSettling('it changed meanwhile; look at it again');
  }

  private async commit(change: IRowChange): Promise<IRowResult> {
    try {
      return await this.commitWithRetry(change);
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      throw new MuxError({
        code: ResultCode.StoreUnavailable,
        message: 'the store gave no answer; look at the claim again before settling it anew',
        runState: RunState.MayHaveRun,
        retryAfterMs: STORE_RETRY_MS,
        cause: error,
      });
    }
  }

  private async commitWithRetry(change: IRowChange): Promise<IRowResult> {
    try {
      return await this.options.committer.commit(change);
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      return this.options.committer.commit(change);
    }
  }
}

function hashKey(claimKey: string): string {
  return HASHED_KEY.test(claimKey) ? claimKey : computeClaimKey(claimKey);
}

function describeClaim(member: string, claimKey: string, claim: IClaim): ClaimInfo {
  return create(ClaimInfoSchema, {
    member,
    claimKey,
    state: claim.state,
    claimer: claim.claimer,
    claimedAtMs: BigInt(Math.trunc(claim.claimedAtMs)),
    changedAtMs: BigInt(Math.trunc(claim.changedAtMs)),
    settledBy: claim.settlement?.operator ?? '',
    note: claim.settlement?.note ?? '',
  });
}

function refuse(code: ResultCode, message: string): MuxError {
  return new MuxError({ code, message, runState: RunState.NotRun });
}

function refuseSettling(reason: string): MuxError {
  return refuse(ResultCode.ClaimNotSettleable, `the claim can't be settled: ${reason}`);
}
