/**
 * Computes the serving slots of each service before, during and after a plan, and checks them
 * against the service's floor.
 *
 * A serving target counts with its slots. A draining target, a target with a scheduled leave time
 * and an ejected target don't count. A target that the plan adds is cold (not warmed up yet) and
 * counts only after the plan, not during it. A target that an earlier plan added is cold until its
 * warm-up time has passed, so that two consecutive plans can't do what one plan may not.
 */
import { create } from '@bufbuild/protobuf';
import type { Intent, Service, ServiceCapacity, Target } from '@parsleymux/schema';
import { ServiceCapacitySchema, TargetState } from '@parsleymux/schema';

/** Addresses of the ejected targets, by service name. */
export type EjectedTargets = ReadonlyMap<string, ReadonlySet<string>>;

/** Input of the capacity computation. */
export interface ICapacityInput {
  /** The intent in force. */
  readonly before: Intent | undefined;
  readonly after: Intent;
  readonly ejected: EjectedTargets;
  /** Addresses of targets in force that are still warming up. */
  readonly warmingUp: ReadonlySet<string>;
}

/** A service's capacity, the floor check and the arithmetic behind both. */
export interface ICapacityResult {
  readonly capacity: ServiceCapacity;
  /** The plan would leave fewer slots than the floor and must not be confirmed. */
  readonly isFloorViolated: boolean;
  /** The service is below its floor already, and the plan does not reduce its capacity further. */
  readonly isRepair: boolean;
  readonly arithmetic: string;
}

/**
 * Whether a target is draining or has a scheduled leave time. A target that leaves at a later
 * instant stops counting as soon as the plan is in force: if it counted until then, an ejection
 * shortly before that instant would break the floor.
 *
 * @example
 * const serving = service.targets.filter((target) => !isDraining(target));
 */
export function isDraining(target: Target): boolean {
  return target.state === TargetState.DRAINING || target.leaveAtMs > 0n;
}

/**
 * Total slots of the targets that serve and are not ejected.
 *
 * @example
 * computeServingSlots(service, new Set(['127.0.0.1:9001']));
 */
export function computeServingSlots(service: Service, ejected: ReadonlySet<string>): number {
  return countSlots(listServing(service, ejected));
}

/**
 * The capacity of each service in either intent.
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
 * Addresses of the serving targets of each service whose capacity a plan reduces. Whether a target
 * is cold matters only for these services.
 *
 * @example
 * const addresses = listTargetsOfShrinkingServices(before, after);
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
  const retained = listRetained(oldTargets, newTargets);
  const isWarm = (target: Target) => !input.warmingUp.has(target.address);
  const capacity = create(ServiceCapacitySchema, {
    service: name,
    floorSlots: after?.floorSlots ?? 0,
    beforeSlots: countSlots(oldTargets.filter(isWarm)),
    duringSlots: countSlots(retained.filter(isWarm)),
    afterSlots: countSlots(newTargets),
  });
  const isFloorRetained =
    countSlots(retained) >= Math.min(capacity.floorSlots, countSlots(oldTargets));
  const isRepair = isFloorRetained && checkRepair(capacity, before);
  const isFloorViolated = !isRepair && checkFloorViolation(capacity, before, after);
  const coldCount = oldTargets.filter((target) => !isWarm(target)).length;
  const arithmetic = describeArithmetic(capacity, ejected.size, coldCount);
  return { capacity, isRepair, isFloorViolated: isFloorViolated, arithmetic };
}

/** During the change the lower of both floors applies: a raised floor needs its new targets first. */
function checkFloorViolation(
  capacity: ServiceCapacity,
  before: Service | undefined,
  after: Service | undefined,
): boolean {
  if (after === undefined) return false;
  if (capacity.afterSlots < after.floorSlots) return true;
  // A new service has no callers yet, so its cold targets can't fail any requests.
  if (before === undefined) return false;
  return capacity.duringSlots < Math.min(before.floorSlots, after.floorSlots);
}

/**
 * Allows plans that add targets to a service that is below its floor, which could not recover
 * otherwise. Such a plan may not remove cold targets that the floor needs either.
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

/** Targets that serve before and after the plan, each with the lower of its two slot counts. */
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
