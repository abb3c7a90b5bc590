/** One request at the home, from the grant request to the report. */
import type { GrantDecision, IGrantRequest } from '../../grants/common/grant.js';
import type { ITenantRule } from '../../catalog/common/tenant.js';
import type { IQuotaToken } from '../../quotas/common/requestAdmission.js';
import type { TargetState } from '../../capacity/common/targetState.js';

/** The public view of a {@link Ticket}. */
export interface ITicket {
  readonly request: IGrantRequest;
  /** Node that requested the grant. */
  readonly node: string;
  /** The decision; undefined while the request is queued. */
  readonly decision: GrantDecision | undefined;
  readonly requestedMs: number;
}

/** The state of a request at the home. */
export class Ticket implements ITicket {
  decision: GrantDecision | undefined;
  /** The granted target, in its incarnation at that time. */
  target: TargetState | undefined;
  grantedMs = 0;
  /** Requests at the target right after the grant. */
  concurrency = 0;
  isOverdue = false;
  /** Whether its caller was refused before and returned at the time that it was told. */
  isReturnDue = false;
  /** A token of the tenant's quota; returned if the request does not run. */
  token: IQuotaToken | undefined;
  /** The tenant of the request; undefined if requests are not assigned to tenants. */
  tenant: ITenantRule | undefined;

  constructor(
    readonly request: IGrantRequest,
    readonly node: string,
    readonly requestedMs: number,
    private readonly respond: (decision: GrantDecision) => void,
  ) {}

  get endMs(): number {
    return this.requestedMs + this.request.remainingMs;
  }

  getWaitedMs(nowMs: number): number {
    return nowMs - this.requestedMs;
  }

  /** Stores the decision and sends it to the requesting node; must be called once. */
  settle(decision: GrantDecision): void {
    this.decision = decision;
    this.respond(decision);
  }
}
