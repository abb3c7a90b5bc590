/** Manages plans from proposal to decision in the platform's table and object store. */
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
  /** Creates identifiers of plans. Default: random UUIDs. */
  readonly createId?: () => string;
  /** Called with each revision confirmed by this store, before any node can have polled it. */
  readonly onDidConfirm?: (fleetRevision: number) => void;
}

/** Identifies a plan of a member and the operator that makes the request. */
export interface IPlanRequest {
  readonly member: string;
  readonly planId: string;
  readonly operator: string;
}

/** One attempt at a confirmation, with the conflicting rows of earlier attempts. */
interface IConfirmAttempt {
  readonly request: IPlanRequest;
  readonly plan: Plan;
  readonly attempt: IStoreAttempt;
  readonly conflicts: ConflictRows;
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

  /** Fetches the member's intent in force. Throws StoreUnavailable. */
  async getIntent(member: string, signal?: AbortSignal): Promise<IIntentInForce> {
    return wrapStoreErrors(() => this.repository.fetchInForce(member, signal));
  }

  /**
   * Validates an intent, and builds and stores its plan.
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

  /** Fetches the plan with its intent and state. Throws PlanNotFound, StoreUnavailable. */
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
   * Puts the plan in force. The call is idempotent: a plan takes effect once, and each later
   * call returns the confirmed plan. Throws PlanNotFound, PlanAlreadyDecided, PlanStale,
   * FloorWouldBreak, HostTaken, TargetAddressTaken, StoreUnavailable.
   */
  async confirm(request: IPlanRequest, signal?: AbortSignal): Promise<Plan> {
    const plan = await this.getPlan(request.member, request.planId, signal);
    const conflicts = new ConflictRows();
    const confirmed = await this.retry.run(signal, (attempt) =>
      this.tryConfirm({ request, plan, attempt, conflicts }, signal),
    );
    this.options.onDidConfirm?.(Number(confirmed.confirmedFleetRevision));
    return confirmed;
  }

  /** Discards the plan. Throws PlanNotFound, PlanAlreadyDecided, StoreUnavailable. */
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
    { request, plan, attempt, conflicts }: IConfirmAttempt,
    signal?: AbortSignal,
  ): Promise<Plan | undefined> {
    const { member, planId } = request;
    const after = plan.intent ?? create(IntentSchema, { member });
    const input = await this.readDecisionInput(member, planId, after, signal, conflicts);
    const planRow = decodePlanRow(input.rows.get(formatPlanKey(member, planId)));
    // Confirmed by an earlier attempt or through another node.
    if (planRow?.state === PlanState.CONFIRMED) return copyInState(plan, planRow);
    if (!isConsistent(input)) return undefined;
    const refusal = findRefusal(input, this.options.builder);
    if (refusal !== undefined) return this.throwIfCurrent(refusal, input.rows, conflicts, signal);
    if (planRow === undefined) return undefined;
    const { transaction, confirmed } = makeConfirmTransaction({
      ...input,
      planRow,
      before: input.inForce.intent,
      nowMs: this.getNowMs(),
      audit: this.makeAuditEntry(request, 'plan.confirm'),
    });
    attempt.markSent();
    const isCommitted = await this.repository.transact(transaction, signal, conflicts);
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
   * Throws the refusal if the rows behind it are current, and returns undefined, which leads to
   * another attempt, if they are not. A read may be served by a lagging replica: after a lost
   * response it can still show the plan as open and another row as changed, and the refusal would
   * be wrong. A transaction without writes verifies that the rows are current.
   */
  private async throwIfCurrent(
    refusal: IPlanRefusal,
    rows: RowMap,
    conflicts: ConflictRows,
    signal?: AbortSignal,
  ): Promise<undefined> {
    const conditions = refusal.keys.map((key) => makeCondition(key, rows.get(key)));
    const isCurrent = await this.repository.transact({ conditions, writes: [] }, signal, conflicts);
    if (isCurrent) throw refusal.error;
    return undefined;
  }

  private async readDecisionInput(
    member: string,
    planId: string,
    after: Intent,
    signal?: AbortSignal,
    conflicts = new ConflictRows(),
  ): Promise<IDecisionInput> {
    const inForce = await this.repository.fetchInForce(member, signal, conflicts);
    const keys = listConfirmKeys(member, planId, inForce.intent, after);
    const rows = await this.repository.readRows(keys, signal, conflicts);
    const warmingUp = await this.repository.fetchWarmingUp(
      inForce.intent,
      after,
      this.getNowMs(),
      signal,
    );
    return { member, planId, inForce, after, rows, warmingUp };
  }

  /** The wall time in whole ms, as rows store it. The clock of a replay may return fractions. */
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

/** Returns false if the member's configuration changed between the reads, so that rows may be missing. */
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
