/** What the targets of one service say of themselves in answers: that they leave, or which limit they have. */
import type { Clock } from '@parsleymux/base';
import type {
  GrantOutcome,
  IAdvertisedLimit,
  IReportedResponse,
} from '../../grants/common/grant.js';
import { hasCompleteResponse } from '../../grants/common/grant.js';
import type { TargetState } from './targetState.js';
import type { ServiceLog } from './serviceLog.js';
import type { IPeerGrants, ServiceTargets } from './serviceTargets.js';
import type { IRateEvidence } from './targetRateLimit.js';
import type { Ticket } from './ticket.js';

/** Options of {@link TargetNoticeRecorder}. */
export interface ITargetNoticeRecorderOptions {
  readonly clock: Clock;
  readonly targets: ServiceTargets;
  readonly serviceLog: ServiceLog;
}

/**
 * Takes them from answers, from entries that ask, and from other homes, which no entry is to find out by itself.
 *
 * @example
 * statements.record(ticket, target, outcome, answer);
 */
export class TargetNoticeRecorder {
  constructor(private readonly options: ITargetNoticeRecorderOptions) {}

  /** Takes what the answer to a request says, and what it does not say any more. */
  record(
    ticket: Ticket,
    target: TargetState,
    outcome: GrantOutcome,
    { isDraining: isLeaving, rateLimit }: IReportedResponse,
  ): void {
    if (isLeaving) this.recordDraining(ticket, target);
    if (hasCompleteResponse(outcome)) this.recordLimit(ticket, target, rateLimit);
  }

  /** Takes limits that an entry knows which asks for a grant. */
  applyAdvertisedLimits(limits: readonly IAdvertisedLimit[]): void {
    const nowMs = this.options.clock.getMonotonicTime();
    for (const { ageMs, bornMs, ratePerS, targetId } of limits) {
      this.options.targets.applyLimit(targetId, bornMs, { ratePerS, atMs: nowMs - ageMs });
    }
  }

  /** Another home was told that a target leaves. */
  applyDraining(targetId: string, bornMs: number | undefined): void {
    this.options.targets.applyDraining(targetId, bornMs);
  }

  /** Another home knows of the limit that a target names, and has granted it requests itself. */
  applyLimit(
    targetId: string,
    bornMs: number | undefined,
    evidence: IRateEvidence,
    grants: IPeerGrants,
  ): void {
    const { targets } = this.options;
    targets.applyLimit(targetId, bornMs, evidence);
    targets.recordPeerGrants(targetId, bornMs, grants);
  }

  private recordDraining(ticket: Ticket, target: TargetState): void {
    if (target.hasReportedDraining) return;
    target.hasReportedDraining = true;
    this.options.serviceLog.logDraining(ticket, target);
  }

  /**
   * An answer that names no limit is as of its request's grant or later, so it ends only a limit that was
   * named before: answers of slower requests come in any order.
   */
  private recordLimit(ticket: Ticket, target: TargetState, ratePerS: number | undefined): void {
    const { clock, serviceLog } = this.options;
    const nowMs = clock.getMonotonicTime();
    const before = target.rateLimit.ratePerS;
    const atMs = ratePerS === undefined ? ticket.grantedMs : nowMs;
    target.rateLimit.apply({ ratePerS, atMs }, nowMs);
    if (target.rateLimit.ratePerS !== before) serviceLog.logLimit(ticket, target, before);
  }
}
