/** Authenticates requests by the keys of tenants. */
import type { Clock, ResultCode as ResultCodeType } from '@parsleymux/base';
import { ResultCode } from '@parsleymux/base';
import type { IRouteRule, ITenantBounds, ITenantRule } from '@parsleymux/scheduling';
import type { NodeDirectory } from '../../directory/common/nodeDirectory.js';
import type { Credential } from './credential.js';

/** Retry-After while a node's keys are outdated, in ms: the time of two updates. */
const OUTDATED_RETRY_MS = 500;

/** The tenant and key of a caller. */
export interface ICallerIdentity {
  /** Digest of the key; undefined if the request is accepted without one. */
  readonly key: string | undefined;
  readonly tenant: ITenantRule | undefined;
}

/** The result of checking a credential. */
export type KeyDecision =
  | { readonly kind: 'accepted'; readonly sender: ICallerIdentity }
  | {
      readonly kind: 'refused';
      readonly code: ResultCodeType;
      readonly retryAfterMs?: number;
    };

/** The identity of callers without a key. */
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
 * Keys are accepted under a lease: only while this node has a proof that its list of keys was the newest
 * less than the lease ago. A partitioned node refuses all keys after that, since it can't distinguish a
 * revoked key from a valid one.
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

  /** Checks an accepted caller again, since its key may have been revoked or the lease may have expired. */
  checkAgain({ key, tenant }: ICallerIdentity, route: IRouteRule): KeyDecision {
    if (key === undefined) return ACCEPTED_ANONYMOUS;
    const decision = this.check({ kind: 'key', digest: key }, route);
    const isMoved = decision.kind === 'accepted' && decision.sender.tenant?.name !== tenant?.name;
    return isMoved ? { kind: 'refused', code: ResultCode.UnknownKey } : decision;
  }

  /** Whether the lease is valid, so that keys are accepted. */
  isLeaseValid(): boolean {
    const { keyLeaseMs } = this.options.getBounds();
    return keyLeaseMs === undefined || this.getProofAgeMs() < keyLeaseMs;
  }

  /** Time since the list of keys was last proven to be the newest, in ms; infinite if never. */
  getProofAgeMs(): number {
    return this.options.directory.tenants.getProofAgeMs();
  }

  /** On a public route, a valid key is optional but still identifies the tenant to the target. */
  private checkOptional(credential: Credential): KeyDecision {
    if (credential.kind === 'unusable' || !this.isLeaseValid()) return ACCEPTED_ANONYMOUS;
    const tenant = this.options.directory.tenantIndex.findByKey(credential.digest);
    if (tenant === undefined) return ACCEPTED_ANONYMOUS;
    return { kind: 'accepted', sender: { key: credential.digest, tenant } };
  }

  /** Whether the list is recent enough that a key missing from it is unknown rather than new. */
  private isListCurrent(): boolean {
    const { directory, getBounds } = this.options;
    if (!directory.hasCurrentTenants()) return false;
    return this.getProofAgeMs() < getBounds().applyMs;
  }
}
