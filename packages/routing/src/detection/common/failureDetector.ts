/** Decides from evidence which targets of one service are failing. */

/** What one exchange said about a target. */
export const Evidence = {
  Success: 'success',
  /** The target answered that it failed. The path to it works both ways. */
  Failure: 'failure',
  /** No answer, or none in any time that its peers would need: target or path. */
  Silence: 'silence',
} as const;

export type Evidence = (typeof Evidence)[keyof typeof Evidence];

/** One piece of evidence. */
export interface IEvidence {
  readonly target: string;
  /** Latencies are compared only within one route. */
  readonly route: string;
  readonly kind: Evidence;
  /** From dispatch to answer; of a success only. */
  readonly latencyMs?: number;
  /** Instant on the monotonic clock. */
  readonly atMs: number;
}

/** A target that the detector takes for failing. */
export interface ISuspicion {
  readonly target: string;
  /** One line for the status report. */
  readonly reason: string;
  /** Share of requests that fail or are slow by the detector's estimate. */
  readonly failureShare: number;
  /** The evidence is slowness rather than failure. */
  readonly isSlow: boolean;
  /** True unless the target itself answered with failures: the path may be to blame. */
  readonly isPathFaultPossible: boolean;
}

/** What a detector wants of the home around it. */
export interface IDetectorTraits {
  /** Interval of health probes in ms; undefined for none. */
  readonly probeIntervalMs: number | undefined;
  /** Ask an observer before ejecting on silence or slowness. */
  readonly usesObserver: boolean;
  /** Return by trial requests; otherwise the ejection simply ends. */
  readonly requiresTrial: boolean;
  /** Requests that are overdue by far are evidence before they time out. */
  readonly detectsStalls: boolean;
  /** First ejection time in ms; it doubles while the target flaps. */
  readonly ejectionMs: number;
  /** Time between a suspicion and the look whether it still holds, in ms. */
  readonly confirmMs: number;
  /** Copies of idempotent requests sent meanwhile, whose outcomes are further evidence. */
  readonly confirmCopies: number;
}

/** Watches the targets of one service. */
export abstract class FailureDetector {
  abstract readonly traits: IDetectorTraits;

  /** Replaces the set of targets. */
  abstract setTargets(targets: readonly string[]): void;

  /** Takes evidence; gives a suspicion when it is enough. */
  abstract recordEvidence(evidence: IEvidence): ISuspicion | undefined;

  /** Takes the result of a health probe. */
  abstract recordProbe(target: string, isHealthy: boolean): ISuspicion | undefined;

  /** True when, after `confirmMs`, the suspicion still sets the target apart from its peers. */
  abstract isConfirmed(suspicion: ISuspicion): boolean;

  /** Forgets what the target did, as after an ejection; until then it counts for no reference. */
  abstract reset(target: string): void;

  /** While cold a target is not judged as slow, and nobody is compared with it. */
  abstract setCold(target: string, isCold: boolean): void;

  /** Latency above which an answer on this route counts as slow; undefined while unknown. */
  abstract getSlowLimit(route: string, target: string): number | undefined;
}
