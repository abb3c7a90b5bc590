/** Computes what confirming an intent will change. */
import { create } from '@bufbuild/protobuf';
import type { Change, Plan, Service } from '@parsleymux/schema';
import { ChangeKind, PlanSchema, PlanState } from '@parsleymux/schema';
import type { ICapacityResult, ICapacityInput } from './capacity.js';
import { computeCapacity, isDraining } from './capacity.js';
import { computeChanges } from './changes.js';
import { createFloorError } from './planErrors.js';

/** Input of a plan. */
export interface IPlanInput extends ICapacityInput {
  readonly id: string;
  readonly operator: string;
  readonly nowMs: number;
  /** The member's revision in force; 0 when it has none. */
  readonly baseMemberRevision: number;
}

/**
 * Builds plans and rejects those that would break a floor.
 *
 * @example
 * const plan = new PlanBuilder().build(input);
 */
export class PlanBuilder {
  /** Builds the plan without its intent. Throws FloorWouldBreak with the arithmetic. */
  build(input: IPlanInput): Plan {
    const results = this.check(input);
    const changes = computeChanges(input.before, input.after);
    return create(PlanSchema, {
      id: input.id,
      member: input.after.member,
      baseMemberRevision: BigInt(input.baseMemberRevision),
      changes: [...changes],
      capacity: results.map((result) => result.capacity),
      steps: [...describeSteps(changes, input.baseMemberRevision)],
      warnings: [...describeWarnings(input, results)],
      state: PlanState.PROPOSED,
      createdAtMs: BigInt(input.nowMs),
      operator: input.operator,
    });
  }

  /** Returns the capacity of every service. Throws FloorWouldBreak with the arithmetic. */
  check(input: ICapacityInput): readonly ICapacityResult[] {
    const results = computeCapacity(input);
    const violated = results.filter((result) => result.isFloorViolated);
    if (violated.length > 0) throw createFloorError(violated.map((result) => result.arithmetic));
    return results;
  }
}

function describeSteps(changes: readonly Change[], base: number): readonly string[] {
  const targets = changes.filter((change) => change.subject === 'target');
  const added = targets.filter((change) => change.kind === ChangeKind.ADDED).length;
  const removed = targets.filter((change) => change.kind === ChangeKind.REMOVED).length;
  const steps = [`write revision ${base + 1} of the member in one transaction`];
  steps.push('every node applies it within seconds; requests in flight finish where they are');
  if (removed > 0) steps.push(`${removed} removed targets get no new work and finish what runs`);
  if (added > 0) steps.push(`${added} added targets are warmed up and then take their share`);
  return steps;
}

function describeWarnings(
  input: IPlanInput,
  results: readonly ICapacityResult[],
): readonly string[] {
  const warnings = results
    .filter((result) => result.isRepair)
    .map((result) => `below the floor already: ${result.arithmetic}`);
  const routed = new Set(input.after.routes.map((route) => route.service));
  for (const service of input.after.services) {
    warnings.push(...describeServiceWarnings(service, input));
    if (!routed.has(service.name)) warnings.push(`service "${service.name}" has no route`);
  }
  for (const route of input.after.routes) {
    if (route.idempotent || route.lookUpPath !== '') continue;
    const consequence = 'an unknown outcome must be settled by an operator';
    warnings.push(`route "${route.name}" has no look-up path: ${consequence}`);
  }
  return warnings;
}

function describeServiceWarnings(service: Service, input: IPlanInput): readonly string[] {
  const warnings: string[] = [];
  const name = `service "${service.name}"`;
  const serving = service.targets.filter((target) => !isDraining(target));
  const domains = new Set(serving.map((target) => target.failureDomain));
  if (service.floorSlots === 0) warnings.push(`${name} has no floor: all of it may be ejected`);
  if (serving.length > 1 && domains.size === 1) {
    warnings.push(`${name} has all serving targets in one failure domain`);
  }
  const slots = serving.reduce((sum, target) => sum + target.slots, 0);
  if (slots > 0 && slots === service.floorSlots) {
    warnings.push(`${name} has its floor at full capacity: no target can be ejected`);
  }
  const ejected = input.ejected.get(service.name)?.size ?? 0;
  if (ejected > 0) warnings.push(`${name} has ${ejected} ejected targets, counted as gone`);
  return warnings;
}
