/** Types of the configuration and of registered targets: routes, services, limits, target records. */
import type { ITenantRule } from './tenant.js';

/** One of the services among which a route divides its requests. */
export interface IDestination {
  readonly service: string;
  /** Share of the requests, relative to the weights of the other destinations. */
  readonly weight: number;
}

/** One route: matches the requests for a host whose path begins with a prefix. */
export interface IRouteRule {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  /** Whether a request may be executed more than once. */
  readonly isIdempotent: boolean;
  /** Longest time that a request may take, in ms. */
  readonly timeoutMs: number;
  /** Latency objective, in ms: a later response is worth less. */
  readonly objectiveMs: number;
  /** Priority class; 0 is the highest. */
  readonly priority: number;
  /** Whether requests are accepted without a key even if the configuration requires keys. Default: false. */
  readonly isPublic?: boolean | undefined;
  /** Most targets that one request may be sent to. */
  readonly maxAttempts: number;
  readonly destinations: readonly IDestination[];
}

/** The configuration of one service. */
export interface IServiceRule {
  readonly name: string;
  readonly healthPath: string;
  /** Most connections that one target accepts from all nodes together. */
  readonly maxConnections: number;
}

/** Limits on the size and timing of callers' requests and on idle connections. */
export interface ICallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the whole configuration. */
export interface ICatalog {
  /** Increases with each change of the configuration. */
  readonly version: number;
  readonly routes: readonly IRouteRule[];
  readonly services: readonly IServiceRule[];
  readonly limits: ICallerLimits;
  /** Whether requests must carry the key of a tenant. Default: false. */
  readonly requiresKeys?: boolean | undefined;
  /** Undefined if requests need no keys, and in nodes' copies, which hold tenants in a separate table. */
  readonly tenants?: readonly ITenantRule[] | undefined;
}

/** One incarnation (start of the process) of a target, as it registered itself. */
export interface ITargetRecord {
  /** Identifies the target; may be reused after a restart, see {@link bornMs}. */
  readonly id: string;
  /**
   * When the target started, in ms of Unix time; distinguishes its incarnations. Undefined for targets that
   * don't report it; these use a new identifier at each start.
   */
  readonly bornMs?: number | undefined;
  readonly service: string;
  /** IP address and port; may belong to another target later. */
  readonly address: string;
  readonly failureDomain: string;
  /** Number of requests that the target processes concurrently. */
  readonly slots: number;
  readonly isDraining: boolean;
  /** How much longer the target stays slow after its start, in ms, as of its registration. */
  readonly coldMs: number;
}

/**
 * Whether both records describe the same incarnation of the same target. State of one incarnation doesn't
 * apply to the next: slots, connections, failures and draining end with the process.
 *
 * @example
 * if (!isSameIncarnation(known, record)) discard(known);
 */
export function isSameIncarnation(left: ITargetRecord, right: ITargetRecord): boolean {
  return left.id === right.id && left.bornMs === right.bornMs;
}

/**
 * Formats a key that identifies one incarnation of a target.
 *
 * @example
 * formatIncarnation(target); // 'i-7f3a/1780000000000'
 */
export function formatIncarnation({ bornMs, id }: ITargetRecord): string {
  return bornMs === undefined ? id : `${id}/${bornMs}`;
}

/**
 * Whether `next` was registered by an earlier incarnation of the target than `known`. A store call whose
 * response was lost may take effect seconds late; without this check, the drain of the former incarnation
 * would be applied to the new one.
 *
 * @example
 * if (isEarlierIncarnation(known, next)) return known;
 */
export function isEarlierIncarnation(known: ITargetRecord, next: ITargetRecord): boolean {
  const { bornMs } = known;
  return bornMs !== undefined && (next.bornMs ?? -Infinity) < bornMs;
}
