/** Who asks, and whether they may. */
import type { Clock } from '@parsleymux/base';
import { MuxError, ResultCode, RunState } from '@parsleymux/base';
import type { AuditLog } from '../../audit/common/auditLog.js';
import type { KeyStore } from '../../keys/common/keyStore.js';
import { compareSecrets, FLEET_MEMBER } from '../../keys/common/operatorKey.js';
import { RateLimiter } from './rateLimiter.js';

const LOOPBACK_ADDRESS = /^(::ffff:)?127\.|^::1$/;
const BEARER_HEADER = /^Bearer ([\x21-\x7e]+)$/i;
/** Wrong keys from one address: enough for typing errors, too few to load the store. */
const FAILURES_PER_SECOND = 0.5;
const FAILURE_BURST = 20;
/** Audited refusals of one key or address: a flood of them must not flood the store. */
const AUDITS_PER_SECOND = 0.1;
const AUDIT_BURST = 10;

/** An operator whose key was verified. */
export interface IOperator {
  readonly keyId: string;
  /** "@fleet" for operators of the fleet. */
  readonly member: string;
  readonly isFleet: boolean;
}

/** Where a request comes from. */
export interface IAccessRequest {
  readonly authorization: string | undefined;
  readonly remoteAddress: string;
  /** What is wanted, for the audit log. */
  readonly action: string;
}

/** Options of an {@link AccessControl}. */
export interface IAccessControlOptions {
  readonly keys: KeyStore;
  readonly audit: AuditLog;
  readonly clock: Clock;
}

/**
 * Verifies keys, and keeps operators to their own member.
 *
 * @example
 * const operator = await access.verify(request, signal);
 * await access.checkMember(operator, 'dobrescu', 'intent.submit', signal);
 */
export class AccessControl {
  private readonly failureLimiter: RateLimiter;
  private readonly auditLimiter: RateLimiter;
  private unauditedCount = 0;

  constructor(private readonly options: IAccessControlOptions) {
    const { clock } = options;
    this.failureLimiter = new RateLimiter({
      clock,
      perSecond: FAILURES_PER_SECOND,
      burst: FAILURE_BURST,
    });
    this.auditLimiter = new RateLimiter({
      clock,
      perSecond: AUDITS_PER_SECOND,
      burst: AUDIT_BURST,
    });
  }

  /** Refusals that were left out of the audit log because too many came at once. */
  getUnauditedCount(): number {
    return this.unauditedCount;
  }

  /** The operator. Throws Unauthenticated, LimitExceeded, StoreUnavailable. */
  async verify(request: IAccessRequest, signal: AbortSignal): Promise<IOperator> {
    this.checkFailureRate(request.remoteAddress);
    const key = BEARER_HEADER.exec(request.authorization ?? '')?.[1];
    const row = key === undefined ? undefined : await this.options.keys.verify(key, signal);
    if (row !== undefined) {
      return { keyId: row.id, member: row.member, isFleet: row.member === FLEET_MEMBER };
    }
    await this.recordFailure(request, signal);
    const message = 'the request needs "authorization: Bearer KEY" with a key in force';
    throw new MuxError({ code: ResultCode.Unauthenticated, message, runState: RunState.NotRun });
  }

  /**
   * Refuses whoever does not prove the secret that the nodes share. Without a secret only clients
   * on this VM pass. Throws Forbidden, LimitExceeded.
   */
  async checkSecret(
    request: IAccessRequest,
    secret: string | undefined,
    signal: AbortSignal,
  ): Promise<void> {
    this.checkFailureRate(request.remoteAddress);
    const offered = BEARER_HEADER.exec(request.authorization ?? '')?.[1] ?? '';
    const isTrusted =
      secret === undefined
        ? LOOPBACK_ADDRESS.test(request.remoteAddress)
        : compareSecrets(offered, secret);
    if (isTrusted) return;
    await this.recordFailure(request, signal);
    const message = "the first key needs proof of the fleet's secret";
    throw new MuxError({ code: ResultCode.Forbidden, message, runState: RunState.NotRun });
  }

  /**
   * Refuses and audits an attempt at another member's rows. The entry goes into the asker's own
   * log and the fleet's; the other member's log would tell it who its rivals are.
   */
  async checkMember(
    operator: IOperator,
    member: string,
    action: string,
    signal: AbortSignal,
  ): Promise<void> {
    if (operator.member === member) return;
    const { keyId } = operator;
    await this.auditRefusal(operator.member, keyId, action, 'another member', keyId, signal);
    if (!operator.isFleet) {
      await this.auditRefusal(FLEET_MEMBER, keyId, action, member, `fleet ${keyId}`, signal);
    }
    const message = "the operator's key is not one of the member that the request names";
    throw new MuxError({ code: ResultCode.Forbidden, message, runState: RunState.NotRun });
  }

  /** Guessing must be slow, and must not load the store. */
  private checkFailureRate(address: string): void {
    const waitMs = this.failureLimiter.getWaitMs(address);
    if (waitMs === 0) return;
    throw new MuxError({
      code: ResultCode.LimitExceeded,
      message: 'too many wrong keys came from this address',
      runState: RunState.NotRun,
      retryAfterMs: waitMs,
    });
  }

  private async recordFailure(request: IAccessRequest, signal: AbortSignal): Promise<void> {
    const { remoteAddress, action } = request;
    this.failureLimiter.spend(remoteAddress);
    await this.auditRefusal(
      FLEET_MEMBER,
      'anonymous',
      action,
      remoteAddress,
      remoteAddress,
      signal,
    );
  }

  private async auditRefusal(
    member: string,
    operator: string,
    action: string,
    subject: string,
    limitName: string,
    signal: AbortSignal,
  ): Promise<void> {
    if (!this.auditLimiter.spend(limitName)) {
      this.unauditedCount += 1;
      return;
    }
    const atMs = Math.trunc(this.options.clock.getWallTime());
    const code = operator === 'anonymous' ? ResultCode.Unauthenticated : ResultCode.Forbidden;
    const entry = { atMs, operator, member, action, subject, code, note: 'refused' };
    await this.options.audit.record(entry, signal);
  }
}
