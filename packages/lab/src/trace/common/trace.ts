/**
 * Traces: one header, then requests and faults ordered by time. docs/TRACES.md describes their format
 * as JSON lines.
 */

/** Header of a trace: its service, its seed and its duration. */
export interface ITraceHeader {
  readonly kind: 'header';
  readonly name: string;
  readonly member: string;
  readonly seed: number;
  readonly durationMs: number;
  readonly service: ITraceService;
  /** One-way delay between home and target within a failure domain and across, in ms. */
  readonly nearMs: number;
  readonly farMs: number;
  /** Start and end of the faults or the surge that the trace is about. */
  readonly window?: ITraceWindow;
}

/** A period of time. */
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
  /** Detection preference of the service. */
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
  /** Time that a healthy target takes for it, in ms. */
  readonly workMs: number;
  readonly deadlineMs: number;
  /** The caller disconnects after this time, in ms. */
  readonly hangUpMs?: number;
}

/** "read" is idempotent, "book" is not. */
export type RouteName = 'read' | 'book';

/** A fault of one target. */
export interface ITraceFault {
  readonly kind: 'fault';
  readonly atMs: number;
  readonly untilMs: number;
  readonly target: string;
  readonly effect: IFaultEffect;
  /** Whether the target should be ejected during the fault. */
  readonly verdict: ExpectedReaction;
}

/**
 * "eject": the target fails callers' requests; "keep": it is healthy or sheds load correctly;
 * "either": both reactions are acceptable.
 */
export type ExpectedReaction = 'eject' | 'keep' | 'either';

/** Effects that can be combined. */
export interface IFaultEffect {
  /** Share of requests that immediately fail with 500, while health probes succeed. */
  readonly failShare?: number;
  readonly slowFactor?: number;
  /** Requests of the home don't arrive, while other nodes reach the target. */
  readonly isCutFromHome?: boolean;
  /** Connections opened before the start of the fault get no responses. */
  readonly hasSilentConnections?: boolean;
  /** The process is down: new connections are refused and open ones closed. */
  readonly isDown?: boolean;
  /** The target is unreachable for all nodes. */
  readonly isUnreachable?: boolean;
  /** Number of requests that the target runs concurrently; it sheds further ones with a 503. */
  readonly shedAboveSlots?: number;
  /** Slots used by other work, which the load endpoint doesn't report. */
  readonly hiddenSlots?: number;
  /** Share of exchanges that fail on the network. */
  readonly lossShare?: number;
}

/** A trace with its requests and faults, each ordered by time. */
export interface ITrace {
  readonly header: ITraceHeader;
  readonly requests: readonly ITraceRequest[];
  readonly faults: readonly ITraceFault[];
}

/** Expected outcome of a trace, from a file next to it. Absent limits aren't checked. */
export interface IExpectedOutcome {
  /** Every target with an "eject" fault is out of use within this time after its start, in ms. */
  readonly detectedWithinMs?: number;
  /** Number of ejections of targets with no fault or with a "keep" fault. */
  readonly maxFalseEjections?: number;
  /** Share of requests that end with a refusal or a server error. */
  readonly maxErrorShare?: number;
  /** 99th percentile of the latency of successful requests, in ms. */
  readonly maxP99Ms?: number;
  /** Attempts at targets per request. */
  readonly maxAmplification?: number;
  /** Work of successful requests during the fault or surge, as a share of the capacity of all slots. */
  readonly minGoodputShare?: number;
  /** Attempts per dispatched request. */
  readonly maxRetryAmplification?: number;
  /** Error share and latency of callers other than the flooding one. */
  readonly maxOthersErrorShare?: number;
  readonly maxOthersP99Ms?: number;
}
