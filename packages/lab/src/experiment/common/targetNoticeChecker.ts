/** What targets have told single nodes, and whether the nodes kept to it. */
import { AdvertisedLimitChecker } from './advertisedLimitChecker.js';

/** A node that was told that a target leaves sends it nothing that came this much later, in ms. */
const DRAIN_NOTICE_GRACE_MS = 2000;
/** From this long after a target asked to be left alone, in ms, it gets next to nothing. */
const WAIT_GRACE_MS = 500;
/** Requests that it gets all the same within that time, at most. */
const MAX_ARRIVALS_IN_WAIT = 2;

/** One process of a node, and one life of a target. */
export interface INodeTargetPair {
  readonly node: string;
  readonly target: string;
  readonly atMs: number;
}

/** A request that reached a target. */
export interface INodeArrival extends INodeTargetPair {
  readonly service: string;
  /** When the caller sent it. */
  readonly sentMs: number;
  /** Requests a second that the target takes at that moment; undefined while it names no limit. */
  readonly ratePerS?: number | undefined;
}

/** One thing that was not kept to. */
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
 * @example
 * limits.recordToldDraining({ node: 'n1/1', target: 'booking-3/1', atMs });
 * limits.recordArrival(arrival);
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
    const toldMs = this.draining.get(formatKey(arrival));
    if (toldMs === undefined || sentMs <= toldMs + DRAIN_NOTICE_GRACE_MS) return;
    const lateMs = Math.round(atMs - toldMs);
    const text = `${node} sent to ${target} ${lateMs} ms after it had been told that it leaves`;
    this.violations.push({ limit: 'drain', service, atMs, text });
  }

  private checkWaits(arrival: INodeArrival): void {
    const { atMs, node, service, target } = arrival;
    for (const wait of this.waits.get(formatKey(arrival)) ?? []) {
      if (atMs < wait.fromMs || atMs > wait.untilMs) continue;
      wait.arrivals += 1;
      if (wait.arrivals !== MAX_ARRIVALS_IN_WAIT + 1) continue;
      const text = `${node} sent ${wait.arrivals} times to ${target}, which had asked to be left alone`;
      this.violations.push({ limit: 'wait', service, atMs, text });
    }
  }
}

function formatKey({ node, target }: INodeTargetPair): string {
  return `${node} ${target}`;
}
