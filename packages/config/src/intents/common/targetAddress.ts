/**
 * Restricts the addresses that a member may use as targets. A node sends requests to them from
 * inside the fleet's network, so an intent must not address the platform, the nodes themselves or a
 * VM's metadata service. Each target must have a single spelling, or two members could both claim it.
 */

/** Rules of {@link findAddressProblem}. */
export interface IAddressRules {
  /** Addresses of the platform and the nodes, each "IP:port", which can't be targets. */
  readonly reserved: ReadonlySet<string>;
  /** True only for fleets that run on one computer, such as in tests. */
  readonly isLoopbackAllowed: boolean;
}

const IPV4 = /^\d{1,3}(\.\d{1,3}){3}$/;
const ADDRESS = /^(.*):(\d{1,5})$/;
const MAX_PORT = 65_535;
/** "This network", link-local with the VM's metadata service, multicast, reserved and broadcast. */
const FORBIDDEN_IPV4 = /^(0|22[4-9]|23\d|24\d|25[0-5])\.|^169\.254\./;
/** Unspecified, link-local, multicast, and embedded IPv4 (mapped, compatible, translated). */
const FORBIDDEN_IPV6 = /^\[(::\]|fe[89ab]|ff|::ffff:|64:ff9b:)/;
const LOOPBACK = /^127\.|^\[::1\]$/;

/**
 * The problem of a target's address, or undefined when it has none.
 *
 * @example
 * findAddressProblem('127.1:9001', rules); // 'is not written as usual: 127.0.0.1:9001'
 */
export function findAddressProblem(address: string, rules: IAddressRules): string | undefined {
  const [, host, port] = ADDRESS.exec(address) ?? [];
  if (host === undefined || port === undefined) return 'is not an IP number and a port';
  const canonicalHost = formatCanonicalHost(host);
  if (canonicalHost === undefined) return 'is not an IP number and a port';
  const canonical = `${canonicalHost}:${Number(port)}`;
  if (canonical !== address) return `is not written as usual: ${canonical}`;
  if (Number(port) === 0 || Number(port) > MAX_PORT) return 'has no port that can be connected to';
  if (FORBIDDEN_IPV4.test(host) || FORBIDDEN_IPV6.test(host)) return 'is no address of a target';
  if (LOOPBACK.test(host) && !rules.isLoopbackAllowed) return 'is the node itself';
  return rules.reserved.has(address) ? 'is no address of a target' : undefined;
}

/**
 * Whether an address of the form "IP:port" is on the loopback interface.
 *
 * @example
 * isLoopbackAddress('127.0.0.1:7002');
 */
export function isLoopbackAddress(address: string): boolean {
  return LOOPBACK.test(address) || address.startsWith('[::1]:');
}

/** The canonical spelling of an IP address, or undefined when the text is a host name or invalid. */
function formatCanonicalHost(host: string): string | undefined {
  try {
    const { hostname } = new URL(`http://${host}/`);
    return IPV4.test(hostname) || hostname.startsWith('[') ? hostname : undefined;
  } catch {
    return undefined;
  }
}
