/** What the platform stand-in can be told to do wrong, and what it counts. */

/** How the platform is down. */
export const PlatformOutage = {
  None: 'none',
  /** The port is closed: connections are refused and open ones are reset. */
  Refused: 'refused',
  /** Every request is answered 503, nothing done. */
  Unavailable: 'unavailable',
} as const;

export type PlatformOutage = (typeof PlatformOutage)[keyof typeof PlatformOutage];

/** Faults in force. */
export interface IPlatformFaults {
  readonly outage: PlatformOutage;
  /**
   * Wait before a request takes effect, in ms. It takes effect even when its sender gave up
   * meanwhile, as a request does that waits in a slow server's queue.
   */
  readonly delayMs: number;
  /** Requests take effect and are never answered; their connections stay open. */
  readonly oneWay: boolean;
  /** This many further writes take effect, and their connections are then reset. */
  readonly loseNextAnswers: number;
  /** Reads and scans of the table show it as it was this long ago, in ms; at most 60000. */
  readonly staleMs: number;
  /** Reads, scans, object reads and VM lists allowed a second; 0: no limit. Above it: 503. */
  readonly readsPerSecond: number;
  /** Transactions and object writes allowed a second; 0: no limit. Above it: 503. */
  readonly writesPerSecond: number;
  /**
   * Transactions take effect whatever their conditions. No platform may do this; it is here so
   * that a run that must fail can be shown to fail.
   */
  readonly ignoreConditions: boolean;
  /** How far the VM list lags, in ms. */
  readonly vmLagMs: number;
}

/** A platform in good health; its VM list lags by a second. */
export const NO_PLATFORM_FAULTS: IPlatformFaults = {
  outage: PlatformOutage.None,
  delayMs: 0,
  oneWay: false,
  loseNextAnswers: 0,
  staleMs: 0,
  readsPerSecond: 0,
  writesPerSecond: 0,
  ignoreConditions: false,
  vmLagMs: 1000,
};

/** Operations since the start. A transaction is one write, however many rows it has. */
export interface IPlatformCounters {
  readonly reads: number;
  readonly writes: number;
  readonly rowsRead: number;
  readonly rowsWritten: number;
  /** Transactions whose conditions failed. */
  readonly conflicts: number;
  /** Requests answered 503. */
  readonly refused: number;
  readonly answersLost: number;
  /** Bytes of request and answer bodies. */
  readonly bytesReceived: number;
  readonly bytesSent: number;
  /** Requests by path; objects count as one path. */
  readonly byPath: Readonly<Record<string, number>>;
}
