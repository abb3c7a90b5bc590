/** Authenticates operators and authorizes their requests. */
import type { Clock } from '@parsleymux/base';
import { MuxError, ResultCode, RunState } from '@parsleymux/base';
import type { AuditLog } from '../../audit/common/auditLog.js';
import type { KeyStore } from '../../keys/common/keyStore.js';
import { compareSecrets, FLEET_MEMBER } from '../../keys/common/operatorKey.js';
import { RateLimiter } from './rateLimiter.js';

const LOOPBACK_ADDRESS = /^(::ffff:)?127\.|^::1$/;
const BEARER_HEADER = /^Bearer ([\x21-\x7e]+)$/i;
/** Limits of wrong keys from one address: enough for typing errors, too few to load the store. */
const FAILURES_PER_SECOND = 0.5;
const FAILURE_BURST = 20;
/** Limits of audited rejections of one key or address, so that a flood of them can't load the store. */
const AUDITS_PER_SECOND = 0.1;
const AUDIT_BURST = 10;

/** An authenticated operator. */
export interface IOperator {
  readonly keyId: string;
  /** "@fleet" for operators of the fleet. */
  readonly member: string;
  readonly isFleet: boolean;
}

/** Properties of a request that decide on its access. */
export interface IAccessRequest {
  readonly authorization: string | undefined;
  readonly remoteAddress: string;
  /** Name of the requested operation, for the audit log. */
  readonly action: string;
}

/** Options of an {@link AccessControl}. */
export interface IAccessControlOptions {
  readonly keys: KeyStore;
  readonly audit: AuditLog;
  readonly clock: Clock;
}

/**
 * Verifies keys, and restricts operators to their own member.
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

  /** Number of rejections missing from the audit log because they exceeded its rate limit. */
  getUnauditedCount(): number {
    return this.unauditedCount;
  }

  /** Returns the operator of the request's key. Throws Unauthenticated, LimitExceeded, StoreUnavailable. */
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
   * Rejects clients that do not present the secret that the nodes share. Without a secret, only clients
   * on this VM are accepted. Throws Forbidden, LimitExceeded.
   */
  async checkSecret(
    request: IAccessRequest,
    secret: string | undefined,
    signal: AbortSignal,
  ): Promise<void> {
    this.checkFailureRate(request.remoteAddress);
    const presented = BEARER_HEADER.exec(request.authorization ?? '')?.[1] ?? '';
    const isAccepted =
      secret === undefined
        ? LOOPBACK_ADDRESS.test(request.remoteAddress)
        : compareSecrets(presented, secret);
    if (isAccepted) return;
    await this.recordFailure(request, signal);
    const message = "the first key needs proof of the fleet's secret";
    throw new MuxError({ code: ResultCode.Forbidden, message, runState: RunState.NotRun });
  }

  /**
   * Rejects and audits an attempt to access another member's data. The entry is written to the logs of
   * the operator's member and of the fleet; in the other member's log it would disclose to that member
   * which other members exist.
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

  /** Limits the rate of wrong keys: guessing must be slow and must not load the store. */
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
    limiterKey: string,
    signal: AbortSignal,
  ): Promise<void> {
    if (!this.auditLimiter.spend(limiterKey)) {
      this.unauditedCount += 1;
      return;
    }
    const atMs = Math.trunc(this.options.clock.getWallTime());
    const code = operator === 'anonymous' ? ResultCode.Unauthenticated : ResultCode.Forbidden;
    const entry = { atMs, operator, member, action, subject, code, note: 'refused' };
    await this.options.audit.record(entry, signal);
  }
}
