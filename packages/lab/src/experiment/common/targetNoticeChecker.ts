/** Checks that each node acts on the notices that it receives in responses of targets. */
import { AdvertisedLimitChecker } from './advertisedLimitChecker.js';

/**
 * A request must not reach a draining target if its caller sent it later than this after the node received
 * the draining notice, in ms.
 */
const DRAIN_NOTICE_GRACE_MS = 2000;
/** Arrivals during a requested wait count from this long after the node received the notice, in ms. */
const WAIT_GRACE_MS = 500;
/** Requests that may still reach the target during the rest of the wait. */
const MAX_ARRIVALS_IN_WAIT = 2;

/** One process of a node and one incarnation of a target. */
export interface INodeTargetPair {
  readonly node: string;
  readonly target: string;
  readonly atMs: number;
}

/** A request that reached a target. */
export interface INodeArrival extends INodeTargetPair {
  readonly service: string;
  /** Time at which the caller sent the request, in ms of the run. */
  readonly sentMs: number;
  /** Limit that the target advertises then, in requests per second; undefined while it has none. */
  readonly ratePerS?: number | undefined;
}

/** A notice that a node did not act on. */
export interface INoticeViolation {
  readonly limit: 'drain' | 'wait' | 'rate';
  readonly service: string;
  readonly atMs: number;
  readonly text: string;
}

interface IRequestedWait {
  readonly fromMs: number;
  readonly untilMs: number;
  arrivals: number;
}

/**
 * Records the notices of targets and checks each request that reaches a target against them.
 *
 * @example
 * checker.recordDrainingNotice({ node: 'n1/1', target: 'booking-3/1', atMs });
 * checker.recordArrival(arrival);
 */
export class TargetNoticeChecker {
  readonly violations: INoticeViolation[] = [];
  private readonly draining = new Map<string, number>();
  private readonly waits = new Map<string, IRequestedWait[]>();
  private readonly advertisedLimits = new AdvertisedLimitChecker();

  recordDrainingNotice(pair: INodeTargetPair): void {
    const key = formatKey(pair);
    if (!this.draining.has(key)) this.draining.set(key, pair.atMs);
  }

  recordWaitNotice(pair: INodeTargetPair, waitMs: number): void {
    const key = formatKey(pair);
    const waits = this.waits.get(key) ?? [];
    const { atMs } = pair;
    waits.push({ fromMs: atMs + WAIT_GRACE_MS, untilMs: atMs + waitMs, arrivals: 0 });
    this.waits.set(key, waits);
  }

  recordAdvertisedLimit(pair: INodeTargetPair): void {
    this.advertisedLimits.recordAdvertised(pair);
  }

  recordArrival(arrival: INodeArrival): void {
    this.checkDraining(arrival);
    this.checkWaits(arrival);
    const violation = this.advertisedLimits.checkArrival(arrival, arrival.ratePerS);
    if (violation !== undefined) this.violations.push(violation);
  }

  private checkDraining(arrival: INodeArrival): void {
    const { atMs, node, sentMs, service, target } = arrival;
    const noticeMs = this.draining.get(formatKey(arrival));
    if (noticeMs === undefined || sentMs <= noticeMs + DRAIN_NOTICE_GRACE_MS) return;
    const lateMs = Math.round(atMs - noticeMs);
    const text = `${node} sent to ${target} ${lateMs} ms after its draining notice`;
    this.violations.push({ limit: 'drain', service, atMs, text });
  }

  private checkWaits(arrival: INodeArrival): void {
    const { atMs, node, service, target } = arrival;
    for (const wait of this.waits.get(formatKey(arrival)) ?? []) {
      if (atMs < wait.fromMs || atMs > wait.untilMs) continue;
      wait.arrivals += 1;
      if (wait.arrivals !== MAX_ARRIVALS_IN_WAIT + 1) continue;
      const text = `${node} sent ${wait.arrivals} times to ${target} during the wait that it requested`;
      this.violations.push({ limit: 'wait', service, atMs, text });
    }
  }
}

function formatKey({ node, target }: INodeTargetPair): string {
  return `${node} ${target}`;
}
