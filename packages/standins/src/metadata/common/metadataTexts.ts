/** Configuration and target entries as written to the metadata store, in the published format. */

/** A route in the operator's configuration. */
export interface IMetadataRoute {
  readonly name: string;
  readonly host: string;
  readonly prefix: string;
  readonly kind: 'safe' | 'unsafe';
  readonly timeoutS: number;
  readonly objectiveS: number;
  readonly maxAttempts: number;
  readonly service: string;
  /** Services with their shares, in place of the one service. Default: none. */
  readonly split?: readonly { readonly service: string; readonly weight: number }[];
}

/** The entry of a target. */
export interface IMetadataTarget {
  readonly address: string;
  readonly service: string;
  readonly failureDomain: string;
  readonly slots: number;
  /** Default false. */
  readonly isDraining?: boolean;
  /** Start time, in ms since the Unix epoch. Default: not reported. */
  readonly bornMs?: number;
}

/** What a caller may send, with the names of the published format. */
export interface IMetadataLimits {
  readonly max_header_bytes: number;
  readonly max_body_bytes: number;
  readonly header_timeout_s: number;
  readonly idle_timeout_s: number;
}

const LIMITS: IMetadataLimits = {
  max_header_bytes: 16_384,
  max_body_bytes: 65_536,
  header_timeout_s: 3,
  idle_timeout_s: 15,
};

/**
 * Returns the text of a complete configuration.
 *
 * @example
 * store.put('op', 'config', makeConfigText(3, routes, ['booking']));
 */
export function makeConfigText(
  version: number,
  routes: readonly IMetadataRoute[],
  services: readonly string[],
  limits: Partial<IMetadataLimits> = {},
): string {
  return JSON.stringify({
    version: `r${version}`,
    limits: { ...LIMITS, ...limits },
    routes: {
      columns: [
        'name',
        'host',
        'prefix',
        'kind',
        'timeout_s',
        'target_latency_s',
        'max_attempts',
        'service',
        'split',
      ],
      rows: routes.map((route) => [
        route.name,
        route.host,
        route.prefix,
        route.kind,
        route.timeoutS,
        route.objectiveS,
        route.maxAttempts,
        route.split === undefined ? route.service : null,
        route.split ?? null,
      ]),
    },
    services: {
      columns: ['name', 'health_path', 'max_conns'],
      rows: services.map((name) => [name, '/healthz', 99]),
    },
  });
}

/**
 * Returns the text of the entry that a target writes about itself.
 *
 * @example
 * store.put('servers', 'i-1', makeTargetText({ address, service: 'booking', failureDomain: 'north', slots: 4 }));
 */
export function makeTargetText(target: IMetadataTarget): string {
  return JSON.stringify({
    ...(target.bornMs === undefined ? {} : { born: target.bornMs }),
    address: target.address,
    info: {
      service: target.service,
      zone: target.failureDomain,
      slots: target.slots,
      version: 'v1',
    },
    status: {
      state: target.isDraining === true ? 'draining' : 'ready',
      seq: 1,
      cold_left_s: 0,
    },
  });
}

/**
 * Invalid entries as other writers might leave them: not JSON, not an object, with missing fields,
 * fields of another type or unknown values. None of them identifies a usable target.
 */
export const INVALID_TARGET_TEXTS: readonly string[] = [
  '',
  '{"address":',
  '[]',
  '{"address":"127.0.0.1:1"}',
  '{"address":"127.0.0.1:1","info":{"service":7,"version":"v1","zone":"z","slots":4},"status":{"state":"ready","seq":1,"cold_left_s":0}}',
  '{"address":"127.0.0.1:1","info":{"service":"book","version":"v1","zone":"z","slots":4},"status":{"state":"asleep","seq":1,"cold_left_s":0}}',
];
