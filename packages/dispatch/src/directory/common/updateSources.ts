/** Chooses the nodes from which a node with outdated copies requests updates. */
import type { IMember } from './authority.js';
import type { NodeDirectory } from './nodeDirectory.js';

/** Number of followers asked in each failure domain: the first and its successor. */
const FOLLOWERS_PER_DOMAIN = 2;

/** Options of {@link listUpdateSources}. */
export interface IUpdateSourcesOptions {
  readonly directory: NodeDirectory;
  readonly self: IMember;
  /** Datagram addresses of nodes that may be running, used while no follower is known. */
  readonly seeds: readonly string[];
  /** The node that sent the last update, if that was lately. */
  readonly lastSender?: string | undefined;
}

/**
 * Lists addresses in the order to ask them: the followers of this failure domain, as other failure domains
 * are further away, and then those of the others. The first follower has no better source in its own. While it
 * responds, only it asks the others.
 *
 * @example
 * const [source] = listUpdateSources({ directory, self, seeds });
 */
export function listUpdateSources({
  directory,
  lastSender,
  seeds,
  self,
}: IUpdateSourcesOptions): readonly string[] {
  const own = directory.rankFollowers(self.failureDomain).slice(0, FOLLOWERS_PER_DOMAIN);
  if (own[0] === lastSender && lastSender !== undefined) return own.slice(0, 1);
  const domains = new Set(directory.members.listValues().map((member) => member.failureDomain));
  const others = [...domains]
    .filter((domain) => domain !== self.failureDomain)
    .flatMap((domain) => directory.rankFollowers(domain).slice(0, FOLLOWERS_PER_DOMAIN));
  const sources = own[0] === self.address ? [...others, ...own] : [...own, ...others];
  const usable = sources.filter((address) => address !== self.address);
  return usable.length > 0 ? usable : seeds.filter((seed) => seed !== self.address);
}
