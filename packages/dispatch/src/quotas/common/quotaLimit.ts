/** What a quota amounts to in one window. */
import type { ITenantBounds, ITenantRule } from '../../tenants/common/tenant.js';

/**
 * Part of what a window may hold above the limit that homes use; the rest covers homes that change or do
 * not know of each other yet, and nodes that reach no home.
 */
const HOMES_EXTRA_SHARE = 0.35;
const MS_PER_S = 1000;

/** Requests of a tenant in one window. */
export interface IWindowLimit {
  /** What all homes together let in. */
  readonly homes: number;
  /** How much more than its rate and burst a tenant may have at the most. */
  readonly extra: number;
}

/**
 * The limit of a tenant; undefined for one without.
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

/** Requests a second that a tenant may send if it uses each window to its end; undefined without a limit. */
export function computeMeanLimit(tenant: ITenantRule, bounds: ITenantBounds): number | undefined {
  const limit = computeWindowLimit(tenant, bounds);
  return limit === undefined ? undefined : (limit.homes * MS_PER_S) / bounds.quotaWindowMs;
}
