/** Differences between two versions of the configuration. */
import type { ICallerLimits, ICatalog, IRouteRule, IServiceRule } from '@parsleymux/scheduling';

/** Changes of a list whose items have unique names. */
export interface IListPatch<T> {
  /** Added items, and new values of changed ones. */
  readonly put: readonly T[];
  /** Names of removed items. */
  readonly removed: readonly string[];
  /** Number of items after the changes. */
  readonly size: number;
}

/** Everything that differs between two versions of the configuration, except for tenants. */
export interface ICatalogPatch {
  /** Version of the configuration to which the patch applies. */
  readonly base: number;
  /** Version of the configuration that results. */
  readonly version: number;
  readonly routes: IListPatch<IRouteRule>;
  readonly services: IListPatch<IServiceRule>;
  readonly limits: ICallerLimits;
  readonly requiresKeys: boolean;
}

interface INamed {
  readonly name: string;
}

/**
 * Computes the patch from one version to another. Returns undefined if names aren't unique.
 *
 * @example
 * const patch = computeCatalogPatch(known, next);
 */
export function computeCatalogPatch(from: ICatalog, to: ICatalog): ICatalogPatch | undefined {
  const routes = computeListPatch(from.routes, to.routes, isSameRoute);
  const services = computeListPatch(from.services, to.services, isSameService);
  if (routes === undefined || services === undefined) return undefined;
  const { limits, requiresKeys = false, version } = to;
  return { base: from.version, version, routes, services, limits, requiresKeys };
}

/**
 * Applies a patch. Returns undefined if it is for another version, or if the result doesn't have the expected
 * number of items.
 *
 * @example
 * const next = applyCatalogPatch(known, patch) ?? (await fetchWhole());
 */
export function applyCatalogPatch(from: ICatalog, patch: ICatalogPatch): ICatalog | undefined {
  if (from.version !== patch.base) return undefined;
  const routes = applyListPatch(from.routes, patch.routes);
  const services = applyListPatch(from.services, patch.services);
  if (routes === undefined || services === undefined) return undefined;
  const { limits, requiresKeys, version } = patch;
  return { version, routes, services, limits, requiresKeys };
}

/**
 * Returns `next` with the routes and services that are unchanged taken from `known`, so that several
 * versions of a large configuration share most of their memory.
 *
 * @example
 * const next = mergeCatalog(known, decodeCatalog(text));
 */
export function mergeCatalog(known: ICatalog, next: ICatalog): ICatalog {
  return {
    ...next,
    routes: mergeItems(known.routes, next.routes, isSameRoute),
    services: mergeItems(known.services, next.services, isSameService),
  };
}

function mergeItems<T extends INamed>(
  known: readonly T[],
  next: readonly T[],
  isSame: (left: T, right: T) => boolean,
): readonly T[] {
  const byName = new Map(known.map((item) => [item.name, item]));
  return next.map((item) => {
    const same = byName.get(item.name);
    return same !== undefined && isSame(same, item) ? same : item;
  });
}

function computeListPatch<T extends INamed>(
  from: readonly T[],
  to: readonly T[],
  isSame: (left: T, right: T) => boolean,
): IListPatch<T> | undefined {
  const before = new Map(from.map((item) => [item.name, item]));
  const after = new Map(to.map((item) => [item.name, item]));
  if (before.size < from.length || after.size < to.length) return undefined;
  const put = to.filter((item) => {
    const known = before.get(item.name);
    return known === undefined || !isSame(known, item);
  });
  const removed = [...before.keys()].filter((name) => !after.has(name));
  return { put, removed, size: to.length };
}

function applyListPatch<T extends INamed>(
  from: readonly T[],
  { put, removed, size }: IListPatch<T>,
): readonly T[] | undefined {
  if (put.length === 0 && removed.length === 0) return from.length === size ? from : undefined;
  const items = new Map(from.map((item) => [item.name, item]));
  for (const name of removed) items.delete(name);
  for (const item of put) items.set(item.name, item);
  return items.size === size ? [...items.values()] : undefined;
}

function isSameRoute(left: IRouteRule, right: IRouteRule): boolean {
  return (
    left === right ||
    (left.host === right.host &&
      left.prefix === right.prefix &&
      left.isIdempotent === right.isIdempotent &&
      left.timeoutMs === right.timeoutMs &&
      left.objectiveMs === right.objectiveMs &&
      left.priority === right.priority &&
      (left.isPublic ?? false) === (right.isPublic ?? false) &&
      left.maxAttempts === right.maxAttempts &&
      hasSameDestinations(left, right))
  );
}

function hasSameDestinations({ destinations }: IRouteRule, other: IRouteRule): boolean {
  return (
    destinations.length === other.destinations.length &&
    destinations.every(({ service, weight }, index) => {
      const second = other.destinations[index];
      return second?.service === service && second.weight === weight;
    })
  );
}

function isSameService(left: IServiceRule, right: IServiceRule): boolean {
  return (
    left === right ||
    (left.healthPath === right.healthPath && left.maxConnections === right.maxConnections)
  );
}
