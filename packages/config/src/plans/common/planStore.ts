/** Plans from proposal to decision, kept in the platform's table and object store. */
import { randomUUID } from 'node:crypto';
import { create } from '@bufbuild/protobuf';
import type { Clock, RandomSource } from '@parsleymux/base';
import { ResultCode } from '@parsleymux/base';
import type { IPlatform } from '@parsleymux/store';
import { PlatformError } from '@parsleymux/store';
import type { Intent, Plan } from '@parsleymux/schema';
import { IntentSchema, PlanSchema, PlanState } from '@parsleymux/schema';
import type { IntentValidator } from '../../intents/common/intentValidator.js';
import type { IAuditEntry } from '../../layout/common/auditRow.js';
import { encodeAuditEntry } from '../../layout/common/auditRow.js';
import { formatAuditKey, formatMemberKey, formatPlanKey } from '../../layout/common/rowKeys.js';
import type { IPlanRow, RowMap } from '../../layout/common/rows.js';
import { decodePlanRow, decodePointer, encodePlanRow } from '../../layout/common/rows.js';
import { listConfirmKeys, makeCondition, makeConfirmTransaction } from './confirmTransaction.js';
import type { PlanBuilder } from './planBuilder.js';
import {
  createMalformedIntentError,
  createPlanDecidedError,
  createPlanNotFoundError,
  createStoreError,
} from './planErrors.js';
import { checkOpenPlans } from './planLimits.js';
import type { IDecisionInput, IPlanRefusal } from './planRefusals.js';
import { findOwnershipRefusal, findRefusal, listEjected } from './planRefusals.js';
import type { IIntentInForce } from './planRepository.js';
import { ConflictRows, PlanRepository } from './planRepository.js';
import type { IStoreAttempt } from './storeRetry.js';
import { StoreRetry } from './storeRetry.js';

/** Options of a {@link PlanStore}. */
export interface IPlanStoreOptions {
  readonly platform: Pick<IPlatform, 'table' | 'objects'>;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly validator: IntentValidator;
  readonly builder: PlanBuilder;
  /** Makes identifiers of plans. Default: random UUIDs. */
  readonly createId?: () => string;
  /** Told of each revision that was confirmed here, before anyone could have polled it. */
  readonly onDidConfirm?: (fleetRevision: number) => void;
}

/** A plan of a member, and who asks. */
export interface IPlanRequest {
  readonly member: string;
  readonly planId: string;
  readonly operator: string;
}

/** One attempt at a confirmation, and what the attempts before learnt. */
interface IConfirmAttempt {
  readonly request: IPlanRequest;
  readonly plan: Plan;
  readonly attempt: IStoreAttempt;
  readonly current: ConflictRows;
}

/**
 * Proposes, confirms and discards plans.
 *
 * @example
 * const plan = await plans.propose(intent, 'key-1', signal);
 * await plans.confirm({ member: plan.member, planId: plan.id, operator: 'key-1' }, signal);
 */
export class PlanStore {
  private readonly createId: () => string;
  private readonly repository: PlanRepository;
  private readonly retry: StoreRetry;

  constructor(private readonly options: IPlanStoreOptions) {
    this.createId = options.createId ?? randomUUID;
    this.repository = new PlanRepository(options.platform);
    this.retry = new StoreRetry(options);
  }

  /** The member's intent in force. Throws StoreUnavailable. */
  async getIntent(member: string, signal?: AbortSignal): Promise<IIntentInForce> {
    return wrapStoreErrors(() => this.repository.fetchInForce(member, signal));
  }

  /**
   * Checks an intent and stores the plan that it makes.
   * Throws MalformedIntent, FloorWouldBreak, HostTaken, TargetAddressTaken, LimitExceeded,
   * StoreUnavailable.
   */
  async propose(intent: Intent, operator: string, signal?: AbortSignal): Promise<Plan> {
    const problems = this.options.validator.validate(intent);
    if (problems.length > 0) throw createMalformedIntentError(problems);
    const { table } = this.options.platform;
    await wrapStoreErrors(() => checkOpenPlans(table, intent.member, this.getNowMs(), signal));
    const plan = await wrapStoreErrors(() => this.buildPlan(intent, operator, signal));
    await wrapStoreErrors(() => this.repository.storeObjects(plan, intent, signal));
    await this.retry.run(signal, async () => {
      await this.repository.storeRow(plan, signal);
      return plan;
    });
    return create(PlanSchema, { ...plan, intent });
  }

  /** The plan with its intent and state. Throws PlanNotFound, StoreUnavailable. */
  async getPlan(member: string, planId: string, signal?: AbortSignal): Promise<Plan> {
    return this.retry.run(signal, async () => {
      const row = decodePlanRow(
        await this.repository.readCurrent(formatPlanKey(member, planId), signal),
      );
      if (row === undefined) throw createPlanNotFoundError(planId);
      return copyInState(await this.repository.fetchPlan(member, planId, signal), row);
    });
  }

  /**
   * Puts the plan in force. Repeating it is harmless: a plan takes effect once, and each later
   * call returns the plan as confirmed. Throws PlanNotFound, PlanAlreadyDecided, PlanStale,
   * FloorWouldBreak, HostTaken, TargetAddressTaken, StoreUnavailable.
   */
  async confirm(request: IPlanRequest, signal?: AbortSignal): Promise<Plan> {
    const plan = await this.getPlan(request.member, request.planId, signal);
    const current = new ConflictRows();
    const confirmed = await this.retry.run(signal, (attempt) =>
      this.tryConfirm({ request, plan, attempt, current }, signal),
    );
    this.options.onDidConfirm?.(Number(confirmed.confirmedFleetRevision));
    return confirmed;
  }

  /** Gives the plan up. Throws PlanNotFound, PlanAlreadyDecided, StoreUnavailable. */
  async discard(request: IPlanRequest, signal?: AbortSignal): Promise<Plan> {
    const plan = await this.getPlan(request.member, request.planId, signal);
    return this.retry.run(signal, (attempt) => this.tryDiscard(request, plan, attempt, signal));
  }

  private async buildPlan(intent: Intent, operator: string, signal?: AbortSignal): Promise<Plan> {
    const input = await this.readDecisionInput(intent.member, '', intent, signal);
    const refusal = findOwnershipRefusal(input);
    if (refusal !== undefined) throw refusal.error;
    return this.options.builder.build({
      id: this.createId(),
      operator,
      nowMs: this.getNowMs(),
      baseMemberRevision: input.inForce.memberRevision,
      before: input.inForce.intent,
      after: intent,
      ejected: listEjected(input),
      warmingUp: input.warmingUp,
    });
  }

  private async tryConfirm(
    { request, plan, attempt, current }: IConfirmAttempt,
    signal?: AbortSignal,
  ): Promise<Plan | undefined> {
    const { member, planId } = request;
    const after = plan.intent ?? create(IntentSchema, { member });
    const input = await this.readDecisionInput(member, planId, after, signal, current);
    const planRow = decodePlanRow(input.rows.get(formatPlanKey(member, planId)));
    // An earlier try, or the same plan confirmed through another node, has done it.
    if (planRow?.state === PlanState.CONFIRMED) return copyInState(plan, planRow);
    if (!isConsistent(input)) return undefined;
    const refusal = findRefusal(input, this.options.builder);
    if (refusal !== undefined) return this.throwIfFresh(refusal, input.rows, current, signal);
    if (planRow === undefined) return undefined;
    const { transaction, confirmed } = makeConfirmTransaction({
      ...input,
      planRow,
      before: input.inForce.intent,
      nowMs: this.getNowMs(),
      audit: this.makeAuditEntry(request, 'plan.confirm'),
    });
    attempt.markSent();
    const isCommitted = await this.repository.transact(transaction, signal, current);
    return isCommitted ? copyInState(plan, confirmed) : undefined;
  }

  private async tryDiscard(
    request: IPlanRequest,
    plan: Plan,
    attempt: IStoreAttempt,
    signal?: AbortSignal,
  ): Promise<Plan | undefined> {
    const key = formatPlanKey(plan.member, plan.id);
    const rows = await this.repository.readRows([key], signal);
    const row = decodePlanRow(rows.get(key));
    if (row === undefined) return undefined;
    if (row.state === PlanState.DISCARDED) return copyInState(plan, row);
    if (row.state === PlanState.CONFIRMED) throw createPlanDecidedError(plan.id, 'confirmed');
    const discarded: IPlanRow = { ...row, state: PlanState.DISCARDED };
    const conditions = [makeCondition(key, rows.get(key))];
    const audit = this.makeAuditEntry(request, 'plan.discard');
    const auditKey = formatAuditKey(plan.member, audit.atMs, `${plan.id}-discard`);
    const writes = [
      { key, value: encodePlanRow(discarded) },
      { key: auditKey, value: encodeAuditEntry(audit) },
    ];
    attempt.markSent();
    const isCommitted = await this.repository.transact({ conditions, writes }, signal);
    return isCommitted ? copyInState(plan, discarded) : undefined;
  }

  /**
   * A read may come from a copy that lags: after a lost answer it can still show the plan as
   * open and another row as changed, and the refusal would be untrue. A transaction that writes
   * nothing tells whether the rows are current; if not, undefined asks for another try.
   */
  private async throwIfFresh(
    refusal: IPlanRefusal,
    rows: RowMap,
    current: ConflictRows,
    signal?: AbortSignal,
  ): Promise<undefined> {
    const conditions = refusal.keys.map((key) => makeCondition(key, rows.get(key)));
    const isFresh = await this.repository.transact({ conditions, writes: [] }, signal, current);
    if (isFresh) throw refusal.error;
    return undefined;
  }

  private async readDecisionInput(
    member: string,
    planId: string,
    after: Intent,
    signal?: AbortSignal,
    current = new ConflictRows(),
  ): Promise<IDecisionInput> {
    const inForce = await this.repository.fetchInForce(member, signal, current);
    const keys = listConfirmKeys(member, planId, inForce.intent, after);
    const rows = await this.repository.readRows(keys, signal, current);
    const warmingUp = await this.repository.fetchWarmingUp(
      inForce.intent,
      after,
      this.getNowMs(),
      signal,
    );
    return { member, planId, inForce, after, rows, warmingUp };
  }

  /** A replay's clock may stand between two milliseconds; rows hold whole ones. */
  private getNowMs(): number {
    return Math.trunc(this.options.clock.getWallTime());
  }

  private makeAuditEntry(request: IPlanRequest, action: string): IAuditEntry {
    return {
      atMs: this.getNowMs(),
      operator: request.operator,
      member: request.member,
      action,
      subject: request.planId,
      code: ResultCode.Ok,
      note: '',
    };
  }
}

/** The member's configuration changed between the two reads: which rows matter is not certain. */
function isConsistent(input: IDecisionInput): boolean {
  const pointer = decodePointer(input.rows.get(formatMemberKey(input.member)));
  return Number(pointer?.memberRevision ?? 0) === input.inForce.memberRevision;
}

function copyInState(plan: Plan, row: IPlanRow): Plan {
  return create(PlanSchema, {
    ...plan,
    state: row.state,
    confirmedFleetRevision: BigInt(row.confirmedFleetRevision),
  });
}

async function wrapStoreErrors<T>(call: () => Promise<T>): Promise<T> {
  try {
    return await call();
  } catch (error) {
    if (error instanceof PlatformError) throw createStoreError(false, error);
    throw error;
  }
}
