/** Formats a plan as text. */
import type { Change, Plan } from '@parsleymux/schema';
import { ChangeKind, PlanState } from '@parsleymux/schema';
import { formatInstant, formatTable } from './table.js';

const KIND_SIGNS: ReadonlyMap<ChangeKind, string> = new Map([
  [ChangeKind.ADDED, '+'],
  [ChangeKind.CHANGED, '~'],
  [ChangeKind.REMOVED, '-'],
]);
/** Further changes are only counted; `--json` shows all. */
const MAX_CHANGES_SHOWN = 200;

/**
 * Formats the plan's changes, capacity, steps and warnings, and how to confirm it.
 *
 * @example
 * console.log(formatPlan(plan));
 */
export function formatPlan(plan: Plan): string {
  const capacity = plan.capacity.map((entry) =>
    [entry.service, entry.floorSlots, entry.beforeSlots, entry.duringSlots, entry.afterSlots].map(
      String,
    ),
  );
  return [
    `plan ${plan.id}  ${formatState(plan)}  made ${formatInstant(plan.createdAtMs)}`,
    `from revision ${plan.baseMemberRevision} of member ${plan.member}`,
    '',
    'changes',
    ...formatChanges(plan.changes),
    '',
    'capacity in slots',
    formatTable(['service', 'floor', 'before', 'during', 'after'], capacity),
    '',
    'steps',
    ...plan.steps.map((step, index) => `${index + 1}. ${step}`),
    ...(plan.warnings.length === 0 ? [] : ['', 'warnings']),
    ...plan.warnings.map((warning) => `! ${warning}`),
    ...(plan.state === PlanState.PROPOSED
      ? ['', `nothing has changed yet; to go ahead: parsleyctl plan confirm ${plan.id}`]
      : []),
  ].join('\n');
}

function formatState(plan: Plan): string {
  return PlanState[plan.state].toLowerCase();
}

function formatChanges(changes: readonly Change[]): readonly string[] {
  if (changes.length === 0) return ['none'];
  const lines = changes.slice(0, MAX_CHANGES_SHOWN).flatMap(formatChange);
  const more = changes.length - MAX_CHANGES_SHOWN;
  return more > 0 ? [...lines, `and ${more} more; --json shows all`] : lines;
}

function formatChange(change: Change): readonly string[] {
  const sign = KIND_SIGNS.get(change.kind) ?? '?';
  const head = `${sign} ${change.subject} ${change.name}`;
  if (change.kind !== ChangeKind.CHANGED) return [head];
  return [head, ...formatFields(change).map((line) => `    ${line}`)];
}

/** Formats the fields that differ, each on one line. */
function formatFields(change: Change): readonly string[] {
  const before = JSON.parse(change.before) as Record<string, unknown>;
  const after = JSON.parse(change.after) as Record<string, unknown>;
  const names = [...new Set([...Object.keys(before), ...Object.keys(after)])];
  return names.flatMap((name) => {
    const oldText = formatValue(before[name]);
    const newText = formatValue(after[name]);
    return oldText === newText ? [] : [`${name}: ${oldText} -> ${newText}`];
  });
}

function formatValue(value: unknown): string {
  return value === undefined ? 'none' : JSON.stringify(value);
}
