/** Enforces the rate limit that one target advertises. */
import { MS_PER_SECOND } from '@parsleymux/base';

/** Maximum burst after an idle time, in requests. */
const BURST = 1;
/** Maximum excess that is compensated by later requests, in seconds of the advertised rate. */
const MAX_DEBT_S = 1;
/** Minimum rate: a target without requests could never advertise a higher limit. */
const MIN_RATE_PER_S = 0.2;

/** The presence or absence of a limit in the response of a target. */
export interface IRateEvidence {
  /** Requests per second from all nodes together; undefined if the target advertised no limit. */
  readonly ratePerS: number | undefined;
  /** Time to which the evidence applies, in ms of the monotonic clock. */
  readonly atMs: number;
}

/**
 * A token bucket that is in effect while the target advertises a limit. It starts empty, so that
 * successive homes don't each grant a burst.
 *
 * @example
 * limit.apply({ ratePerS: 1.5, atMs: nowMs }, nowMs);
 * if (limit.isOpen(nowMs)) limit.recordGrant(nowMs);
 */
export class TargetRateLimit {
  private newest: IRateEvidence | undefined;
  private tokens = 0;
  private filledMs = 0;
  /** By home: its number of grants in its last message. */
  private readonly grantedByPeer = new Map<string, number>();

  /** Undefined until the target first advertises a limit. */
  get evidence(): IRateEvidence | undefined {
    return this.newest;
  }

  /** The advertised limit in requests per second; undefined without a limit. */
  get ratePerS(): number | undefined {
    return this.newest?.ratePerS;
  }

  /** Maximum rate of grants in requests per second; infinite without a limit. */
  get grantsPerS(): number {
    return this.ratePerS === undefined ? Infinity : Math.max(MIN_RATE_PER_S, this.ratePerS);
  }

  /** Applies newer evidence. The absence of a limit is ignored if none was advertised before. */
  apply(evidence: IRateEvidence, nowMs: number): void {
    const isFirst = this.newest === undefined;
    if (isFirst && evidence.ratePerS === undefined) return;
    if (evidence.atMs < (this.newest?.atMs ?? -Infinity)) return;
    if (this.ratePerS === undefined) {
      this.tokens = 0;
      this.filledMs = nowMs;
    } else this.advance(nowMs);
    this.newest = evidence;
  }

  /** Whether another request may be granted. */
  isOpen(nowMs: number): boolean {
    if (this.ratePerS === undefined) return true;
    this.advance(nowMs);
    return this.tokens >= 1;
  }

  recordGrant(nowMs: number): void {
    this.spendTokens(1, nowMs);
  }

  /** Records that another home has granted the target `granted` requests since it learned of it. */
  recordPeerGrants(home: string, granted: number, nowMs: number): void {
    const before = this.grantedByPeer.get(home) ?? granted;
    this.grantedByPeer.set(home, granted);
    // A restarted home starts its count at zero.
    this.spendTokens(Math.max(0, granted - before), nowMs);
  }

  private spendTokens(requests: number, nowMs: number): void {
    const { ratePerS } = this;
    if (ratePerS === undefined) return;
    this.advance(nowMs);
    const maxDebt = Math.max(1, ratePerS * MAX_DEBT_S);
    this.tokens = Math.max(-maxDebt, this.tokens - requests);
  }

  private advance(nowMs: number): void {
    const added = (this.grantsPerS * Math.max(0, nowMs - this.filledMs)) / MS_PER_SECOND;
    this.tokens = Math.min(BURST, this.tokens + added);
    this.filledMs = nowMs;
  }
}
