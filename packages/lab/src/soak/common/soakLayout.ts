/** The deployment that the soak runs: services, routes and their limits. */
import type { IMetadataRoute } from '@parsleymux/standins';
import { makeConfigText } from '@parsleymux/standins';

export const SOAK_HOST = 'soak.example';
export const BOOKING_SERVICE = 'booking';
export const LISTING_SERVICE = 'listing';
export const SOAK_SERVICES = [BOOKING_SERVICE, LISTING_SERVICE] as const;
export const SOAK_FAILURE_DOMAINS = ['north', 'south', 'west'] as const;
/** Failure domains of the nodes in turn, which have different sizes. */
export const SOAK_NODE_DOMAINS = ['north', 'south', 'north', 'south', 'west'] as const;
export const BOOKING_PREFIX = '/bookings/';
export const LISTING_PREFIX = '/lists/';
/** Requests with this path prefix crash the targets that run them. */
export const CRASH_PREFIX = `${LISTING_PREFIX}crash-`;
/** Maximum number of targets that one request may be sent to. */
export const MAX_ATTEMPTS = 2;
/** Timeout of every route, in s. */
export const ROUTE_TIMEOUT_S = 2;

/** Bounds of the deployment, with their names in the settings file. */
export const SOAK_BOUNDS = {
  drain_s: 2,
  grace_s: 6,
  config_apply_s: 2,
  retry_ratio: 0.2,
  retry_window_s: 10,
  retry_burst: 20,
  floor_share: 0.7,
} as const;

/** All optional parts of the scheduling that need no tenants. */
export const SOAK_SCHEDULING = {
  returns: { enabled: true },
  admission: { enabled: true },
  rejections: { enabled: true },
  speeds: { enabled: true },
  handover: { enabled: true },
} as const;

/**
 * Formats a path prefix that only the configuration of this version has, so that one request shows whether
 * a node has applied it.
 */
export function formatVersionPrefix(version: number): string {
  return `/at-${version}/`;
}

const CHANGING_PREFIX = '/changing/';
const ADDED_PREFIX = `${CHANGING_PREFIX}since-`;
/** A version keeps the routes that were added by versions with numbers up to this much lower. */
const ADDED_SPAN = 100;

/**
 * Formats a path prefix that a version adds and later ones keep, so that one request shows whether a node has a
 * version that is at least as new.
 */
export function formatAddedPrefix(version: number): string {
  return `${ADDED_PREFIX}${version}/`;
}

/** A route that versions add, drop, nest into another, move to another service or split. */
interface IChangingRoute {
  readonly prefix: string;
  /** Without any, the version has no such route. */
  readonly services: readonly string[];
}

/** Steps between the numbers of successive versions, which repeat. */
const VERSION_STEPS = [1, 3, 2, 5];

/** Returns the number of the next version, after `count` versions of which `previous` is the last. */
export function computeNextVersion(previous: number, count: number): number {
  return previous + (VERSION_STEPS[count % VERSION_STEPS.length] ?? 1);
}

function listChangingRoutes(version: number): readonly IChangingRoute[] {
  const isOdd = version % 2 === 1;
  const [service, other] = isOdd
    ? [BOOKING_SERVICE, LISTING_SERVICE]
    : [LISTING_SERVICE, BOOKING_SERVICE];
  return [
    { prefix: `${CHANGING_PREFIX}moved/`, services: [service] },
    { prefix: `${CHANGING_PREFIX}moved/nested/`, services: version % 3 === 1 ? [other] : [] },
    {
      prefix: `${CHANGING_PREFIX}split/`,
      services: version % 4 < 2 ? [service] : [service, other],
    },
    { prefix: `${CHANGING_PREFIX}dropped/`, services: isOdd ? [LISTING_SERVICE] : [] },
  ];
}

function listAddedRoutes(version: number): readonly IChangingRoute[] {
  const first = Math.max(1, version - ADDED_SPAN);
  return Array.from({ length: version - first + 1 }, (_, index) => {
    return { prefix: formatAddedPrefix(first + index), services: [LISTING_SERVICE] };
  });
}

/** Path prefixes whose routes change from version to version. */
export const CHANGING_PREFIXES: readonly string[] = listChangingRoutes(0).map(
  ({ prefix }) => prefix,
);

/** Lists the services that may handle a request for a changing route under a version; none means 404. */
export function listChangingServices(version: number, path: string): readonly string[] {
  const isAdded = path.startsWith(ADDED_PREFIX);
  const routes = isAdded ? listAddedRoutes(version) : listChangingRoutes(version);
  const matching = routes.filter(({ prefix, services }) => {
    return path.startsWith(prefix) && services.length > 0;
  });
  const [longest] = [...matching].sort((left, right) => right.prefix.length - left.prefix.length);
  return longest?.services ?? [];
}

/** Every third version has this many routes more by default, which no caller uses. */
const ADDED_ROUTES = 1400;
const LARGE_VERSION_INTERVAL = 3;

/**
 * Builds the configuration of one version.
 *
 * @example
 * store.put('op', 'config', makeSoakConfig(4));
 */
export function makeSoakConfig(version: number, addedRoutes = ADDED_ROUTES): string {
  const common = { host: SOAK_HOST, timeoutS: ROUTE_TIMEOUT_S, objectiveS: 0.6 };
  const addedCount = version % LARGE_VERSION_INTERVAL === 0 ? addedRoutes : 0;
  const added = Array.from({ length: addedCount }, (_, index) => {
    const name = `added-${version}-${index}`;
    return { ...common, name, prefix: `/${name}/`, kind: 'safe', maxAttempts: 1 } as const;
  });
  const changing = [...listChangingRoutes(version), ...listAddedRoutes(version)].flatMap(
    ({ prefix, services }) => {
      const [service] = services;
      if (service === undefined) return [];
      const split = services.map((name) => ({ service: name, weight: 1 }));
      const route = {
        ...common,
        name: prefix,
        prefix,
        kind: 'safe',
        maxAttempts: 1,
        service,
      } as const;
      return services.length > 1 ? { ...route, split } : route;
    },
  );
  const routes: readonly IMetadataRoute[] = [
    ...changing,
    {
      ...common,
      name: 'bookings',
      prefix: BOOKING_PREFIX,
      kind: 'unsafe',
      maxAttempts: MAX_ATTEMPTS,
      service: BOOKING_SERVICE,
    },
    {
      ...common,
      name: 'lists',
      prefix: LISTING_PREFIX,
      kind: 'safe',
      maxAttempts: MAX_ATTEMPTS,
      service: LISTING_SERVICE,
    },
    {
      ...common,
      name: `at-${version}`,
      prefix: formatVersionPrefix(version),
      kind: 'safe',
      maxAttempts: 1,
      service: LISTING_SERVICE,
    },
    ...added.map((route) => ({ ...route, service: LISTING_SERVICE })),
  ];
  return makeConfigText(version, routes, SOAK_SERVICES);
}
