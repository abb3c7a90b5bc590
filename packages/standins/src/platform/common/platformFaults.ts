/** Injectable faults and counters of the platform stand-in. */

/** Kind of outage. */
export const PlatformOutage = {
  None: 'none',
  /** The port is closed: connections are refused and open ones are reset. */
  Refused: 'refused',
  /** Every request is rejected with 503 and not executed. */
  Unavailable: 'unavailable',
} as const;

export type PlatformOutage = (typeof PlatformOutage)[keyof typeof PlatformOutage];

/** Active faults. */
export interface IPlatformFaults {
  readonly outage: PlatformOutage;
  /**
   * Delay before a request takes effect, in ms. It takes effect even if its sender disconnects
   * meanwhile, as with a request in the queue of a slow server.
   */
  readonly delayMs: number;
  /** Requests take effect, but no response is sent; their connections stay open. */
  readonly oneWay: boolean;
  /** Number of further writes that take effect and whose connections are then closed without a response. */
  readonly loseNextAnswers: number;
  /** Staleness of reads and scans of the table, in ms; at most 60000. */
  readonly staleMs: number;
  /** Maximum reads, scans, object reads and VM lists per second, above which 503 is sent; 0: no limit. */
  readonly readsPerSecond: number;
  /** Maximum transactions and object writes per second, above which 503 is sent; 0: no limit. */
  readonly writesPerSecond: number;
  /**
   * Transactions take effect regardless of their conditions. This is not permitted behavior of a
   * platform; it exists to show that checks detect violations.
   */
  readonly ignoreConditions: boolean;
  /** Lag of the VM list, in ms. */
  readonly vmLagMs: number;
}

/** No faults, except that the VM list lags by one second. */
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

/** Counters since the start. A transaction counts as one write, regardless of its number of rows. */
export interface IPlatformCounters {
  readonly reads: number;
  readonly writes: number;
  readonly rowsRead: number;
  readonly rowsWritten: number;
  /** Transactions whose conditions failed. */
  readonly conflicts: number;
  /** Requests rejected with 503. */
  readonly refused: number;
  readonly answersLost: number;
  /** Bytes of request bodies. */
  readonly bytesReceived: number;
  /** Bytes of response bodies. */
  readonly bytesSent: number;
  /** Requests by path; all objects count as one path. */
  readonly byPath: Readonly<Record<string, number>>;
}
