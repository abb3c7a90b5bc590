/**
 * Serving slots of a service before, during and after a plan, against its floor.
 *
 * How targets count: a serving target counts with its slots; a draining one, one with an
 * instant to leave, and an ejected one count as gone; a target that the plan adds is cold and
 * counts only after the plan, not during it; one that an earlier plan added a moment ago is cold
 * still, so that two plans in a row can't do what one may not.
 */
import { create } from '@bufbuild/protobuf';
import type { Intent, Service, ServiceCapacity, Target } from '@parsleymux/schema';
import { ServiceCapacitySchema, TargetState } from '@parsleymux/schema';

/** Addresses of the ejected targets of each service. */
export type EjectedTargets = ReadonlyMap<string, ReadonlySet<string>>;

/** What capacity is reckoned from. */
export interface ICapacityInput {
  /** The intent in force. */
  readonly before: Intent | undefined;
  readonly after: Intent;
  readonly ejected: EjectedTargets;
  /** Addresses of targets in force that began to serve a moment ago. */
  readonly warmingUp: ReadonlySet<string>;
}

/** A service's capacity and how it came about. */
export interface ICapacityResult {
  readonly capacity: ServiceCapacity;
  /** The plan must not be confirmed: it would leave less than the floor. */
  readonly isFloorViolated: boolean;
  /** Below the floor already, and the plan makes it no worse. */
  readonly isRepair: boolean;
  readonly arithmetic: string;
}

/**
 * Whether a target is draining or is to leave. One that leaves at an instant counts as gone from
 * the plan on: were it counted until then, an ejection shortly before would break the floor.
 *
 * @example
 * const serving = service.targets.filter((target) => !isLeaving(target));
 */
export function isDraining(target: Target): boolean {
  return target.state === TargetState.DRAINING || target.leaveAtMs > 0n;
}

/**
 * Slots of the targets that serve and are not ejected.
 *
 * @example
 * computeServingSlots(service, new Set(['127.0.0.1:9001']));
 */
export function computeServingSlots(service: Service, ejected: ReadonlySet<string>): number {
  return countSlots(listServing(service, ejected));
}

/**
 * The capacity of each service that `after` names or that `before` named.
 *
 * @example
 * const findings = computeCapacity({ before, after, ejected: new Map(), warmingUp: new Set() });
 */
export function computeCapacity(input: ICapacityInput): readonly ICapacityResult[] {
  const { before, after } = input;
  const oldServices = new Map(before?.services.map((service) => [service.name, service]));
  const newServices = new Map(after.services.map((service) => [service.name, service]));
  const names = new Set([...oldServices.keys(), ...newServices.keys()]);
  return [...names].map((name) => {
    return computeServiceCapacity(name, oldServices.get(name), newServices.get(name), input);
  });
}

/**
 * Serving targets of the services that a plan takes capacity from; only for those does it matter
 * which are cold.
 *
 * @example
 * const addresses = listTargetsOfShrinking(before, after);
 */
export function listTargetsOfShrinkingServices(
  before: Intent | undefined,
  after: Intent,
): readonly string[] {
  const findings = computeCapacity({ before, after, ejected: new Map(), warmingUp: new Set() });
  const shrinking = findings
    .filter(({ capacity }) => capacity.duringSlots < capacity.beforeSlots)
    .map(({ capacity }) => capacity.service);
  const services = before?.services.filter((service) => shrinking.includes(service.name)) ?? [];
  return services.flatMap((service) =>
    listServing(service, new Set()).map((target) => target.address),
  );
}

function computeServiceCapacity(
  name: string,
  before: Service | undefined,
  after: Service | undefined,
  input: ICapacityInput,
): ICapacityResult {
  const ejected = input.ejected.get(name) ?? new Set<string>();
  const oldTargets = before === undefined ? [] : listServing(before, ejected);
  const newTargets = after === undefined ? [] : listServing(after, ejected);
  const kept = listRetained(oldTargets, newTargets);
  const isWarm = (target: Target) => !input.warmingUp.has(target.address);
  const capacity = create(ServiceCapacitySchema, {
    service: name,
    floorSlots: after?.floorSlots ?? 0,
    beforeSlots: countSlots(oldTargets.filter(isWarm)),
    duringSlots: countSlots(kept.filter(isWarm)),
    afterSlots: countSlots(newTargets),
  });
  const isKept = countSlots(kept) >= Math.min(capacity.floorSlots, countSlots(oldTargets));
  const isRepair = isKept && checkRepair(capacity, before);
  const isFloorViolated = !isRepair && checkFloorViolation(capacity, before, after);
  const coldCount = oldTargets.filter((target) => !isWarm(target)).length;
  const arithmetic = describeArithmetic(capacity, ejected.size, coldCount);
  return { capacity, isRepair, isFloorViolated: isFloorViolated, arithmetic };
}

/** During the change the lower of both floors holds: a raised floor can wait for its new targets. */
function checkFloorViolation(
  capacity: ServiceCapacity,
  before: Service | undefined,
  after: Service | undefined,
): boolean {
  if (after === undefined) return false;
  if (capacity.afterSlots < after.floorSlots) return true;
  // A new service has no callers yet, so there is nothing that its cold targets could fail.
  if (before === undefined) return false;
  return capacity.duringSlots < Math.min(before.floorSlots, after.floorSlots);
}

/**
 * Without this, a service that fell below its floor could not be given more targets. What is
 * cold may not be taken away on this ground either, down to the floor.
 */
function checkRepair(capacity: ServiceCapacity, before: Service | undefined): boolean {
  if (before === undefined || capacity.beforeSlots >= before.floorSlots) return false;
  if (capacity.floorSlots > before.floorSlots) return false;
  return (
    capacity.duringSlots >= capacity.beforeSlots && capacity.afterSlots >= capacity.beforeSlots
  );
}

function listServing(service: Service, ejected: ReadonlySet<string>): readonly Target[] {
  return service.targets.filter((target) => !isDraining(target) && !ejected.has(target.address));
}

/** Targets that serve before and after, with the lower of both slot counts. */
function listRetained(before: readonly Target[], after: readonly Target[]): readonly Target[] {
  const old = new Map(before.map((target) => [target.address, target]));
  return after.flatMap((target) => {
    const former = old.get(target.address);
    if (former === undefined) return [];
    return [former.slots < target.slots ? former : target];
  });
}

function countSlots(targets: readonly Target[]): number {
  return targets.reduce((sum, target) => sum + target.slots, 0);
}

function describeArithmetic(
  capacity: ServiceCapacity,
  ejectedCount: number,
  coldCount: number,
): string {
  const cold = coldCount === 0 ? '' : `, ${coldCount} began to serve a moment ago and are cold`;
  return (
    `service "${capacity.service}": floor ${capacity.floorSlots} slots; ` +
    `before ${capacity.beforeSlots}, during ${capacity.duringSlots}, after ${capacity.afterSlots} ` +
    `(${ejectedCount} targets ejected, counted as gone${cold})`
  );
}
