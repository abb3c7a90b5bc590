/** Records the notices that targets of one service send in responses: drain notices and rate limits. */
import type { Clock } from '@parsleymux/base';
import type {
  GrantOutcome,
  IAdvertisedLimit,
  IReportedResponse,
} from '../../grants/common/grant.js';
import { hasCompleteResponse } from '../../grants/common/grant.js';
import type { TargetState } from './targetState.js';
import type { ServiceLog } from '../../scheduler/common/serviceLog.js';
import type { IPeerGrants, ServiceTargets } from './serviceTargets.js';
import type { IRateEvidence } from './targetRateLimit.js';
import type { Ticket } from '../../scheduler/common/ticket.js';

/** Options of {@link TargetNoticeRecorder}. */
export interface ITargetNoticeRecorderOptions {
  readonly clock: Clock;
  readonly targets: ServiceTargets;
  readonly serviceLog: ServiceLog;
}

/**
 * Combines the notices from responses, grant requests and other homes, so that each notice affects the
 * grants of all entries without each of them having to send a request to the target.
 *
 * @example
 * notices.record(ticket, target, outcome, response);
 */
export class TargetNoticeRecorder {
  constructor(private readonly options: ITargetNoticeRecorderOptions) {}

  /** Records the notices in a response, and the end of a limit that the response no longer advertises. */
  record(
    ticket: Ticket,
    target: TargetState,
    outcome: GrantOutcome,
    { isDraining, rateLimit }: IReportedResponse,
  ): void {
    if (isDraining) this.recordDraining(ticket, target);
    if (hasCompleteResponse(outcome)) this.recordLimit(ticket, target, rateLimit);
  }

  /** Applies the limits that an entry sends with a grant request. */
  applyAdvertisedLimits(limits: readonly IAdvertisedLimit[]): void {
    const nowMs = this.options.clock.getMonotonicTime();
    for (const { ageMs, bornMs, ratePerS, targetId } of limits) {
      this.options.targets.applyLimit(targetId, bornMs, { ratePerS, atMs: nowMs - ageMs });
    }
  }

  /** Records that a target has reported to another home that it is draining. */
  applyDraining(targetId: string, bornMs: number | undefined): void {
    this.options.targets.applyDraining(targetId, bornMs);
  }

  /** Applies another home's evidence of a target's limit, and the requests which that home has granted. */
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
   * A response without a limit proves only that the target had none at some time after the grant.
   * Responses arrive in any order, so it ends only a limit that was advertised before that grant.
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
