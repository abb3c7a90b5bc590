/** Decides which new tickets join the queue of a service. */
import { AdmissionGate } from '../../admission/common/admissionGate.js';
import type { GrantPolicy, IServiceState } from '../../admission/common/grantPolicy.js';
import type { RequestQueue } from '../../fairness/common/requestQueue.js';
import type { Ticket } from './ticket.js';
import { makeRanking } from './ticketRanking.js';

/** Options of a {@link QueueAdmission}. */
export interface IQueueAdmissionOptions {
  readonly policy: GrantPolicy;
  readonly queue: RequestQueue<Ticket>;
}

/** What precedes a new ticket. */
export interface IAhead {
  /** Queued tickets. */
  readonly queued: number;
  /** Places of callers that are to return, which are not queued yet. */
  readonly promised: number;
}

/**
 * Presents the queue to the {@link AdmissionGate}. Admits every ticket if the admission is off.
 *
 * @example
 * admission.recordArrival(ticket, state);
 * if (admission.isAdmitted(ticket, { queued: 3, promised: 0 }, state)) queue.push(ticket);
 */
export class QueueAdmission {
  private readonly gate = new AdmissionGate();

  constructor(private readonly options: IQueueAdmissionOptions) {}

  /** Records the delay of the queue that a new ticket meets. */
  recordArrival({ request }: Ticket, state: IServiceState): void {
    if (state.admission?.isEnabled !== true) return;
    const drainMs = state.queued * this.options.policy.estimateWaitMs(request, 0, state);
    this.gate.recordArrival(request, drainMs, state.nowMs);
  }

  /** Whether a ticket that got no slot may join the queue; always if its caller was told to return now. */
  isAdmitted({ isReturnDue, request }: Ticket, ahead: IAhead, state: IServiceState): boolean {
    if (state.admission?.isEnabled !== true || isReturnDue) return true;
    const { policy, queue } = this.options;
    const listWaiting = () => {
      return Array.from(queue.list(makeRanking(policy, state, queue)), (ticket) => {
        return { request: ticket.request, waitedMs: ticket.getWaitedMs(state.nowMs) };
      });
    };
    const joined = {
      ahead: ahead.queued,
      promised: ahead.promised,
      slotMs: policy.estimateWaitMs(request, 0, state),
      get waiting() {
        return listWaiting();
      },
    };
    return this.gate.isAdmitted(request, joined, state);
  }
}
