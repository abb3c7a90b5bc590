/** Bounds the number of a member's plan rows. */
import { MS_PER_DAY, MuxError, ResultCode, RunState } from '@parsleymux/base';
import type { ITableRow, ITableWrite, TableService } from '@parsleymux/store';
import { PlanState } from '@parsleymux/schema';
import { formatPlanPrefix } from '../../layout/common/rowKeys.js';
import type { IPlanRow } from '../../layout/common/rows.js';
import { decodePlanRow } from '../../layout/common/rows.js';

/** Maximum number of open plans of a member. */
export const MAX_OPEN_PLANS = 50;
/** An open plan that is not confirmed within this time is removed. */
export const OPEN_PLAN_LIFETIME_MS = MS_PER_DAY;
/** Longer than any client repeats a confirmation whose response was lost. */
export const DECIDED_PLAN_LIFETIME_MS = 30 * MS_PER_DAY;

const SCAN_LIMIT = 1000;
const MAX_REMOVED_ROWS = 100;

/**
 * Removes the rows of expired plans and counts the open plans.
 * Throws LimitExceeded when the member has too many open plans.
 *
 * @example
 * await checkOpenPlans(table, 'dobrescu', clock.getWallTime(), signal);
 */
export async function checkOpenPlans(
  table: TableService,
  member: string,
  nowMs: number,
  signal?: AbortSignal,
): Promise<void> {
  const rows = await table.scan({ prefix: formatPlanPrefix(member), limit: SCAN_LIMIT }, signal);
  const expired = rows.filter((row) => isExpired(row, nowMs)).slice(0, MAX_REMOVED_ROWS);
  await removeRows(table, expired, signal);
  const open = rows.filter((row) => !expired.includes(row)).filter(isOpen);
  if (open.length < MAX_OPEN_PLANS) return;
  const message = `${open.length} plans are open; confirm or discard some`;
  throw new MuxError({ code: ResultCode.LimitExceeded, message, runState: RunState.NotRun });
}

/** Removes only rows that are unchanged since the read, so that no plan is lost while it is decided. */
async function removeRows(
  table: TableService,
  rows: readonly ITableRow[],
  signal?: AbortSignal,
): Promise<void> {
  if (rows.length === 0) return;
  const conditions = rows.map(({ key, version }) => ({ key, version }));
  const writes: readonly ITableWrite[] = rows.map(({ key }) => ({ key, value: null }));
  await table.transact({ conditions, writes }, signal);
}

function isExpired(row: ITableRow, nowMs: number): boolean {
  const plan = decodePlanRow(row);
  if (plan === undefined) return false;
  return nowMs - plan.createdAtMs > getLifetimeMs(plan);
}

function getLifetimeMs(plan: IPlanRow): number {
  return plan.state === PlanState.PROPOSED ? OPEN_PLAN_LIFETIME_MS : DECIDED_PLAN_LIFETIME_MS;
}

function isOpen(row: ITableRow): boolean {
  return decodePlanRow(row)?.state === PlanState.PROPOSED;
}
