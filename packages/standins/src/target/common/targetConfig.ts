/** Normal behavior of a target stand-in, and the faults that can be injected. */

/** Behavior of a target without faults. */
export interface ITargetConfig {
  readonly member: string;
  readonly service: string;
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  /** Maximum number of requests that wait for a slot; further ones are shed. */
  readonly queueLimit: number;
  /** Maximum number of connections; further ones are closed immediately. */
  readonly maxConnections: number;
  /** Mean of the log-normal service time, in ms. */
  readonly meanServiceMs: number;
  /** Standard deviation of the service time's logarithm. */
  readonly serviceSigma: number;
  /** Time after a start or a recovery during which service times are multiplied by `coldFactor`, in ms. */
  readonly coldStartMs: number;
  readonly coldFactor: number;
  /** Bytes of filler in each response. */
  readonly answerBytes: number;
  readonly seed: number;
}

/** Defaults of absent fields. */
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

/** Active faults. */
export interface ITargetFaults {
  /** The port is closed: connections are refused and open ones are reset. */
  readonly down: boolean;
  /** Running requests are finished; new ones are rejected as not run, with a header that reports draining. */
  readonly draining: boolean;
  /** Factor by which service times are multiplied. */
  readonly slowFactor: number;
  /** Share of executed requests whose response is a 500. */
  readonly failShare: number;
  /** Share of responses that are truncated in the middle of the body. */
  readonly truncateShare: number;
  /** Requests are executed, but no response is sent on any connection. */
  readonly oneWay: boolean;
  /**
   * Share of executed requests that are rejected as not run. Neither this nor `foreignShare` is
   * permitted behavior of a target; both exist to show that checks detect violations.
   */
  readonly falseNotRunShare: number;
  /** Share of responses that carry the body of the previous request's response. */
  readonly foreignShare: number;
  /** Status of `GET /health`: 200 ("green"), 503 ("red"), or ("auto") 503 only while draining. */
  readonly health: 'green' | 'red' | 'auto';
  /** Number of running requests that `GET /load` reports; -1: the actual number. */
  readonly claimedLoad: number;
}

/** No faults, and accurate probe responses. */
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

/** Counters since the start. */
export interface ITargetCounters {
  /** Requests whose execution started. */
  readonly executed: number;
  readonly finished: number;
  /** Executions that were stopped because the caller disconnected. */
  readonly cancelled: number;
  /** Executions that were stopped by the request's timeout. */
  readonly timedOut: number;
  /** Requests rejected as not run: queue full, draining, or timed out before execution. */
  readonly shed: number;
  readonly failed: number;
  readonly truncated: number;
  /** Requests that were received on a silenced connection and discarded. */
  readonly swallowed: number;
  readonly probes: number;
  readonly connectionsRefused: number;
  readonly connectionsOpened: number;
  /** Maximum number of concurrently running requests so far. */
  readonly maxRunning: number;
}
