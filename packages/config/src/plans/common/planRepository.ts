/** Reads and writes the objects and rows of plans. */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import type {
  IPlatform,
  ITableRow,
  ITableTransaction,
  ITransactionResult,
} from '@parsleymux/store';
import { PlatformError, PlatformFailure } from '@parsleymux/store';
import type { Intent, Plan } from '@parsleymux/schema';
import { IntentSchema, PlanSchema, PlanState } from '@parsleymux/schema';
import {
  formatIntentKey,
  formatMemberKey,
  formatPlanKey,
  formatTargetKey,
} from '../../layout/common/rowKeys.js';
import type { IPlanRow, RowMap } from '../../layout/common/rows.js';
import { decodeOwner, decodePointer, encodePlanRow, toRowMap } from '../../layout/common/rows.js';
import { listTargetsOfShrinkingServices } from './capacity.js';

/** Time after which a target that a plan added counts as warm. */
export const WARM_UP_MS = 60_000;

/** A member's intent in force. */
export interface IIntentInForce {
  /** 0 when the member has no configuration yet. */
  readonly memberRevision: number;
  readonly intent: Intent | undefined;
}

/**
 * The conflicting rows that the last rejected transaction of an operation returned. They are
 * current, whereas a read may be served by a lagging replica. Without them an operation could fail
 * every attempt for as long as the replica lags.
 */
export class ConflictRows {
  private rows: RowMap = new Map();

  /** Replaces the rows by those of a newer result. */
  update(result: ITransactionResult): void {
    this.rows = toRowMap(result.conflicts);
  }

  /** The rows that were read, each replaced by its conflicting row where that is newer. */
  merge(read: readonly ITableRow[], keys: readonly string[]): RowMap {
    const merged = new Map(toRowMap(read));
    for (const key of keys) {
      const conflict = this.rows.get(key);
      if (conflict !== undefined && conflict.version > (merged.get(key)?.version ?? 0)) {
        merged.set(key, conflict);
      }
    }
    return merged;
  }
}

/**
 * Reads and writes stored plans. Every method rejects with a PlatformError when the store fails.
 *
 * @example
 * const repository = new PlanRepository(platform);
 */
export class PlanRepository {
  constructor(private readonly platform: Pick<IPlatform, 'table' | 'objects'>) {}

  /** Reads rows by key; absent rows are left out. */
  async readRows(
    keys: readonly string[],
    signal?: AbortSignal,
    conflicts = new ConflictRows(),
  ): Promise<RowMap> {
    return conflicts.merge(await this.platform.table.read(keys, signal), keys);
  }

  /**
   * Reads one row. When the read finds none, a transaction without writes confirms its absence,
   * because a lagging replica may not have a plan that was stored a moment ago.
   */
  async readCurrent(key: string, signal?: AbortSignal): Promise<ITableRow | undefined> {
    const row = (await this.readRows([key], signal)).get(key);
    if (row !== undefined) return row;
    const conditions = [{ key, version: 0 }];
    return (await this.platform.table.transact({ conditions, writes: [] }, signal)).conflicts[0];
  }

  /** Resolves to whether the transaction was committed. */
  async transact(
    transaction: ITableTransaction,
    signal?: AbortSignal,
    conflicts = new ConflictRows(),
  ): Promise<boolean> {
    const result = await this.platform.table.transact(transaction, signal);
    conflicts.update(result);
    return result.committed;
  }

  /** Fetches the member's intent in force. */
  async fetchInForce(
    member: string,
    signal?: AbortSignal,
    conflicts?: ConflictRows,
  ): Promise<IIntentInForce> {
    const key = formatMemberKey(member);
    return this.fetchByPointer((await this.readRows([key], signal, conflicts)).get(key), signal);
  }

  /**
   * Addresses of targets in force that are still warming up, of the services whose capacity the
   * plan reduces. Their rows change only together with the member's pointer, on which the
   * confirmation is conditional, so they need no separate condition.
   */
  async fetchWarmingUp(
    before: Intent | undefined,
    after: Intent,
    nowMs: number,
    signal?: AbortSignal,
  ): Promise<ReadonlySet<string>> {
    const addresses = listTargetsOfShrinkingServices(before, after);
    if (addresses.length === 0) return new Set();
    const rows = await this.readRows(addresses.map(formatTargetKey), signal);
    return new Set(
      addresses.filter((address) => {
        const owner = decodeOwner(rows.get(formatTargetKey(address)));
        return (owner?.servesSinceMs ?? 0) > nowMs - WARM_UP_MS;
      }),
    );
  }

  /** Fetches the plan with its intent. The stored plan always has the state PROPOSED. */
  async fetchPlan(member: string, planId: string, signal?: AbortSignal): Promise<Plan> {
    const plan = fromBinary(
      PlanSchema,
      await this.fetchObject(formatPlanKey(member, planId), signal),
    );
    const intent = await this.fetchIntent(formatIntentKey(member, planId), signal);
    return create(PlanSchema, { ...plan, intent });
  }

  /** Writes the plan's objects. They precede its row, so that a row never refers to a missing object. */
  async storeObjects(plan: Plan, intent: Intent, signal?: AbortSignal): Promise<void> {
    const { objects } = this.platform;
    const bytes = toBinary(IntentSchema, intent);
    await objects.put(formatIntentKey(plan.member, plan.id), bytes, signal);
    await objects.put(formatPlanKey(plan.member, plan.id), toBinary(PlanSchema, plan), signal);
  }

  /** Writes the row of a new plan, unless an earlier attempt whose response was lost wrote it. */
  async storeRow(plan: Plan, signal?: AbortSignal): Promise<void> {
    const key = formatPlanKey(plan.member, plan.id);
    const row: IPlanRow = {
      state: PlanState.PROPOSED,
      baseMemberRevision: Number(plan.baseMemberRevision),
      createdAtMs: Number(plan.createdAtMs),
      confirmedFleetRevision: 0,
    };
    const writes = [{ key, value: encodePlanRow(row) }];
    await this.transact({ conditions: [{ key, version: 0 }], writes }, signal);
  }

  private async fetchByPointer(
    row: ITableRow | undefined,
    signal?: AbortSignal,
  ): Promise<IIntentInForce> {
    const pointer = decodePointer(row);
    if (pointer === undefined) return { memberRevision: 0, intent: undefined };
    const intent = await this.fetchIntent(pointer.objectKey, signal);
    return { memberRevision: Number(pointer.memberRevision), intent };
  }

  private async fetchIntent(objectKey: string, signal?: AbortSignal): Promise<Intent> {
    return fromBinary(IntentSchema, await this.fetchObject(objectKey, signal));
  }

  private async fetchObject(key: string, signal?: AbortSignal): Promise<Uint8Array> {
    const bytes = await this.platform.objects.get(key, signal);
    if (bytes !== undefined) return bytes;
    throw new PlatformError(PlatformFailure.Refused, `object ${key} is missing`);
  }
}
