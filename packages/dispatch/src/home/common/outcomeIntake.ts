/** What the outcomes of one service's grants tell of its targets, its requests and its connections. */
import type { Clock } from '@parsleymux/base';
import { GrantOutcome } from '../../grants/common/grant.js';
import { formatIncarnation } from '../../catalog/common/catalog.js';
import type { RequestQuarantine } from '../../quarantine/common/requestQuarantine.js';
import type { AnswerSizes } from './answerSizes.js';
import type { BookedTarget } from './bookedTarget.js';
import type { ServedWindow } from './servedWindow.js';
import type { ServiceLog } from './serviceLog.js';
import type { Ticket } from './ticket.js';
import type { WorkTimes } from './workTimes.js';

/** A target that said it was full is left alone this long, in ms: less than most requests take. */
const BUSY_MS = 100;
/**
 * After a kept connection broke, all requests of the service use new ones for this long, in ms: one
 * costs a round trip, and a request that can't be repeated is lost with every kept one that breaks.
 */
const AVOID_REUSE_MS = 5000;

/** Options of an {@link OutcomeIntake}. */
export interface IOutcomeIntakeOptions {
  readonly clock: Clock;
  readonly serviceLog: ServiceLog;
  readonly served: ServedWindow;
  readonly workTimes: WorkTimes;
  readonly answerSizes: AnswerSizes;
  readonly quarantine: RequestQuarantine;
}

/** How a grant ended. */
export interface IGrantEnd {
  readonly outcome: GrantOutcome;
  readonly latencyMs: number;
  /** Size of the answer's body; 0 where there was none. */
  readonly answerBytes: number;
}

/**
 * Sorts each outcome into what it is evidence of.
 *
 * @example
 * intake.record(ticket, target, { outcome: GrantOutcome.Succeeded, latencyMs: 240, answerBytes: 0 });
 */
export class OutcomeIntake {
  private lastStaleMs = -Infinity;

  constructor(private readonly options: IOutcomeIntakeOptions) {}

  /** Whether kept connections of the service break lately. */
  isReuseAvoided(nowMs: number): boolean {
    return nowMs - this.lastStaleMs < AVOID_REUSE_MS;
  }

  record(ticket: Ticket, target: BookedTarget, end: IGrantEnd): void {
    const { answerSizes, serviceLog } = this.options;
    serviceLog.watchBelief(ticket, target, end.outcome, () => {
      this.update(ticket, target, end);
    });
    this.recordForRequest(ticket, target, end.outcome);
    if (end.answerBytes > 0) answerSizes.record(ticket.request.route, end.answerBytes);
  }

  /**
   * Notes that a grant has no outcome after the request's objective. Targets that hang tell nothing
   * until the deadline; by then many more requests hang there.
   */
  recordOverdue(ticket: Ticket): void {
    const { clock, serviceLog } = this.options;
    const { target } = ticket;
    ticket.isOverdue = true;
    if (target === undefined) return;
    serviceLog.watchBelief(ticket, target, 'overdue', () => {
      target.belief.recordFailure(clock.getMonotonicTime());
    });
  }

  private update(ticket: Ticket, target: BookedTarget, { latencyMs, outcome }: IGrantEnd): void {
    const nowMs = this.options.clock.getMonotonicTime();
    switch (outcome) {
      case GrantOutcome.Succeeded:
        this.recordSuccess(ticket, target, latencyMs);
        break;
      case GrantOutcome.Unreachable:
        target.recordUnreachable(ticket.node, nowMs);
        break;
      case GrantOutcome.Shed:
        // A target that is full for others' work, or for slots that ended late, isn't failing.
        if (target.inUse + 1 < target.record.slots) target.belief.recordFailure(nowMs);
        target.busyUntilMs = nowMs + BUSY_MS;
        break;
      case GrantOutcome.Misdirected:
        target.isReplaced = true;
        break;
      case GrantOutcome.Abandoned:
        break;
      case GrantOutcome.Stale:
        this.lastStaleMs = nowMs;
        this.recordFailure(ticket, target, nowMs);
        break;
      case GrantOutcome.Failed:
      case GrantOutcome.Broken:
      case GrantOutcome.TimedOut:
        this.recordFailure(ticket, target, nowMs);
        break;
    }
  }

  /** What an outcome tells of the request itself: whether targets are lost under it. */
  private recordForRequest(ticket: Ticket, target: BookedTarget, outcome: GrantOutcome): void {
    const { quarantine } = this.options;
    const { fingerprints, requestId } = ticket.request;
    const life = formatIncarnation(target.record);
    switch (outcome) {
      case GrantOutcome.Succeeded:
        quarantine.recordResponse(life, ticket.grantedMs);
        quarantine.recordSuccess(fingerprints);
        break;
      case GrantOutcome.Failed:
      case GrantOutcome.Shed:
        quarantine.recordResponse(life, ticket.grantedMs);
        break;
      case GrantOutcome.Broken:
      case GrantOutcome.Stale:
        quarantine.recordConnectionLoss({
          fingerprints,
          requestId,
          target: life,
          grantedMs: ticket.grantedMs,
        });
        break;
      case GrantOutcome.Abandoned:
      case GrantOutcome.Misdirected:
      case GrantOutcome.TimedOut:
      case GrantOutcome.Unreachable:
        break;
    }
  }

  private recordFailure(ticket: Ticket, target: BookedTarget, nowMs: number): void {
    if (!ticket.isOverdue) target.belief.recordFailure(nowMs);
    if (!ticket.request.isIdempotent) this.options.served.record(false, nowMs);
  }

  private recordSuccess(ticket: Ticket, target: BookedTarget, latencyMs: number): void {
    const { clock, served, workTimes } = this.options;
    const nowMs = clock.getMonotonicTime();
    served.record(true, nowMs);
    workTimes.record(ticket.request.route, ticket.request.objectiveMs, latencyMs);
    // A late success is no proof of a sound target: it was noted as overdue before.
    if (!ticket.isOverdue) target.belief.recordSuccess(nowMs);
  }
}
