/** One request at the home, from its question to its report. */
import type { GrantDecision, IGrantRequest } from '../../grants/common/grant.js';
import type { IQuotaToken } from '../../quotas/common/tenantAdmission.js';
import type { TargetState } from './targetState.js';

/** What others see of it. */
export interface ITicket {
  readonly request: IGrantRequest;
  /** Node that asked. */
  readonly node: string;
  /** The decision once there is one; undefined in the queue. */
  readonly decision: GrantDecision | undefined;
  readonly requestedMs: number;
}

/** The home's own view. */
export class Ticket implements ITicket {
  decision: GrantDecision | undefined;
  /** The target that was granted: of the life that it had then. */
  target: TargetState | undefined;
  grantedMs = 0;
  isOverdue = false;
  /** Taken from the quota of the request's tenant; given back if the request doesn't run. */
  token: IQuotaToken | undefined;

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

  /** Takes the decision and answers the question; once. */
  settle(decision: GrantDecision): void {
    this.decision = decision;
    this.respond(decision);
  }
}
