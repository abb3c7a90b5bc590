/** Finds the route of a request by host, path and method. */
import type { Route } from '@parsleymux/schema';
import type { IFleetConfig } from '../../fleetConfig/common/fleetConfig.js';

/** The route that a request takes, and whose it is. */
export interface IRouteMatch {
  readonly member: string;
  readonly route: Route;
}

/** Why there is no match. */
export const RouteMiss = {
  UnknownHost: 'unknown-host',
  UnknownPath: 'unknown-path',
  MethodNotAllowed: 'method-not-allowed',
} as const;

export type RouteMiss = (typeof RouteMiss)[keyof typeof RouteMiss];

/**
 * An index over all routes, rebuilt for the hosts of a member when its configuration changes.
 *
 * @example
 * const table = new RouteTable(config);
 * const match = table.match('booking.example', '/jobs/7', 'POST');
 */
export class RouteTable {
  private readonly routesByHost = new Map<string, IRouteMatch[]>();

  constructor(config: IFleetConfig) {
    for (const memberConfig of config.members.values()) {
      for (const route of memberConfig.intent?.routes ?? []) {
        this.addRoute({ member: memberConfig.member, route });
      }
    }
    for (const matches of this.routesByHost.values()) {
      matches.sort((left, right) => right.route.pathPrefix.length - left.route.pathPrefix.length);
    }
  }

  /** The match with the longest path prefix, or why there is none. */
  match(host: string, path: string, method: string): IRouteMatch | RouteMiss {
    const matches = this.routesByHost.get(host);
    if (matches === undefined) return RouteMiss.UnknownHost;
    const onPath = matches.filter(({ route }) => path.startsWith(route.pathPrefix));
    if (onPath.length === 0) return RouteMiss.UnknownPath;
    const found = onPath.find(({ route }) => {
      return route.methods.length === 0 || route.methods.includes(method);
    });
    return found ?? RouteMiss.MethodNotAllowed;
  }

  private addRoute(match: IRouteMatch): void {
    const matches = this.routesByHost.get(match.route.host);
    if (matches === undefined) this.routesByHost.set(match.route.host, [match]);
    else matches.push(match);
  }
}
