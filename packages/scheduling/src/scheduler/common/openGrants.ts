/** The granted requests of a service whose outcome is not known yet. */
import type { ServiceSpeeds } from '../../capacity/common/serviceSpeeds.js';
import type { OutcomeRecorder } from '../../health/common/outcomeRecorder.js';
import type { Ticket } from './ticket.js';

/** A slot without a report is released this long after its request's deadline, in ms. */
const REPORT_GRACE_MS = 500;

/**
 * Holds the open grants and finds those whose outcome is overdue.
 *
 * @example
 * for (const ticket of openGrants.listUnreported(nowMs)) release(ticket);
 */
export class OpenGrants {
  private readonly tickets = new Set<Ticket>();

  constructor(
    private readonly outcomeRecorder: OutcomeRecorder,
    private readonly speeds?: ServiceSpeeds,
  ) {}

  add(ticket: Ticket): void {
    this.tickets.add(ticket);
  }

  /** Returns whether the grant was open. */
  remove(ticket: Ticket): boolean {
    return this.tickets.delete(ticket);
  }

  /** Records grants without an outcome after the objective of their requests, each once. */
  recordOverdue(nowMs: number): void {
    this.speeds?.recordOpen(this.tickets, nowMs);
    for (const ticket of this.tickets) {
      const isOverdue = nowMs - ticket.grantedMs > ticket.request.objectiveMs;
      if (isOverdue && !ticket.isOverdue) this.outcomeRecorder.recordOverdue(ticket);
    }
  }

  /** Grants whose requests have ended without a report. */
  listUnreported(nowMs: number): readonly Ticket[] {
    return [...this.tickets].filter(({ endMs }) => nowMs > endMs + REPORT_GRACE_MS);
  }
}
