/** What is to be served: routes, services, targets and limits, in the product's own words. */

/** One service among those that share a route's requests. */
export interface IDestination {
  readonly service: string;
  /** Share of the requests, relative to the weights of the other destinations. */
  readonly weight: number;
}

/** One route: requests for a host below a path prefix. */
export interface IRouteRule {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  /** Whether a request may run more than once. */
  readonly isIdempotent: boolean;
  /** Longest time that a request may be kept waiting, in ms. */
  readonly timeoutMs: number;
  /** Time within which an answer is worth most, in ms. */
  readonly objectiveMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Targets that one request may be sent to, at most. */
  readonly maxAttempts: number;
  readonly destinations: readonly IDestination[];
}

/** One service as configured. */
export interface IServiceRule {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that one target accepts from all nodes together. */
  readonly maxConnections: number;
}

/** What callers may send, and how long they may take or stay idle. */
export interface ICallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the whole configuration. */
export interface ICatalog {
  /** Newer configurations have higher versions. */
  readonly version: number;
  readonly routes: readonly IRouteRule[];
  readonly services: readonly IServiceRule[];
  readonly limits: ICallerLimits;
}

/** One incarnation of a target, as it registered itself. */
export interface ITargetRecord {
  /** Identifies the incarnation: a target that starts anew has a new one. */
  readonly id: string;
  readonly service: string;
  /** IP number and port; may belong to another target later. */
  readonly address: string;
  readonly failureDomain: string;
  /** Requests that it works on at the same time. */
  readonly slots: number;
  readonly isDraining: boolean;
  /** How much longer it stays slow after its start, in ms, when it registered. */
  readonly coldMs: number;
}
