/** Tenants, their keys and their quotas. */

/** One tenant as configured. */
export interface ITenantRule {
  readonly name: string;
  /** Digests of the tenant's keys; see computeKeyDigest. */
  readonly keys: readonly string[];
  /** Overrides the route's priority if set. */
  readonly priority?: number | undefined;
  /** Average rate limit over all nodes, in requests per second; undefined means no limit. */
  readonly ratePerS?: number | undefined;
  /** Burst over all nodes, in requests. */
  readonly burst: number;
}

/** Tolerances for quotas and the lease on keys, from the settings. */
export interface ITenantBounds {
  /**
   * Lease on keys, in ms: a node without a freshness proof for its keys for this long refuses all of them.
   * Undefined means that keys never expire.
   */
  readonly keyLeaseMs: number | undefined;
  /** Time within which every connected node applies a new key, in ms. */
  readonly applyMs: number;
  /** Length of the window in which the requests of a tenant are counted, in ms. */
  readonly quotaWindowMs: number;
  /** Share by which a limit may be exceeded in a window. */
  readonly quotaExcess: number;
  /** Requests by which a limit may be exceeded in a window, in addition to that share. */
  readonly quotaSlack: number;
}

/** Default bounds: keys never expire, and quotas have no tolerance. */
export const DEFAULT_TENANT_BOUNDS: ITenantBounds = {
  keyLeaseMs: undefined,
  applyMs: 0,
  quotaWindowMs: 1000,
  quotaExcess: 0,
  quotaSlack: 0,
};

/** Whether two rules are equal. */
export function isSameTenant(left: ITenantRule, right: ITenantRule): boolean {
  return (
    left.priority === right.priority &&
    left.ratePerS === right.ratePerS &&
    left.burst === right.burst &&
    left.keys.length === right.keys.length &&
    left.keys.every((key, index) => key === right.keys[index])
  );
}
