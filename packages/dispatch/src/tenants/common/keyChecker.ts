/** Decides whether a request may be sent for the tenant whose key it bears. */
import type { Clock, ResultCode as ResultCodeType } from '@parsleymux/base';
import { ResultCode } from '@parsleymux/base';
import type { IRouteRule } from '../../catalog/common/catalog.js';
import type { NodeDirectory } from '../../directory/common/nodeDirectory.js';
import type { Credential } from './credential.js';
import type { ITenantBounds, ITenantRule } from './tenant.js';

/** When a node whose keys are outdated expects newer ones, in ms: two updates. */
const OUTDATED_RETRY_MS = 500;

/** Who sends a request, as far as the configuration cares. */
export interface ICallerIdentity {
  /** Digest of the key; undefined where the route needs none. */
  readonly key: string | undefined;
  readonly tenant: ITenantRule | undefined;
}

/** What became of a credential. */
export type KeyDecision =
  | { readonly kind: 'accepted'; readonly sender: ICallerIdentity }
  | {
      readonly kind: 'refused';
      readonly code: ResultCodeType;
      readonly retryAfterMs?: number;
    };

/** A sender where no key is needed. */
export const ANONYMOUS: ICallerIdentity = { key: undefined, tenant: undefined };
const ACCEPTED_ANONYMOUS: KeyDecision = { kind: 'accepted', sender: ANONYMOUS };
const OUTDATED: KeyDecision = {
  kind: 'refused',
  code: ResultCode.KeysOutdated,
  retryAfterMs: OUTDATED_RETRY_MS,
};

/** Options of a {@link KeyChecker}. */
export interface IKeyCheckerOptions {
  readonly directory: NodeDirectory;
  readonly clock: Clock;
  readonly getBounds: () => ITenantBounds;
}

/**
 * Keys are served under a lease: only while this node can show that its list of keys was the newest at
 * a moment less than the lease ago. A node that is cut off refuses them after that, because a key that
 * ended meanwhile looks like any other.
 *
 * @example
 * const decision = checker.check(credential, route);
 */
export class KeyChecker {
  constructor(private readonly options: IKeyCheckerOptions) {}

  check(credential: Credential, route: IRouteRule): KeyDecision {
    const { directory } = this.options;
    if (directory.getCatalog()?.requiresKeys !== true) return ACCEPTED_ANONYMOUS;
    if (route.isPublic === true) return this.checkOptional(credential);
    if (credential.kind === 'unusable') return { kind: 'refused', code: credential.code };
    if (!this.isLeaseValid()) return OUTDATED;
    const tenant = directory.tenantIndex.findByKey(credential.digest);
    if (tenant !== undefined) {
      return { kind: 'accepted', sender: { key: credential.digest, tenant } };
    }
    return this.isListCurrent() ? { kind: 'refused', code: ResultCode.UnknownKey } : OUTDATED;
  }

  /** Looks at an accepted sender again: time has passed, and newer keys may have come. */
  checkAgain({ key, tenant }: ICallerIdentity, route: IRouteRule): KeyDecision {
    if (key === undefined) return ACCEPTED_ANONYMOUS;
    const decision = this.check({ kind: 'key', digest: key }, route);
    const isMoved = decision.kind === 'accepted' && decision.sender.tenant?.name !== tenant?.name;
    return isMoved ? { kind: 'refused', code: ResultCode.UnknownKey } : decision;
  }

  /** Whether keys are served at all now. */
  isLeaseValid(): boolean {
    const { keyLeaseMs } = this.options.getBounds();
    return keyLeaseMs === undefined || this.getProofAgeMs() < keyLeaseMs;
  }

  /** How long ago the list of keys was certainly the newest, in ms; infinite if never. */
  getProofAgeMs(): number {
    return this.options.directory.tenants.getProofAgeMs();
  }

  /** On a public route the key of a tenant still tells the target who asks. */
  private checkOptional(credential: Credential): KeyDecision {
    if (credential.kind === 'unusable' || !this.isLeaseValid()) return ACCEPTED_ANONYMOUS;
    const tenant = this.options.directory.tenantIndex.findByKey(credential.digest);
    if (tenant === undefined) return ACCEPTED_ANONYMOUS;
    return { kind: 'accepted', sender: { key: credential.digest, tenant } };
  }

  /** Whether a key that is not on the list can be told to be unknown, rather than too new. */
  private isListCurrent(): boolean {
    const { directory, getBounds } = this.options;
    if (!directory.hasCurrentTenants()) return false;
    return this.getProofAgeMs() < getBounds().applyMs;
  }
}
