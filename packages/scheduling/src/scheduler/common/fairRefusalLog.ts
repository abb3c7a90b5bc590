/** Counts and logs the requests that are refused in favour of another tenant's. */
import type { Clock, Logger } from '@parsleymux/base';
import type { RequestQueue } from '../../fairness/common/requestQueue.js';
import type { Ticket } from './ticket.js';

/** Maximum number of lines per interval; further refusals are only counted. */
const MAX_LINES = 10;
const INTERVAL_MS = 1000;

/** Options of a {@link FairRefusalLog}. */
export interface IFairRefusalLogOptions {
  readonly service: string;
  readonly clock: Clock;
  readonly log: Logger;
  readonly queue: RequestQueue<Ticket>;
}

/**
 * Writes a bounded number of lines, each with both requests and the shares that decided.
 *
 * @example
 * fairRefusals.record(refused, favoured);
 */
export class FairRefusalLog {
  private total = 0;
  private lines = 0;
  private intervalStartMs = -Infinity;

  constructor(private readonly options: IFairRefusalLogOptions) {}

  /** Number of refusals since the start. */
  get count(): number {
    return this.total;
  }

  record(refused: Ticket, favoured: Ticket): void {
    const { clock, log, queue, service } = this.options;
    const nowMs = clock.getMonotonicTime();
    this.total += 1;
    if (nowMs - this.intervalStartMs >= INTERVAL_MS) {
      this.intervalStartMs = nowMs;
      this.lines = 0;
    }
    this.lines += 1;
    if (this.lines > MAX_LINES) return;
    const describe = (ticket: Ticket) => ({
      request: ticket.request.requestId,
      ageMs: Math.round(ticket.getWaitedMs(nowMs)),
      ...queue.describeShare(ticket),
    });
    log.info('request refused in favour of another tenant', {
      request: refused.request.requestId,
      entry: refused.node,
      service,
      refused: describe(refused),
      favoured: describe(favoured),
      queue: queue.size,
      total: this.total,
    });
  }
}
