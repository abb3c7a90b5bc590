/** Divides the retry allowance of a service between the requests that ask for it. */
import { SlidingCount } from '../../statistics/common/slidingCount.js';

/** Time over which the demand of a claim is measured, in ms. */
const DEMAND_MS = 2000;
/** Time for which the allowance is reserved for a claim, in ms. */
const RESERVED_MS = 5000;
/** Claims that are told apart; further tenants share one claim for each priority. */
const MAX_CLAIMS = 256;
/** Share of the allowance that is at most kept for requests that may have run. */
const MAX_KEPT_SHARE = 0.05;

/** A request for a retry. */
export interface IRetryRequest {
  /** The tenant; undefined if requests are not assigned to tenants. */
  readonly tenant: string | undefined;
  /** Lower values are more urgent. */
  readonly priority: number;
  /** Whether an earlier attempt may have run, so that the request can't be refused as not run. */
  readonly mayHaveRun: boolean;
}

/** The retry allowance at a moment, in retries. */
export interface IRetryAllowance {
  readonly total: number;
  /** What is left, less the retries that were admitted and not sent yet. */
  readonly left: number;
  /** By how much more will be left at least in each of the next parts of the window. Default: by none. */
  readonly changes?: readonly number[];
  /** Length of such a part, in ms. Default: as long as the allowance is reserved. */
  readonly partMs?: number;
}

interface IClaim {
  readonly priority: number;
  readonly granted: SlidingCount;
  readonly asked: SlidingCount;
}

/**
 * Gives the allowance to requests that may have run, then by priority, and within a priority to tenants
 * by max-min shares of what they ask for. Reserves only for what was asked for within the last 2 s, as far
 * as what leaves the window does not cover it in time.
 *
 * @example
 * if (allocator.decide(request, allowance, now)) admit();
 */
export class RetryAllocator {
  private readonly claims = new Map<string, IClaim>();
  private readonly mayHaveRun: SlidingCount;

  constructor(private readonly windowMs: number) {
    this.mayHaveRun = new SlidingCount(windowMs);
  }

  /** Whether the retry may be sent; records the answer. */
  decide(request: IRetryRequest, allowance: IRetryAllowance, nowMs: number): boolean {
    if (request.mayHaveRun) this.mayHaveRun.add(nowMs);
    const claim = this.getClaim(request, nowMs);
    const reserved = request.mayHaveRun ? 0 : this.countReserved(claim, allowance, nowMs);
    const isAllowed = allowance.left >= 1 + reserved;
    claim.asked.add(nowMs);
    if (isAllowed) claim.granted.add(nowMs);
    return isAllowed;
  }

  private countReserved(claim: IClaim, allowance: IRetryAllowance, nowMs: number): number {
    const kept = Math.min(MAX_KEPT_SHARE * allowance.total, this.mayHaveRun.count(nowMs));
    return kept + countUncovered(this.countExpected(claim, nowMs), allowance);
  }

  /** Retries that are expected of claims that come before `claim`. */
  private countExpected(claim: IClaim, nowMs: number): number {
    const granted = claim.granted.count(nowMs);
    let sum = 0;
    for (const other of this.claims.values()) {
      if (other === claim || other.priority > claim.priority) continue;
      const expected = (other.asked.count(nowMs) * RESERVED_MS) / DEMAND_MS;
      if (expected === 0) continue;
      const isUrgent = other.priority < claim.priority;
      const lead = isUrgent ? Infinity : granted - other.granted.count(nowMs);
      sum += Math.max(0, Math.min(expected, lead));
    }
    return sum;
  }

  private getClaim({ priority, tenant }: IRetryRequest, nowMs: number): IClaim {
    const key = JSON.stringify([tenant, priority]);
    const known = this.claims.get(key);
    if (known !== undefined) return known;
    if (this.claims.size >= MAX_CLAIMS) this.removeIdle(nowMs);
    if (tenant !== undefined && this.claims.size >= MAX_CLAIMS) {
      return this.getClaim({ tenant: undefined, priority, mayHaveRun: false }, nowMs);
    }
    const granted = new SlidingCount(this.windowMs);
    const claim = { priority, granted, asked: new SlidingCount(DEMAND_MS) };
    this.claims.set(key, claim);
    return claim;
  }

  private removeIdle(nowMs: number): void {
    for (const [key, { asked, granted }] of this.claims) {
      if (asked.count(nowMs) + granted.count(nowMs) === 0) this.claims.delete(key);
    }
  }
}

/**
 * The most by which evenly spread expected retries exceed, at any time of the window, what is left more then,
 * up to the number expected in the time for which the allowance is reserved.
 */
function countUncovered(
  expected: number,
  { changes = [0], partMs = RESERVED_MS }: IRetryAllowance,
): number {
  const uncovered = changes.map((change, part) => {
    return (expected * (part + 1) * partMs) / RESERVED_MS - change;
  });
  return Math.min(expected, Math.max(0, ...uncovered));
}
