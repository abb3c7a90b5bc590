/** Converts quotas to limits per window. */
import type { ITenantBounds, ITenantRule } from '../../catalog/common/tenant.js';

/**
 * Part of the tolerance of a window that homes use. The rest covers homes that are replaced or have not
 * received each other's announcements yet, and nodes that reach no home.
 */
const HOMES_EXTRA_SHARE = 0.35;
const MS_PER_S = 1000;

/** Limits for the requests of a tenant in one window. */
export interface IWindowLimit {
  /** Requests that all homes together admit. */
  readonly homes: number;
  /** Tolerance above the tenant's rate and burst. */
  readonly extra: number;
}

/**
 * Returns the window limit of a tenant; undefined for a tenant without a quota.
 *
 * @example
 * const limit = computeWindowLimit(tenant, bounds);
 */
export function computeWindowLimit(
  { burst, ratePerS }: ITenantRule,
  { quotaExcess, quotaSlack, quotaWindowMs }: ITenantBounds,
): IWindowLimit | undefined {
  if (ratePerS === undefined) return undefined;
  const nominal = (ratePerS * quotaWindowMs) / MS_PER_S + burst;
  const extra = quotaExcess * nominal + quotaSlack;
  return { homes: nominal + HOMES_EXTRA_SHARE * extra, extra };
}

/** Returns the highest sustained rate of a tenant, in requests per second; undefined without a quota. */
export function computeMeanLimit(tenant: ITenantRule, bounds: ITenantBounds): number | undefined {
  const limit = computeWindowLimit(tenant, bounds);
  return limit === undefined ? undefined : (limit.homes * MS_PER_S) / bounds.quotaWindowMs;
}
