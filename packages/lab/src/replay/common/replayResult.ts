/** What a replay measured. */

/** How the faults of the trace met the detector. */
export interface IDetectionResult {
  /** For each target with an "eject" fault: time until by decision none of callers' requests goes there, in ms. */
  readonly detectionMs: readonly (number | undefined)[];
  /** Removals of targets that should have stayed. */
  readonly falseEjections: number;
  /** Times that such targets were made the last choice, most of them for part of a second. */
  readonly demotions: number;
  readonly targetHours: number;
  /** Lowest count of slots not taken out by the home, less the floor. */
  readonly slotsOverFloor: number;
}

/** Figures of one replay. */
export interface IReplayResult extends IDetectionResult {
  readonly trace: string;
  readonly policy: string;
  readonly seed: number;
  readonly requests: number;
  readonly errorShare: number;
  /** Errors among requests that arrived while a fault or surge of the trace lasted. */
  readonly faultErrorShare: number;
  /** Latency of the successful, in ms. */
  readonly p50Ms: number;
  readonly p99Ms: number;
  /** Attempts at targets, copies and observations among them, a request. */
  readonly amplification: number;
  /** Work of successes that arrived during a surge, as a share of what all slots could do then. */
  readonly goodputShare: number | undefined;
  /** Attempts for each request that was dispatched at all; the excess is retries and hedges. */
  readonly retryAmplification: number;
  /** The same figures for all callers but the one that floods, while it does. */
  readonly othersErrorShare: number;
  readonly othersP99Ms: number;
  readonly refusals: Readonly<Record<string, number>>;
  readonly violations: number;
}
