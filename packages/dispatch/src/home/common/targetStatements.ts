/** What the targets of one service say of themselves in answers: that they leave, or which limit they have. */
import type { Clock } from '@parsleymux/base';
import type { GrantOutcome, INamedLimit, IReportedAnswer } from '../../grants/common/grant.js';
import { isAnswered } from '../../grants/common/grant.js';
import type { BookedTarget } from './bookedTarget.js';
import type { ServiceLog } from './serviceLog.js';
import type { IHomeGrants, ServiceTargets } from './serviceTargets.js';
import type { IRateEvidence } from './targetRateLimit.js';
import type { Ticket } from './ticket.js';

/** Options of {@link TargetStatements}. */
export interface ITargetStatementsOptions {
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
export class TargetStatements {
  constructor(private readonly options: ITargetStatementsOptions) {}

  /** Takes what the answer to a request says, and what it does not say any more. */
  record(
    ticket: Ticket,
    target: BookedTarget,
    outcome: GrantOutcome,
    { isLeaving, rateLimit }: IReportedAnswer,
  ): void {
    if (isLeaving) this.recordLeaving(ticket, target);
    if (isAnswered(outcome)) this.recordLimit(ticket, target, rateLimit);
  }

  /** Takes limits that an entry knows which asks for a grant. */
  applyNamed(limits: readonly INamedLimit[]): void {
    const nowMs = this.options.clock.getMonotonicTime();
    for (const { ageMs, bornMs, ratePerS, targetId } of limits) {
      this.options.targets.applyLimit(targetId, bornMs, { ratePerS, atMs: nowMs - ageMs });
    }
  }

  /** Another home was told that a target leaves. */
  applyLeaving(targetId: string, bornMs: number | undefined): void {
    this.options.targets.applyLeaving(targetId, bornMs);
  }

  /** Another home knows of the limit that a target names, and has granted it requests itself. */
  applyLimit(
    targetId: string,
    bornMs: number | undefined,
    evidence: IRateEvidence,
    grants: IHomeGrants,
  ): void {
    const { targets } = this.options;
    targets.applyLimit(targetId, bornMs, evidence);
    targets.recordGrantedElsewhere(targetId, bornMs, grants);
  }

  private recordLeaving(ticket: Ticket, target: BookedTarget): void {
    if (target.isLeaving) return;
    target.isLeaving = true;
    this.options.serviceLog.logLeaving(ticket, target);
  }

  /**
   * An answer that names no limit is as of its request's grant or later, so it ends only a limit that was
   * named before: answers of slower requests come in any order.
   */
  private recordLimit(ticket: Ticket, target: BookedTarget, ratePerS: number | undefined): void {
    const { clock, serviceLog } = this.options;
    const nowMs = clock.getMonotonicTime();
    const before = target.rateLimit.ratePerS;
    const atMs = ratePerS === undefined ? ticket.grantedMs : nowMs;
    target.rateLimit.apply({ ratePerS, atMs }, nowMs);
    if (target.rateLimit.ratePerS !== before) serviceLog.logLimit(ticket, target, before);
  }
}
