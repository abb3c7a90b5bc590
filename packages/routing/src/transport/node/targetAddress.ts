/** Parses the addresses of targets as written in configurations. */

/** An IP address and a port. */
export interface ITargetAddress {
  readonly host: string;
  readonly port: number;
}

/**
 * Splits `127.0.0.1:9001` or `[::1]:9001`.
 *
 * @example
 * parseTargetAddress('[::1]:9001'); // { host: '::1', port: 9001 }
 */
export function parseTargetAddress(target: string): ITargetAddress {
  const colon = target.lastIndexOf(':');
  const host = target.slice(0, colon).replace(/^\[|\]$/g, '');
  return { host, port: Number(target.slice(colon + 1)) };
}
