/** Composes a node's key checks and quotas. */
import type { Clock, RandomSource } from '@parsleymux/base';
import type { NodeDirectory } from '../../directory/common/nodeDirectory.js';
import type { DatagramChannel } from '../../grants/common/datagramChannel.js';
import type { HomeService, ITenantBounds } from '@parsleymux/scheduling';
import { computeMeanLimit, QuotaReturns, QuotaShares, TenantQuotas } from '@parsleymux/scheduling';
import { QuotaSharing } from '../../quotas/common/quotaSharing.js';
import { TenantAdmission } from '../../quotas/common/tenantAdmission.js';
import { KeyChecker } from '../../tenants/common/keyChecker.js';

/** The first callers of a fleet come within this time of its start, in ms. */
const FIRST_START_MS = 30_000;

/** Options of {@link TenantComponents}. */
export interface ITenantComponentsOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly directory: NodeDirectory;
  readonly getBounds: () => ITenantBounds;
  /** Whether the fleet starts for the first time. */
  readonly isFirstStart: boolean;
  /** Whether room in quotas is reserved for refused callers. */
  readonly hasReturns: () => boolean;
}

/**
 * Creates the components of a node that check keys and enforce quotas.
 *
 * @example
 * const tenants = new TenantComponents({ clock, random, directory, getBounds });
 * const homes = new HomeService({ admission: tenants.createAdmission(self), ... });
 */
export class TenantComponents {
  readonly keys: KeyChecker;
  /** Room in quotas that is reserved for refused callers. */
  readonly returns = new QuotaReturns();
  private readonly shares: QuotaShares;
  private readonly createdMs: number;

  constructor(private readonly options: ITenantComponentsOptions) {
    this.createdMs = options.clock.getMonotonicTime();
    const { clock, directory } = options;
    this.keys = new KeyChecker(options);
    this.shares = new QuotaShares({
      clock,
      countServices: () => Math.max(1, directory.getCatalog()?.services.length ?? 1),
    });
  }

  /** At the first start of a fleet, no home has granted anything before. */
  private isFollowingHomes(): boolean {
    const { clock, isFirstStart } = this.options;
    return !isFirstStart || clock.getMonotonicTime() - this.createdMs > FIRST_START_MS;
  }

  /** Whether requests with keys are served. A node that would refuse them all is not ready. */
  isServing(): boolean {
    const { directory } = this.options;
    if (directory.getCatalog()?.requiresKeys !== true) return true;
    return directory.tenants.version !== undefined && this.keys.isLeaseValid();
  }

  /**
   * The admission control for the homes on this node, whose address is `self`. With `isUrgentFirst`, a short
   * quota goes to the tenant's more urgent routes first.
   */
  createAdmission(self: string, isUrgentFirst = false): TenantAdmission {
    const { directory } = this.options;
    const quotas = new TenantQuotas({
      ...this.options,
      shares: this.shares,
      mayFollowHomes: () => this.isFollowingHomes(),
      returns: this.returns,
      countNodes: () => directory.members.listValues().length,
    });
    return new TenantAdmission({ directory, keys: this.keys, quotas, self, isUrgentFirst });
  }

  createQuotaSharing(channel: DatagramChannel, homes: HomeService): QuotaSharing {
    const { clock, directory, getBounds } = this.options;
    return new QuotaSharing({
      channel,
      clock,
      homes,
      shares: this.shares,
      hasQuotas: () => directory.tenantIndex.size > 0,
      getLimit: (tenant) => {
        const rule = directory.tenantIndex.find(tenant);
        return rule === undefined ? undefined : computeMeanLimit(rule, getBounds());
      },
      rankHomes: (service) => directory.rankHomes(service),
    });
  }
}
