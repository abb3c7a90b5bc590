/** Decides at arrival whether a request that gets no slot at once is queued. */
import type { IGrantRequest } from '../../grants/common/grant.js';
import { getLateCredit } from './admissionSettings.js';
import type { IServiceState, IWaitingRequest } from './grantPolicy.js';
import { computeLatestStarts } from './latestStart.js';
import { QueueDelay } from './queueDelay.js';
import { QueueSlack } from './queueSlack.js';

/** Credit of a refusal: a response that is worth no more is not waited for. */
const REFUSAL_CREDIT = 0.15;

/** Slots may be released later than estimated by this factor: targets fail, and second attempts come in between. */
const SLOT_MARGIN = 1.25;

/** In a longer queue, the slack of the requests is computed at most once in {@link SLACK_MS}. */
const MAX_EXACT = 64;
const SLACK_MS = 20;

/** The queue that a new request would join. */
export interface IJoinedQueue {
  /** Queued requests, in the order in which they get slots; read only if it is needed. */
  readonly waiting: readonly Omit<IWaitingRequest, 'ahead'>[];
  /** Number of them that precede the new request. */
  readonly ahead: number;
  /** Number of places, apart from these, that are kept for callers that are to return. Default 0. */
  readonly promised?: number;
  /** Expected time between the releases of two slots, in ms. */
  readonly slotMs: number;
}

/**
 * Queues a request only if its turn comes in time and those behind it still get theirs, so that nobody waits
 * to be refused. In a burst, requests are queued that will be late; while a queue stands, each of them would
 * make others late.
 *
 * @example
 * if (!gate.isAdmitted(request, queue, state)) refuse(ResultCode.QueueFull);
 */
export class AdmissionGate {
  private readonly delay = new QueueDelay();
  private slack: QueueSlack | undefined;

  /** Records the delay of a queue that drains in `drainMs`, as a new request meets it. */
  recordArrival({ objectiveMs }: IGrantRequest, drainMs: number, nowMs: number): void {
    this.delay.record(drainMs / objectiveMs, nowMs);
  }

  /** Whether a new request may be queued. Always true if the admission is off. */
  isAdmitted(request: IGrantRequest, queue: IJoinedQueue, state: IServiceState): boolean {
    if (state.admission?.isEnabled !== true) return true;
    // A second attempt can't be rejected: a rejection states that the request has not run.
    if (request.attempt > 1) return true;
    const { ahead, promised = 0 } = queue;
    const slotMs = queue.slotMs * SLOT_MARGIN;
    const isStanding = this.delay.isStanding(state.nowMs);
    const limitMs = computeLimitMs({ request, waitedMs: 0 }, isStanding, state);
    if ((promised + ahead + 1) * slotMs > limitMs) return false;
    const slack = this.getSlack(queue, isStanding, state);
    if (!slack.hasRoom(ahead, slotMs)) return false;
    slack.recordJoined();
    return true;
  }

  private getSlack(queue: IJoinedQueue, isStanding: boolean, state: IServiceState): QueueSlack {
    const { nowMs, queued } = state;
    const isKnown = queued > MAX_EXACT && nowMs - (this.slack?.atMs ?? -Infinity) < SLACK_MS;
    if (isKnown && this.slack !== undefined) return this.slack;
    const limitsMs = queue.waiting.map((item) => computeLimitMs(item, isStanding, state));
    this.slack = new QueueSlack(limitsMs, queue.slotMs * SLOT_MARGIN, nowMs);
    return this.slack;
  }
}

/** Until when a request must get its slot, in ms from now. */
function computeLimitMs(
  waiting: Omit<IWaitingRequest, 'ahead'>,
  isStanding: boolean,
  { admission, processingTimes }: IServiceState,
): number {
  const { forDeadlineMs, forObjectiveMs } = computeLatestStarts(waiting, processingTimes);
  const { route } = waiting.request;
  const lateCredit = admission === undefined ? 0 : getLateCredit(admission, route);
  return isStanding || lateCredit <= REFUSAL_CREDIT ? forObjectiveMs : forDeadlineMs;
}
