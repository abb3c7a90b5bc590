/** Addresses that no member may name as a target: the platform's and the nodes' own. */
import { isLoopbackAddress } from '@parsleymux/config';
import type { INode } from '@parsleymux/fleet';

/** What the list is made from. */
export interface IReservedAddressesInput {
  readonly platformUrl: string;
  /** This node's listening addresses, each "IP:port". */
  readonly localAddresses: readonly string[];
  readonly nodes: readonly INode[];
}

const DEFAULT_PORTS: Readonly<Record<string, string>> = { 'http:': '80', 'https:': '443' };

/**
 * The platform, and every node's VM at the ports that this node listens on: a fleet's nodes have
 * the same settings. On loopback, where a fleet shares one computer with its targets, only the
 * addresses that are known themselves.
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
