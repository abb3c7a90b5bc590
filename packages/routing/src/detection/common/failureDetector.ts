/** Failure detection: decides from request outcomes which targets of one service are failing. */

/** Outcome of one exchange with a target. */
export const Evidence = {
  Success: 'success',
  /** The target responded with a failure, so the network path works in both directions. */
  Failure: 'failure',
  /** No response, or none within the time that peers need: the target or the path may be at fault. */
  Silence: 'silence',
} as const;

export type Evidence = (typeof Evidence)[keyof typeof Evidence];

/** One piece of evidence. */
export interface IEvidence {
  readonly target: string;
  /** Name of the route; latencies are compared only within one route. */
  readonly route: string;
  readonly kind: Evidence;
  /** Time from dispatch to response, in ms; set for successes only. */
  readonly latencyMs?: number;
  /** Instant on the monotonic clock, in ms. */
  readonly atMs: number;
}

/** A target that the detector considers failing. */
export interface ISuspicion {
  readonly target: string;
  /** One-line explanation for the status report. */
  readonly reason: string;
  /** Estimated share of requests, from 0 to 1, that fail or are slow. */
  readonly failureShare: number;
  /** True when the target is suspected of slow responses rather than of failures. */
  readonly isSlow: boolean;
  /** True unless the target itself responded with failures; a network path may then be the cause. */
  readonly isPathFaultPossible: boolean;
}

/** How the home must operate a detector. */
export interface IDetectorTraits {
  /** Interval between health probes in ms; undefined disables them. */
  readonly probeIntervalMs: number | undefined;
  /** Consult an observer on another node before ejecting a silent or slow target. */
  readonly usesObserver: boolean;
  /** A target returns only after a successful trial; otherwise when the ejection time has elapsed. */
  readonly requiresTrial: boolean;
  /** Long overdue requests count as evidence before they time out. */
  readonly detectsStalls: boolean;
  /** Initial ejection time in ms; doubled on every relapse. */
  readonly ejectionMs: number;
  /** Time between a suspicion and its confirmation, in ms. */
  readonly confirmMs: number;
  /** Number of copied idempotent requests sent within that time as additional evidence. */
  readonly confirmCopies: number;
}

/** Detects failing targets of one service. */
export abstract class FailureDetector {
  abstract readonly traits: IDetectorTraits;

  /** Replaces the set of targets. */
  abstract setTargets(targets: readonly string[]): void;

  /** Records evidence and returns a suspicion once the evidence suffices. */
  abstract recordEvidence(evidence: IEvidence): ISuspicion | undefined;

  /** Records the result of a health probe and returns a suspicion once the evidence suffices. */
  abstract recordProbe(target: string, isHealthy: boolean): ISuspicion | undefined;

  /** True when, after `confirmMs`, the target still differs from its peers. */
  abstract isConfirmed(suspicion: ISuspicion): boolean;

  /** Discards evidence against the target; until its next outcome it is not used as a reference for peers. */
  abstract reset(target: string): void;

  /** A cold target is never suspected of slowness, and peers are not compared with it. */
  abstract setCold(target: string, isCold: boolean): void;

  /** Latency in ms above which a response on this route counts as slow; undefined while unknown. */
  abstract getSlowLimit(route: string, target: string): number | undefined;
}
