/** Shows and settles claims of non-idempotent requests. */
import { create } from '@bufbuild/protobuf';
import type { Clock } from '@parsleymux/base';
import { MuxError, ResultCode, RunState } from '@parsleymux/base';
import { ClaimInfoSchema, ClaimOutcome, SettleClaimRequestSchema } from '@parsleymux/schema';
import type { AuditLog } from '../../audit/common/auditLog.js';
import type { ClaimSettler } from '../../claims/common/claimSettler.js';
import type { IAdminResponse, IAdminRequest, IAdminRoute } from './adminRoute.js';
import { AdminHandler, createResponse, getParameter, parseBody } from './adminRoute.js';

/** Options of a {@link ClaimHandler}. */
export interface IClaimHandlerOptions {
  readonly claims: ClaimSettler;
  readonly audit: AuditLog;
  readonly clock: Clock;
}

/** Handles `/v1/claims`. Only claims of the operator's own member are accessible. */
export class ClaimHandler extends AdminHandler {
  constructor(private readonly options: IClaimHandlerOptions) {
    super();
  }

  override listRoutes(): readonly IAdminRoute[] {
    return [
      {
        method: 'GET',
        path: '/v1/claims/{key}',
        action: 'claim.show',
        handle: (request) => this.getClaim(request),
      },
      {
        method: 'POST',
        path: '/v1/claims/{key}/settle',
        action: 'claim.settle',
        handle: (request) => this.settle(request),
      },
    ];
  }

  private async getClaim(request: IAdminRequest): Promise<IAdminResponse> {
    const claimKey = getParameter(request);
    const { member } = request.operator;
    const info = await this.options.claims.getClaim(member, claimKey, request.signal);
    if (info === undefined) {
      throw createRefusal(ResultCode.NotFound, 'there is no claim under this idempotency key');
    }
    return createResponse(ClaimInfoSchema, info);
  }

  private async settle(request: IAdminRequest): Promise<IAdminResponse> {
    const body = parseBody(SettleClaimRequestSchema, request.body);
    if (body.outcome === ClaimOutcome.UNSPECIFIED) {
      throw createRefusal(ResultCode.MalformedRequest, 'the outcome is "ran" or "not-run"');
    }
    const { member, keyId } = request.operator;
    const claimKey = getParameter(request);
    const { outcome, note } = body;
    const settlement = { member, claimKey, outcome, operator: keyId, note };
    // Recorded before the settlement, so that none takes effect without its entry in the audit log.
    await this.recordAudit(request, `${ClaimOutcome[outcome]}: ${note}`);
    const info = await this.options.claims.settle(settlement, request.signal);
    return createResponse(ClaimInfoSchema, create(ClaimInfoSchema, info));
  }

  private async recordAudit(request: IAdminRequest, note: string): Promise<void> {
    const { member, keyId } = request.operator;
    const entry = {
      atMs: Math.trunc(this.options.clock.getWallTime()),
      operator: keyId,
      member,
      action: 'claim.settle',
      subject: getParameter(request),
      code: ResultCode.Ok,
      note,
    };
    await this.options.audit.recordRequired(entry, request.signal);
  }
}

function createRefusal(code: ResultCode, message: string): MuxError {
  return new MuxError({ code, message, runState: RunState.NotRun });
}
