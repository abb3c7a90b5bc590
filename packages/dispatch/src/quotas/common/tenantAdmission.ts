/** The home's admission control for the requests of tenants. */
import { ResultCode } from '@parsleymux/base';
import type { NodeDirectory } from '../../directory/common/nodeDirectory.js';
import type {
  ICatalog,
  IGrantRequest,
  IQuotaToken,
  QuotaRole,
  TenantDecision,
  TenantQuotas,
} from '@parsleymux/scheduling';
import { GrantOutcome, RequestAdmission } from '@parsleymux/scheduling';
import type { KeyChecker } from '../../tenants/common/keyChecker.js';

/** Outcomes after which a target has certainly not run the request. */
const NOT_RUN: ReadonlySet<GrantOutcome> = new Set([
  GrantOutcome.Shed,
  GrantOutcome.Unreachable,
  GrantOutcome.Misdirected,
]);
const ACCEPTED: TenantDecision = { kind: 'accepted', token: undefined };

/** Options of a {@link TenantAdmission}. */
export interface ITenantAdmissionOptions {
  readonly directory: NodeDirectory;
  readonly keys: KeyChecker;
  readonly quotas: TenantQuotas;
  /** Address of this node. */
  readonly self: string;
  /** Whether a short quota goes to the tenant's more urgent routes first. Default false. */
  readonly isUrgentFirst?: boolean;
}

/**
 * A request takes one quota token, however often it is sent; the token is returned only if the request has
 * certainly not run. The home also checks the key again: an entry that was suspended and whose wall clock
 * was set back during the suspension can't determine the age of its own keys.
 *
 * @example
 * const decision = admission.check(request, node);
 */
export class TenantAdmission extends RequestAdmission {
  /** The configuration that {@link priorities} are of. */
  private catalog: ICatalog | undefined;
  /** Priorities by route. */
  private priorities: ReadonlyMap<string, number> = new Map();

  constructor(private readonly options: ITenantAdmissionOptions) {
    super();
  }

  /** Decides on a grant request of `node`. */
  override check(request: IGrantRequest, node: string): TenantDecision {
    if (request.key === undefined) return ACCEPTED;
    const { directory, quotas } = this.options;
    const tenant = directory.tenantIndex.findByKey(request.key);
    if (tenant === undefined) return this.checkUnknown(request);
    if (request.isCharged || tenant.ratePerS === undefined) {
      return { kind: 'accepted', token: undefined, tenant };
    }
    const role = this.getRole(request.service, node);
    const priority = this.findRoutePriority(request.route);
    const { fingerprints, objectiveMs, remainingMs, service } = request;
    const [fingerprint] = fingerprints;
    const caller =
      fingerprint === undefined ? undefined : { fingerprint, remainingMs, objectiveMs, service };
    const refusal = quotas.spend(tenant, role, { caller, priority });
    if (refusal === undefined) {
      return { kind: 'accepted', token: { tenant: tenant.name, role, priority }, tenant };
    }
    const { facts: quota, place, retryAfterMs } = refusal;
    return { kind: 'refused', code: ResultCode.QuotaExceeded, retryAfterMs, quota, place };
  }

  /** Releases the token of a request that has not run; `outcome` is undefined if it was never granted. */
  override settle(
    { priority, role, tenant }: IQuotaToken,
    outcome: GrantOutcome | undefined,
  ): void {
    if (outcome !== undefined && !NOT_RUN.has(outcome)) return;
    this.options.quotas.release(tenant, role, priority);
  }

  /** Accepts an unknown key if the entry's list may be newer, as the key may be missing only here. */
  private checkUnknown({ catalogVersion }: IGrantRequest): TenantDecision {
    const { directory, keys } = this.options;
    const isNewer = (directory.getCatalog()?.version ?? -Infinity) >= catalogVersion;
    if (!isNewer || !directory.hasCurrentTenants() || !keys.isLeaseValid()) return ACCEPTED;
    return { kind: 'refused', code: ResultCode.UnknownKey, retryAfterMs: undefined };
  }

  /** The priority of the route itself, which that of the tenant overrides in the request. */
  private findRoutePriority(route: string): number | undefined {
    const { directory, isUrgentFirst = false } = this.options;
    if (!isUrgentFirst) return undefined;
    const catalog = directory.getCatalog();
    if (catalog !== undefined && catalog !== this.catalog) {
      this.catalog = catalog;
      this.priorities = new Map(catalog.routes.map(({ name, priority }) => [name, priority]));
    }
    return this.priorities.get(route);
  }

  private getRole(service: string, node: string): QuotaRole {
    const { directory, self } = this.options;
    if (node !== self || directory.rankHomes(service).includes(self)) return 'home';
    return 'cut-off';
  }
}
