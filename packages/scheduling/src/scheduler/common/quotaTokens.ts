/** The quota tokens of the requests at the home. */
import type { GrantOutcome, IGrantRequest } from '../../grants/common/grant.js';
import type { RequestAdmission, TenantDecision } from '../../quotas/common/requestAdmission.js';
import type { Ticket } from './ticket.js';

/**
 * Holds each token until the outcome of its request is known.
 *
 * @example
 * tokens.release(ticket, undefined);
 */
export class QuotaTokens {
  /** `admission` is undefined if requests are not assigned to tenants. */
  constructor(private readonly admission: RequestAdmission | undefined) {}

  /** Decides on a new request of `node`; undefined if requests are not assigned to tenants. */
  check(request: IGrantRequest, node: string): TenantDecision | undefined {
    return this.admission?.check(request, node);
  }

  /** Settles the token of a request; without an outcome the request has not run. */
  release(ticket: Ticket, outcome: GrantOutcome | undefined): void {
    if (ticket.token === undefined) return;
    this.admission?.settle(ticket.token, outcome);
    ticket.token = undefined;
  }
}
