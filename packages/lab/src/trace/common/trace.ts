/**
 * Traces: one header, then requests and faults in the order of time. docs/TRACES.md describes the
 * JSON lines that hold them.
 */

/** Who recorded what. */
export interface ITraceHeader {
  readonly kind: 'header';
  readonly name: string;
  readonly member: string;
  readonly seed: number;
  readonly durationMs: number;
  readonly service: ITraceService;
  /** One way between home and target, in ms, within a failure domain and across. */
  readonly nearMs: number;
  readonly farMs: number;
  /** When the trouble that the trace is about begins and ends. */
  readonly window?: ITraceWindow;
}

/** A stretch of time. */
export interface ITraceWindow {
  readonly fromMs: number;
  readonly untilMs: number;
}

/** The service that the requests go to. */
export interface ITraceService {
  readonly name: string;
  readonly targets: readonly ITraceTarget[];
  readonly slotsPerTarget: number;
  readonly floorSlots: number;
  /** "careful" or "fast". */
  readonly detection: DetectionName;
}

export type DetectionName = 'careful' | 'fast';

/** One target. */
export interface ITraceTarget {
  readonly address: string;
  readonly failureDomain: string;
}

/** One request of a caller. */
export interface ITraceRequest {
  readonly kind: 'request';
  readonly atMs: number;
  readonly caller: string;
  readonly route: RouteName;
  /** Time that a healthy target works on it. */
  readonly workMs: number;
  readonly deadlineMs: number;
  /** The caller hangs up after so long. */
  readonly hangUpMs?: number;
}

/** "read" is idempotent, "book" is not. */
export type RouteName = 'read' | 'book';

/** What is wrong with one target for some time. */
export interface ITraceFault {
  readonly kind: 'fault';
  readonly atMs: number;
  readonly untilMs: number;
  readonly target: string;
  readonly effect: IFaultEffect;
  /** Whether the target should be taken out while this lasts. */
  readonly verdict: ExpectedReaction;
}

/** "eject": it fails callers; "keep": it is well, or honest; "either": a matter of taste. */
export type ExpectedReaction = 'eject' | 'keep' | 'either';

/** Effects that can be combined. */
export interface IFaultEffect {
  /** Share of work that is answered 500 at once, while health probes are answered well. */
  readonly failShare?: number;
  readonly slowFactor?: number;
  /** What the home sends does not arrive; other nodes reach the target. */
  readonly isCutFromHome?: boolean;
  /** Connections opened before the fault began stay silent. */
  readonly hasSilentConnections?: boolean;
  /** The process is down: connections are refused and open ones break. */
  readonly isDown?: boolean;
  /** Nothing gets through from anywhere. */
  readonly isUnreachable?: boolean;
  /** Slots that the target really has; beyond them it sheds, saying so. */
  readonly shedAboveSlots?: number;
  /** Slots that other work takes, which the load endpoint does not tell. */
  readonly hiddenSlots?: number;
  /** Share of exchanges that break on the way. */
  readonly lossShare?: number;
}

/** A whole trace. */
export interface ITrace {
  readonly header: ITraceHeader;
  readonly requests: readonly ITraceRequest[];
  readonly faults: readonly ITraceFault[];
}

/** What must come of a trace, kept beside it. Limits that are absent are not checked. */
export interface IExpectedOutcome {
  /** Every target with an "eject" fault is out within this time of the fault's beginning. */
  readonly detectedWithinMs?: number;
  /** Targets that were taken out though nothing, or a "keep" fault, was the matter. */
  readonly maxFalseEjections?: number;
  /** Share of requests that ended in a refusal or a server error. */
  readonly maxErrorShare?: number;
  /** Latency of the successful, in ms. */
  readonly maxP99Ms?: number;
  /** Attempts a request. */
  readonly maxAmplification?: number;
  /** Successes while the fault or overload lasts, as a share of what the slots can do. */
  readonly minGoodputShare?: number;
  /** Attempts for each request that was dispatched. */
  readonly maxRetryAmplification?: number;
  /** Errors and latency of callers other than the one that floods. */
  readonly maxOthersErrorShare?: number;
  readonly maxOthersP99Ms?: number;
}
