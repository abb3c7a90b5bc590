/** Serves intents and plans. */
import { create } from '@bufbuild/protobuf';
import { MuxError, ResultCode, RunState } from '@parsleymux/base';
import type { PlanStore } from '@parsleymux/config';
import type { Intent, Plan } from '@parsleymux/schema';
import { IntentResponseSchema, PlanSchema, TargetRequestSchema } from '@parsleymux/schema';
import type { AccessControl, IOperator } from '../../access/common/accessControl.js';
import type { MemberLimiter } from '../../access/common/memberLimiter.js';
import { createLimitError } from '../../access/common/memberLimiter.js';
import type { IntentReader } from '../../intents/common/intentReader.js';
import { applyTargetAction } from '../../targets/common/targetAction.js';
import type { IAdminResponse, IAdminRequest, IAdminRoute } from './adminRoute.js';
import {
  AdminHandler,
  createResponse,
  CREATED_STATUS,
  getParameter,
  parseBody,
} from './adminRoute.js';

/** Options of a {@link PlanHandler}. */
export interface IPlanHandlerOptions {
  readonly plans: PlanStore;
  readonly access: AccessControl;
  readonly limiter: MemberLimiter;
  readonly intents: IntentReader;
}

/** Handles `/v1/intent`, `/v1/intents`, `/v1/plans` and `/v1/targets`. */
export class PlanHandler extends AdminHandler {
  constructor(private readonly options: IPlanHandlerOptions) {
    super();
  }

  override listRoutes(): readonly IAdminRoute[] {
    const routes: readonly IAdminRoute[] = [
      {
        method: 'GET',
        path: '/v1/intent',
        action: 'intent.show',
        handle: (request) => this.getIntent(request),
      },
      {
        method: 'POST',
        path: '/v1/intents',
        action: 'intent.submit',
        handle: (request) => this.submit(request),
      },
      {
        method: 'GET',
        path: '/v1/plans/{id}',
        action: 'plan.show',
        handle: (request) => this.getPlan(request),
      },
      {
        method: 'POST',
        path: '/v1/plans/{id}/confirm',
        action: 'plan.confirm',
        handle: (request) => this.confirm(request),
      },
      {
        method: 'DELETE',
        path: '/v1/plans/{id}',
        action: 'plan.discard',
        handle: (request) => this.discard(request),
      },
      {
        method: 'POST',
        path: '/v1/targets',
        action: 'target.change',
        handle: (request) => this.planTarget(request),
      },
    ];
    return routes.map((route) => this.withMemberCheck(route));
  }

  /** Intents and plans belong to members: operators of the fleet have no access to them. */
  private withMemberCheck(route: IAdminRoute): IAdminRoute {
    const handle: IAdminRoute['handle'] = async (request) => {
      const { operator, signal } = request;
      const member = request.query.get('member') ?? operator.member;
      await this.options.access.checkMember(operator, member, route.action, signal);
      if (operator.isFleet) throw createFleetOperatorError();
      return route.handle(request);
    };
    return { ...route, handle };
  }

  private async getIntent(request: IAdminRequest): Promise<IAdminResponse> {
    const inForce = await this.options.plans.getIntent(request.operator.member, request.signal);
    const response = create(IntentResponseSchema, {
      memberRevision: BigInt(inForce.memberRevision),
      ...(inForce.intent === undefined ? {} : { intent: inForce.intent }),
    });
    return createResponse(IntentResponseSchema, response);
  }

  private async submit(request: IAdminRequest): Promise<IAdminResponse> {
    this.options.limiter.spendProposal(request.operator.member);
    const intent = await this.options.intents.read(request.body, request.signal);
    const { access } = this.options;
    await access.checkMember(request.operator, intent.member, 'intent.submit', request.signal);
    return this.propose(request.operator, intent, request.signal);
  }

  private async planTarget(request: IAdminRequest): Promise<IAdminResponse> {
    this.options.limiter.spendProposal(request.operator.member);
    const body = parseBody(TargetRequestSchema, request.body);
    const inForce = await this.options.plans.getIntent(request.operator.member, request.signal);
    const intent = applyTargetAction(inForce.intent, body);
    return this.propose(request.operator, intent, request.signal);
  }

  private async propose(
    operator: IOperator,
    intent: Intent,
    signal: AbortSignal,
  ): Promise<IAdminResponse> {
    const { plans, limiter } = this.options;
    const targets = intent.services.reduce((sum, service) => sum + service.targets.length, 0);
    if (targets > limiter.limits.targets) {
      throw createLimitError(`${targets} targets are more than ${limiter.limits.targets}`);
    }
    return createPlanResponse(await plans.propose(intent, operator.keyId, signal), CREATED_STATUS);
  }

  private async getPlan(request: IAdminRequest): Promise<IAdminResponse> {
    const { member } = request.operator;
    const plan = await this.options.plans.getPlan(member, getParameter(request), request.signal);
    return createPlanResponse(plan);
  }

  private async confirm(request: IAdminRequest): Promise<IAdminResponse> {
    return createPlanResponse(
      await this.options.plans.confirm(makePlanRequest(request), request.signal),
    );
  }

  private async discard(request: IAdminRequest): Promise<IAdminResponse> {
    return createPlanResponse(
      await this.options.plans.discard(makePlanRequest(request), request.signal),
    );
  }
}

/** Omits the fleet revision: its increments would disclose how often other members change theirs. */
function createPlanResponse(plan: Plan, status?: number): IAdminResponse {
  const visible = create(PlanSchema, { ...plan, confirmedFleetRevision: 0n });
  return createResponse(PlanSchema, visible, status);
}

function makePlanRequest(request: IAdminRequest) {
  const { member, keyId } = request.operator;
  return { member, planId: getParameter(request), operator: keyId };
}

function createFleetOperatorError(): MuxError {
  const message = 'intents and plans belong to members; use the key of one';
  return new MuxError({ code: ResultCode.Forbidden, message, runState: RunState.NotRun });
}
