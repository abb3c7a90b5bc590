/** Finds the route of a request: by host, then by the longest prefix of its path. */
import type { IRouteRule } from './catalog.js';

/** Outcome of a look-up. */
export type RouteMatch =
  | { readonly kind: 'found'; readonly route: IRouteRule }
  | { readonly kind: 'unknown-host' }
  | { readonly kind: 'unknown-path' };

/**
 * An index over the routes of one configuration. A path of n segments takes at most n + 1 look-ups,
 * however many routes its host has.
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

  /** `hostHeader` may carry a port; `path` may carry a query. */
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
  const mark = path.indexOf('?');
  return mark === -1 ? path : path.slice(0, mark);
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
