/** The interface of the admission control that checks a request before it is scheduled. */
import type { ResultCode } from '@parsleymux/base';
import type { ITenantRule } from '../../catalog/common/tenant.js';
import type { GrantOutcome, IGrantRequest } from '../../grants/common/grant.js';
import type { IReturnFacts } from '../../returns/common/plannedReturn.js';
import type { IQuotaFacts, QuotaRole } from './tenantQuotas.js';

/** The quota token that a request holds until its outcome is known. */
export interface IQuotaToken {
  readonly tenant: string;
  readonly role: QuotaRole;
  /** Priority of the request's route, if the quota was spent by priority. */
  readonly priority?: number | undefined;
}

/** The decision on a request of a tenant. */
export type TenantDecision =
  | {
      readonly kind: 'accepted';
      readonly token: IQuotaToken | undefined;
      /** The tenant whose key the request has, if it is known. */
      readonly tenant?: ITenantRule | undefined;
    }
  | {
      readonly kind: 'refused';
      readonly code: ResultCode;
      readonly retryAfterMs: number | undefined;
      readonly quota?: IQuotaFacts;
      /** The reservation behind the Retry-After, if there are reservations. */
      readonly place?: IReturnFacts | undefined;
    };

/** Admits requests by their tenants. The scheduler calls it once for each grant request. */
export abstract class RequestAdmission {
  /** Decides on a grant request of `node`. */
  abstract check(request: IGrantRequest, node: string): TenantDecision;

  /** Releases the token of a request that has not run; `outcome` is undefined if it was never granted. */
  abstract settle(token: IQuotaToken, outcome: GrantOutcome | undefined): void;
}
