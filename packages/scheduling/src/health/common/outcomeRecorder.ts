/** Records the outcomes of one service's grants as evidence on its targets, requests and connections. */
import type { Clock } from '@parsleymux/base';
import { GrantOutcome } from '../../grants/common/grant.js';
import { formatIncarnation } from '../../catalog/common/catalog.js';
import type { RequestQuarantine } from '../../quarantine/common/requestQuarantine.js';
import type { ServiceSpeeds } from '../../capacity/common/serviceSpeeds.js';
import type { ResponseSizes } from '../../capacity/common/responseSizes.js';
import type { TargetState } from '../../capacity/common/targetState.js';
import type { RejectionModel } from '../../retries/common/rejectionModel.js';
import type { OutcomeWindow } from './outcomeWindow.js';
import type { ServiceLog } from '../../scheduler/common/serviceLog.js';
import type { Ticket } from '../../scheduler/common/ticket.js';
import type { ProcessingTimes } from '../../capacity/common/processingTimes.js';

/** Grant pause after a target rejected a request as overloaded, in ms: less than most requests take. */
const BUSY_MS = 100;
/**
 * After an idle connection broke on reuse, requests of the service use new connections for this long, in
 * ms. A new one costs a round trip, while a request that can't be retried fails with the one it reuses.
 */
const AVOID_REUSE_MS = 5000;

/** Options of an {@link OutcomeRecorder}. */
export interface IOutcomeRecorderOptions {
  readonly clock: Clock;
  readonly serviceLog: ServiceLog;
  readonly outcomeWindow: OutcomeWindow;
  readonly processingTimes: ProcessingTimes;
  readonly responseSizes: ResponseSizes;
  readonly quarantine: RequestQuarantine;
  /** Undefined if rejections are not told apart by cause. */
  readonly rejections?: RejectionModel | undefined;
  /** Undefined if speeds are not learned. */
  readonly speeds?: ServiceSpeeds | undefined;
}

/** The result of a grant. */
export interface IGrantResult {
  readonly outcome: GrantOutcome;
  readonly latencyMs: number;
  /** Size of the response's body; 0 without a response. */
  readonly answerBytes: number;
}

/**
 * Updates the estimates for which an outcome is evidence.
 *
 * @example
 * recorder.record(ticket, target, { outcome: GrantOutcome.Succeeded, latencyMs: 240, answerBytes: 0 });
 */
export class OutcomeRecorder {
  private lastStaleMs = -Infinity;

  constructor(private readonly options: IOutcomeRecorderOptions) {}

  /** Whether idle connections of the service have recently broken on reuse. */
  isReuseAvoided(nowMs: number): boolean {
    return nowMs - this.lastStaleMs < AVOID_REUSE_MS;
  }

  record(ticket: Ticket, target: TargetState, result: IGrantResult): void {
    const { responseSizes, serviceLog } = this.options;
    serviceLog.trackHealthChange(ticket, target, result.outcome, () => {
      this.update(ticket, target, result);
    });
    this.recordForRequest(ticket, target, result.outcome);
    if (result.answerBytes > 0) responseSizes.record(ticket.request.route, result.answerBytes);
  }

  /**
   * Records a failure for a grant without an outcome after the request's objective. A target that hangs
   * yields no outcome before the deadline; by then many more requests would hang there.
   */
  recordOverdue(ticket: Ticket): void {
    const { clock, serviceLog, speeds } = this.options;
    const { target } = ticket;
    if (speeds?.isExpected(ticket, clock.getMonotonicTime()) === true) return;
    ticket.isOverdue = true;
    if (target === undefined) return;
    serviceLog.trackHealthChange(ticket, target, 'overdue', () => {
      target.health.recordFailure(clock.getMonotonicTime());
    });
  }

  private update(ticket: Ticket, target: TargetState, { latencyMs, outcome }: IGrantResult): void {
    const nowMs = this.options.clock.getMonotonicTime();
    this.options.rejections?.record(target, outcome);
    switch (outcome) {
      case GrantOutcome.Succeeded:
        this.recordSuccess(ticket, target, latencyMs);
        break;
      case GrantOutcome.Unreachable:
        target.recordUnreachable(ticket.node, nowMs);
        break;
      case GrantOutcome.Shed:
        if (this.options.rejections !== undefined) break;
        // A target whose slots are all in use, or were released late, is overloaded but not failing.
        if (target.inUse + 1 < target.record.slots) target.health.recordFailure(nowMs);
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

  /** Records for the quarantine whether the connection to the target was lost while it ran the request. */
  private recordForRequest(ticket: Ticket, target: TargetState, outcome: GrantOutcome): void {
    const { quarantine } = this.options;
    const { fingerprints, requestId } = ticket.request;
    const incarnation = formatIncarnation(target.record);
    switch (outcome) {
      case GrantOutcome.Succeeded:
        quarantine.recordResponse(incarnation, ticket.grantedMs);
        quarantine.recordSuccess(fingerprints);
        break;
      case GrantOutcome.Failed:
      case GrantOutcome.Shed:
        quarantine.recordResponse(incarnation, ticket.grantedMs);
        break;
      case GrantOutcome.Broken:
      case GrantOutcome.Stale:
        quarantine.recordConnectionLoss({
          fingerprints,
          requestId,
          target: incarnation,
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

  private recordFailure(ticket: Ticket, target: TargetState, nowMs: number): void {
    if (!ticket.isOverdue) target.health.recordFailure(nowMs);
    if (!ticket.request.isIdempotent) this.options.outcomeWindow.record(false, nowMs);
  }

  private recordSuccess(ticket: Ticket, target: TargetState, latencyMs: number): void {
    const { clock, outcomeWindow, processingTimes, speeds } = this.options;
    const nowMs = clock.getMonotonicTime();
    outcomeWindow.record(true, nowMs);
    processingTimes.record(ticket.request.route, ticket.request.objectiveMs, latencyMs);
    speeds?.record(ticket, target, latencyMs);
    // A late success is no evidence of a healthy target: it was recorded as overdue before.
    if (!ticket.isOverdue) target.health.recordSuccess(nowMs);
  }
}
