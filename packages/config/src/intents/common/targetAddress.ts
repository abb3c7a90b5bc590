/**
 * Which addresses a member may name as targets. A node sends requests there from inside the
 * fleet's network, so an intent must not reach the platform, the nodes themselves or a VM's
 * metadata; and one target must have one spelling, or two rivals could both take it.
 */

/** Options of {@link findAddressProblem}. */
export interface IAddressRules {
  /** Addresses that are no targets, each "IP:port": the platform's and the nodes'. */
  readonly reserved: ReadonlySet<string>;
  /** Loopback is only for fleets that run on one computer, such as in tests. */
  readonly isLoopbackAllowed: boolean;
}

const IPV4 = /^\d{1,3}(\.\d{1,3}){3}$/;
const ADDRESS = /^(.*):(\d{1,5})$/;
const MAX_PORT = 65_535;
/** "This network", link-local with the VM's metadata service, multicast, reserved and broadcast. */
const FORBIDDEN_IPV4 = /^(0|22[4-9]|23\d|24\d|25[0-5])\.|^169\.254\./;
/** Unspecified, link-local, multicast, and IPv4 in other clothes (mapped, compatible, translated). */
const FORBIDDEN_IPV6 = /^\[(::\]|fe[89ab]|ff|::ffff:|64:ff9b:)/;
const LOOPBACK = /^127\.|^\[::1\]$/;

/**
 * What is wrong with a target's address, or undefined when nothing is.
 *
 * @example
 * findAddressProblem('127.1:9001', rules); // 'is not written as usual: 127.0.0.1:9001'
 */
export function findAddressProblem(address: string, rules: IAddressRules): string | undefined {
  const [, host, port] = ADDRESS.exec(address) ?? [];
  if (host === undefined || port === undefined) return 'is not an IP number and a port';
  const usualHost = formatCanonicalHost(host);
  if (usualHost === undefined) return 'is not an IP number and a port';
  const usual = `${usualHost}:${Number(port)}`;
  if (usual !== address) return `is not written as usual: ${usual}`;
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

/** The usual spelling of an IP number, or undefined when the text is a name or nothing. */
function formatCanonicalHost(host: string): string | undefined {
  try {
    const { hostname } = new URL(`http://${host}/`);
    return IPV4.test(hostname) || hostname.startsWith('[') ? hostname : undefined;
  } catch {
    return undefined;
  }
}
