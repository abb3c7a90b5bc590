/** Finds the route of a request by its host and the longest matching path prefix. */
import type { IRouteRule } from '@parsleymux/scheduling';

/** Result of a route lookup. */
export type RouteMatch =
  | { readonly kind: 'found'; readonly route: IRouteRule }
  | { readonly kind: 'unknown-host' }
  | { readonly kind: 'unknown-path' };

/**
 * Indexes the routes of one configuration. Matching a path of n segments takes at most n + 1 lookups,
 * regardless of the number of routes of its host.
 *
 * @example
 * const match = new RouteTable(catalog.routes).match('booking.example', '/orders/7');
 */
export class RouteTable {
  private readonly hosts = new Map<string, Map<string, IRouteRule>>();

  constructor(routes: readonly IRouteRule[]) {
    for (const route of routes) {
      const host = route.host.toLowerCase();
      const prefixes = this.hosts.get(host) ?? new Map<string, IRouteRule>();
      this.hosts.set(host, prefixes.set(route.prefix, route));
    }
  }

  /** Finds the route of a request; `hostHeader` may include a port, `path` a query. */
  match(hostHeader: string, path: string): RouteMatch {
    const prefixes = this.hosts.get(parseHost(hostHeader));
    if (prefixes === undefined) return { kind: 'unknown-host' };
    const route = findLongestPrefix(prefixes, removeQuery(path));
    return route === undefined ? { kind: 'unknown-path' } : { kind: 'found', route };
  }
}

function parseHost(header: string): string {
  return header.replace(/:\d+$/, '').toLowerCase();
}

function removeQuery(path: string): string {
  const queryStart = path.indexOf('?');
  return queryStart === -1 ? path : path.slice(0, queryStart);
}

function findLongestPrefix(
  prefixes: ReadonlyMap<string, IRouteRule>,
  path: string,
): IRouteRule | undefined {
  let end = path.lastIndexOf('/');
  while (end >= 0) {
    const route = prefixes.get(path.slice(0, end + 1));
    if (route !== undefined) return route;
    end = end === 0 ? -1 : path.lastIndexOf('/', end - 1);
  }
  return undefined;
}
