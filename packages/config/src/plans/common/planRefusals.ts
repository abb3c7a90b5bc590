/** Finds the reason why the rows that were read don't allow a plan to be confirmed. */
import { MuxError } from '@parsleymux/base';
import type { Intent } from '@parsleymux/schema';
import { PlanState } from '@parsleymux/schema';
import {
  formatEjectionKey,
  formatHostKey,
  formatMemberKey,
  formatPlanKey,
  formatTargetKey,
} from '../../layout/common/rowKeys.js';
import type { IPlanRow, RowMap } from '../../layout/common/rows.js';
import { decodeEjections, decodeOwner, decodePlanRow } from '../../layout/common/rows.js';
import type { EjectedTargets } from './capacity.js';
import { compareOwnership, listServiceNames } from './confirmTransaction.js';
import type { PlanBuilder } from './planBuilder.js';
import {
  createHostTakenError,
  createPlanDecidedError,
  createPlanNotFoundError,
  createPlanStaleError,
  createTargetTakenError,
} from './planErrors.js';
import type { IIntentInForce } from './planRepository.js';

/** A refusal and the keys of the rows that it depends on. */
export interface IPlanRefusal {
  readonly error: MuxError;
  readonly keys: readonly string[];
}

/** Input of the decision whether to confirm a plan. */
export interface IDecisionInput {
  readonly member: string;
  readonly planId: string;
  readonly inForce: IIntentInForce;
  readonly after: Intent;
  readonly rows: RowMap;
  /** Addresses of targets in force that are still warming up. */
  readonly warmingUp: ReadonlySet<string>;
}

/**
 * The first reason not to confirm the plan, or undefined when there is none.
 *
 * @example
 * const refusal = findRefusal(input, builder);
 */
export function findRefusal(input: IDecisionInput, builder: PlanBuilder): IPlanRefusal | undefined {
  const row = decodePlanRow(input.rows.get(formatPlanKey(input.member, input.planId)));
  const stateError = findStateRefusal(input, row);
  const keys = [formatPlanKey(input.member, input.planId), formatMemberKey(input.member)];
  if (stateError !== undefined) return { error: stateError, keys };
  const conflict = findOwnershipRefusal(input);
  if (conflict !== undefined) return { error: conflict.error, keys: [...keys, ...conflict.keys] };
  return findFloorRefusal(input, builder, keys);
}

/**
 * The first host name or address of the plan that another member owns.
 *
 * @example
 * const refusal = findOwnershipRefusal(input);
 */
export function findOwnershipRefusal(
  input: Omit<IDecisionInput, 'planId'>,
): IPlanRefusal | undefined {
  const { member, rows } = input;
  const isTaken = (key: string) => (decodeOwner(rows.get(key))?.member ?? member) !== member;
  const ownership = compareOwnership(input.inForce.intent, input.after);
  const host = ownership.addedHosts.find((name) => isTaken(formatHostKey(name)));
  if (host !== undefined) return { error: createHostTakenError(host), keys: [formatHostKey(host)] };
  const target = ownership.addedTargets.find((address) => isTaken(formatTargetKey(address)));
  if (target === undefined) return undefined;
  return { error: createTargetTakenError(target), keys: [formatTargetKey(target)] };
}

/**
 * Addresses of the targets that are ejected according to the rows, by service name.
 *
 * @example
 * const ejected = listEjected(input);
 */
export function listEjected(input: Omit<IDecisionInput, 'planId'>): EjectedTargets {
  const names = listServiceNames(input.inForce.intent, input.after);
  return new Map(
    names.map((name) => {
      const row = decodeEjections(input.rows.get(formatEjectionKey(input.member, name)));
      return [name, new Set(row.ejected.map((entry) => entry.target))];
    }),
  );
}

function findStateRefusal(input: IDecisionInput, row: IPlanRow | undefined): MuxError | undefined {
  if (row === undefined) return createPlanNotFoundError(input.planId);
  if (row.state === PlanState.DISCARDED) return createPlanDecidedError(input.planId, 'discarded');
  const current = input.inForce.memberRevision;
  if (row.baseMemberRevision === current) return undefined;
  return createPlanStaleError(input.planId, row.baseMemberRevision, current);
}

function findFloorRefusal(
  input: IDecisionInput,
  builder: PlanBuilder,
  keys: readonly string[],
): IPlanRefusal | undefined {
  const before = input.inForce.intent;
  try {
    const { after, warmingUp } = input;
    builder.check({ before, after, ejected: listEjected(input), warmingUp });
    return undefined;
  } catch (error) {
    if (!(error instanceof MuxError)) throw error;
    const ejectionKeys = listServiceNames(before, input.after).map((name) => {
      return formatEjectionKey(input.member, name);
    });
    return { error, keys: [...keys, ...ejectionKeys] };
  }
}
