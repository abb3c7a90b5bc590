/** How a target stand-in behaves when all is well, and what it can be told to do wrong. */

/** A target in good health. */
export interface ITargetConfig {
  readonly member: string;
  readonly service: string;
  /** Requests that it works on at once. */
  readonly slots: number;
  /** Requests that wait for a slot; further ones are shed. 0: none wait. */
  readonly queueLimit: number;
  /** Connections that it accepts; further ones are closed at once. */
  readonly maxConnections: number;
  /** Mean of the log-normal service time, in ms. */
  readonly meanServiceMs: number;
  /** Standard deviation of the service time's logarithm. */
  readonly serviceSigma: number;
  /** For this long after the start, or after a recovery, work takes `coldFactor` as long, in ms. */
  readonly coldStartMs: number;
  readonly coldFactor: number;
  /** Bytes of filler in each answer. */
  readonly answerBytes: number;
  readonly seed: number;
}

/** Values of what a configuration leaves out. */
export const DEFAULT_TARGET_CONFIG: ITargetConfig = {
  member: 'member',
  service: 'service',
  slots: 4,
  queueLimit: 0,
  maxConnections: 400,
  meanServiceMs: 20,
  serviceSigma: 0.5,
  coldStartMs: 0,
  coldFactor: 3,
  answerBytes: 256,
  seed: 1,
};

/** Faults in force. */
export interface ITargetFaults {
  /** The port is closed: connections are refused and open ones are reset. */
  readonly down: boolean;
  /** Finishes what runs and refuses new work, saying so. */
  readonly draining: boolean;
  /** Work takes this many times as long. */
  readonly slowFactor: number;
  /** Share of executed work that is answered 500. */
  readonly failShare: number;
  /** Share of answers that are cut in the middle. */
  readonly truncateShare: number;
  /** Work is executed and never answered, on every connection. */
  readonly oneWay: boolean;
  /**
   * Share of executed work that is refused as not run. No target may do this, nor the next; they
   * are here so that a run that must fail can be shown to fail.
   */
  readonly falseNotRunShare: number;
  /** Share of answers that are those of the request before. */
  readonly foreignShare: number;
  /** `GET /health` answers 200 ("green"), 503 ("red"), or as "auto": red only while draining. */
  readonly health: 'green' | 'red' | 'auto';
  /** What `GET /load` claims as running requests; -1 for the truth. */
  readonly claimedLoad: number;
}

/** A target that works, and whose probes tell the truth. */
export const NO_TARGET_FAULTS: ITargetFaults = {
  down: false,
  draining: false,
  slowFactor: 1,
  failShare: 0,
  truncateShare: 0,
  oneWay: false,
  falseNotRunShare: 0,
  foreignShare: 0,
  health: 'auto',
  claimedLoad: -1,
};

/** What happened since the start. */
export interface ITargetCounters {
  /** Requests whose work began. */
  readonly executed: number;
  readonly finished: number;
  /** Work that was stopped because its caller went away. */
  readonly cancelled: number;
  /** Work that was stopped because its time ran out. */
  readonly timedOut: number;
  /** Requests refused as not run: full, draining, or out of time before they began. */
  readonly shed: number;
  readonly failed: number;
  readonly truncated: number;
  /** Requests that came in over a silenced connection and were swallowed. */
  readonly swallowed: number;
  readonly probes: number;
  readonly connectionsRefused: number;
  readonly connectionsOpened: number;
  /** Most requests that ran at the same instant. */
  readonly maxRunning: number;
}
