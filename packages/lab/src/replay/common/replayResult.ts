/** Measurements of a replay. */

/** How the detector reacted to the faults of the trace. */
export interface IDetectionResult {
  /**
   * For each target with an "eject" fault: time until it gets no more requests of callers by decision,
   * in ms.
   */
  readonly detectionMs: readonly (number | undefined)[];
  /** Number of ejections of targets without a fault that justifies them. */
  readonly falseEjections: number;
  /**
   * Number of times that targets without a fault that justifies it were suspected, most of them for less
   * than a second.
   */
  readonly demotions: number;
  readonly targetHours: number;
  /** Lowest number of slots that the home left in use, minus the floor. */
  readonly slotsOverFloor: number;
}

/** Result of one replay. */
export interface IReplayResult extends IDetectionResult {
  readonly trace: string;
  readonly policy: string;
  readonly seed: number;
  readonly requests: number;
  readonly errorShare: number;
  /** Share of errors among requests that arrived during a fault or surge of the trace. */
  readonly faultErrorShare: number;
  /** Latency of successful requests, in ms. */
  readonly p50Ms: number;
  readonly p99Ms: number;
  /** Attempts at targets per request, trial copies and observations included. */
  readonly amplification: number;
  /** Work of successful requests that arrived during a surge, as a share of the capacity of all slots. */
  readonly goodputShare: number | undefined;
  /** Attempts per dispatched request; the excess over 1 is retries and hedges. */
  readonly retryAmplification: number;
  /** Error share and 99th percentile of the latency of all callers but the flooding one, during the flood. */
  readonly othersErrorShare: number;
  readonly othersP99Ms: number;
  readonly refusals: Readonly<Record<string, number>>;
  readonly violations: number;
}
