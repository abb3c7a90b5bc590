/** Finds the route of a request by host, path and method. */
import type { MemberConfig, Route } from '@parsleymux/schema';
import type { IFleetConfig, IFleetConfigChange } from '../../fleetConfig/common/fleetConfig.js';

/** The route of a request and the member that owns it. */
export interface IRouteMatch {
  readonly member: string;
  readonly route: Route;
}

/** The reason why a request matches no route. */
export const RouteMiss = {
  UnknownHost: 'unknown-host',
  UnknownPath: 'unknown-path',
  MethodNotAllowed: 'method-not-allowed',
} as const;

export type RouteMiss = (typeof RouteMiss)[keyof typeof RouteMiss];

/** The routes of one host name, longest path prefix first. */
interface IHostRoutes {
  readonly member: string;
  /** Fleet revision of the configuration that contains the routes. */
  readonly fleetRevision: bigint;
  readonly matches: readonly IRouteMatch[];
}

/**
 * An index of all routes. A change rebuilds only the hosts of the members that changed, so that
 * frequent changes of one member don't slow down the requests of others.
 *
 * @example
 * const table = new RouteTable(config);
 * const match = table.match('booking.example', '/jobs/7', 'POST');
 */
export class RouteTable {
  private readonly routesByHost = new Map<string, IHostRoutes>();
  private readonly hostsByMember = new Map<string, readonly string[]>();

  constructor(config: IFleetConfig) {
    for (const memberConfig of config.members.values()) this.addMember(memberConfig);
  }

  /** Applies a change of some members' configurations. */
  update(change: IFleetConfigChange): void {
    for (const member of change.members) this.removeMember(member);
    for (const member of change.members) {
      const memberConfig = change.config.members.get(member);
      if (memberConfig !== undefined) this.addMember(memberConfig);
    }
  }

  /** Returns the match with the longest path prefix, or the reason why there is none. */
  match(host: string, path: string, method: string): IRouteMatch | RouteMiss {
    const matches = this.routesByHost.get(host)?.matches;
    if (matches === undefined) return RouteMiss.UnknownHost;
    const onPath = matches.filter(({ route }) => path.startsWith(route.pathPrefix));
    if (onPath.length === 0) return RouteMiss.UnknownPath;
    const found = onPath.find(({ route }) => {
      return route.methods.length === 0 || route.methods.includes(method);
    });
    return found ?? RouteMiss.MethodNotAllowed;
  }

  private addMember(memberConfig: MemberConfig): void {
    const { member, fleetRevision } = memberConfig;
    const byHost = new Map<string, IRouteMatch[]>();
    for (const route of memberConfig.intent?.routes ?? []) {
      const matches = byHost.get(route.host) ?? [];
      matches.push({ member, route });
      byHost.set(route.host, matches);
    }
    for (const [host, matches] of byHost) {
      // A host that moved to another member can be in both members' configurations while the former
      // owner's newer configuration can't be read. Requests go to the member that claimed it last.
      const other = this.routesByHost.get(host);
      if (other !== undefined && other.fleetRevision > fleetRevision) continue;
      matches.sort((left, right) => right.route.pathPrefix.length - left.route.pathPrefix.length);
      this.routesByHost.set(host, { member, fleetRevision, matches });
    }
    this.hostsByMember.set(member, [...byHost.keys()]);
  }

  private removeMember(member: string): void {
    for (const host of this.hostsByMember.get(member) ?? []) {
      if (this.routesByHost.get(host)?.member === member) this.routesByHost.delete(host);
    }
    this.hostsByMember.delete(member);
  }
}
