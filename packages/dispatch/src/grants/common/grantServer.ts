/** The home's side of grant requests: decides each request of another node once, however often it arrives. */
import { create } from '@bufbuild/protobuf';
import type { Clock } from '@parsleymux/base';
import type { Ask, Report } from '@parsleymux/schema';
import { ReportReceivedSchema } from '@parsleymux/schema';
import type { HomeService, ServiceScheduler, ITicket, GrantDecision } from '@parsleymux/scheduling';
import type { DatagramChannel } from './datagramChannel.js';
import type { AskReference } from './grantMessages.js';
import { decodeAsk, decodeOutcome, decodeRate, encodeDecision } from './grantMessages.js';

/** Retention of tickets after the deadline, in ms: longer than entries retransmit their requests. */
const TICKET_RETENTION_MS = 10_000;
/** Expired tickets are removed after this number of new ones. */
const PURGE_EVERY = 256;

/** Options of a {@link GrantServer}. */
export interface IGrantServerOptions {
  readonly channel: DatagramChannel;
  readonly homes: HomeService;
  readonly clock: Clock;
  /** Returns the version of the configuration that this node has in force. Default: 0, which is not stated. */
  readonly getCatalogVersion?: () => number;
}

interface ICachedTicket {
  readonly scheduler: ServiceScheduler;
  ticket: ITicket;
  isReported: boolean;
}

/**
 * Serves the grant requests and reports that arrive on a channel.
 *
 * @example
 * server.handleAsk(sender, ask);
 */
export class GrantServer {
  private readonly tickets = new Map<string, ICachedTicket>();
  private newTickets = 0;

  constructor(private readonly options: IGrantServerOptions) {}

  handleAsk(sender: string, ask: Ask): void {
    const { catalogVersion, id, incarnation } = ask;
    const reference = { catalogVersion, id, incarnation };
    const key = formatKey(sender, incarnation, id);
    const known = this.tickets.get(key);
    if (known !== undefined) {
      this.sendDecision(sender, reference, known.ticket.decision);
      return;
    }
    // Without a response the entry tries the next home; see HomeService.hasReceivedTargets.
    if (!this.options.homes.hasReceivedTargets) return;
    this.clearExpired();
    const scheduler = this.options.homes.getScheduler(ask.service);
    const ticket = scheduler.requestGrant(decodeAsk(ask), sender, (decision) => {
      this.sendDecision(sender, reference, decision);
    });
    this.tickets.set(key, { scheduler, ticket, isReported: false });
    if (ticket.decision === undefined) this.sendDecision(sender, reference, undefined);
  }

  handleReport(sender: string, report: Report): void {
    const { askId, incarnation } = report;
    const received = create(ReportReceivedSchema, { askId, incarnation });
    this.options.channel.send(sender, { case: 'reportReceived', value: received });
    const known = this.tickets.get(formatKey(sender, incarnation, askId));
    if (known === undefined || known.isReported) return;
    known.isReported = true;
    const { answerBytes, latencyMs, leaving: isDraining, outcome, rateLimitMilli } = report;
    const response = { answerBytes, isDraining, rateLimit: decodeRate(rateLimitMilli) };
    known.scheduler.recordOutcome(known.ticket, decodeOutcome(outcome), latencyMs, response);
  }

  private sendDecision(
    sender: string,
    ask: AskReference,
    decision: GrantDecision | undefined,
  ): void {
    const value = encodeDecision(ask, decision, this.options.getCatalogVersion?.());
    this.options.channel.send(sender, { case: 'decision', value });
  }

  private clearExpired(): void {
    this.newTickets += 1;
    if (this.newTickets % PURGE_EVERY !== 0) return;
    const oldestMs = this.options.clock.getMonotonicTime() - TICKET_RETENTION_MS;
    for (const [key, { ticket }] of this.tickets) {
      const endMs = ticket.requestedMs + ticket.request.remainingMs;
      if (endMs < oldestMs) this.tickets.delete(key);
    }
  }
}

function formatKey(sender: string, incarnation: number, id: bigint): string {
  return `${sender}/${incarnation}/${id}`;
}
