/** Addresses that no member may declare as a target: those of the platform and of the nodes. */
import { isLoopbackAddress } from '@parsleymux/config';
import type { INode } from '@parsleymux/fleet';

/** Options of {@link listReservedAddresses}. */
export interface IReservedAddressesInput {
  readonly platformUrl: string;
  /** This node's listening addresses, each "IP:port". */
  readonly localAddresses: readonly string[];
  readonly nodes: readonly INode[];
}

const DEFAULT_PORTS: Readonly<Record<string, string>> = { 'http:': '80', 'https:': '443' };

/**
 * Lists the address of the platform and, for each node's VM, the ports that this node listens on,
 * since all nodes of a fleet have the same settings. When all nodes are on loopback, a fleet shares
 * its host with its targets, so only the addresses that are known exactly are reserved.
 *
 * @example
 * const reserved = listReservedAddresses({ platformUrl, ownAddresses, nodes });
 */
export function listReservedAddresses(input: IReservedAddressesInput): readonly string[] {
  const url = new URL(input.platformUrl);
  const platform = `${url.hostname}:${url.port === '' ? (DEFAULT_PORTS[url.protocol] ?? '') : url.port}`;
  const peers = input.nodes.map((node) => node.address);
  const known = [platform, ...input.localAddresses, ...peers];
  if (peers.every(isLoopbackAddress)) return known;
  const ports = input.localAddresses.map((address) => address.slice(address.lastIndexOf(':') + 1));
  const hosts = peers.map((address) => address.slice(0, address.lastIndexOf(':')));
  return [...known, ...hosts.flatMap((host) => ports.map((port) => `${host}:${port}`))];
}
