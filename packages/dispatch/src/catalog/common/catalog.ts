/** What is to be served: routes, services, targets and limits, in the product's own words. */
import type { ITenantRule } from '../../tenants/common/tenant.js';

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
  /** Whether requests need no key where others do. Default: false. */
  readonly isPublic?: boolean | undefined;
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
  /** Whether requests need the key of a tenant. Default: false. */
  readonly requiresKeys?: boolean | undefined;
  /** Undefined where requests need no keys; in a copy of a node, tenants have a table of their own. */
  readonly tenants?: readonly ITenantRule[] | undefined;
}

/** One incarnation of a target, as it registered itself. */
export interface ITargetRecord {
  /** Identifies the target; it may start anew under the same one, see {@link bornMs}. */
  readonly id: string;
  /**
   * When the target started, in ms of Unix time: tells one life from the next. Undefined for
   * targets that don't say it; these have a new identifier at each start.
   */
  readonly bornMs?: number | undefined;
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

/**
 * Whether both are the same start of the same target. What is known of one life says nothing of
 * the next: slots, connections, failures and a drain all ended with the process.
 *
 * @example
 * if (!isSameLife(known, record)) forget(known);
 */
export function isSameIncarnation(left: ITargetRecord, right: ITargetRecord): boolean {
  return left.id === right.id && left.bornMs === right.bornMs;
}

/**
 * Names one life of a target, for what holds for that life alone.
 *
 * @example
 * formatLife(target); // 'i-7f3a/1780000000000'
 */
export function formatIncarnation({ bornMs, id }: ITargetRecord): string {
  return bornMs === undefined ? id : `${id}/${bornMs}`;
}

/**
 * Whether `next` is what an earlier life of the target said of itself. A call to a store that lost
 * its answer may take effect seconds late; a drain of the former life would then be taken for one
 * of the life that has just begun.
 *
 * @example
 * if (isEarlierLife(known, next)) return known;
 */
export function isEarlierIncarnation(known: ITargetRecord, next: ITargetRecord): boolean {
  const { bornMs } = known;
  return bornMs !== undefined && (next.bornMs ?? -Infinity) < bornMs;
}
