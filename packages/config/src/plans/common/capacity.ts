/**
 * Serving slots of a service before, during and after a plan, against its floor.
 *
 * How targets count: a serving target counts with its slots; a draining one, one with an
 * instant to leave, and an ejected one count as gone; a target that the plan adds is cold and
 * counts only after the plan, not during it.
 */
import { create } from '@bufbuild/protobuf';
import type { Intent, Service, ServiceCapacity, Target } from '@parsleymux/schema';
import { ServiceCapacitySchema, TargetState } from '@parsleymux/schema';

/** Addresses of the ejected targets of each service. */
export type EjectedTargets = ReadonlyMap<string, ReadonlySet<string>>;

/** A service's capacity and how it came about. */
export interface ICapacityFinding {
  readonly capacity: ServiceCapacity;
  /** The plan must not be confirmed: it would leave less than the floor. */
  readonly breaksFloor: boolean;
  /** Below the floor already, and the plan makes it no worse. */
  readonly isRepair: boolean;
  readonly arithmetic: string;
}

/**
 * Whether a target is draining or is to leave.
 *
 * @example
 * const serving = service.targets.filter((target) => !isLeaving(target));
 */
export function isLeaving(target: Target): boolean {
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
 * const findings = computeCapacity(before, after, new Map());
 */
export function computeCapacity(
  before: Intent | undefined,
  after: Intent,
  ejected: EjectedTargets,
): readonly ICapacityFinding[] {
  const oldServices = new Map(before?.services.map((service) => [service.name, service]));
  const newServices = new Map(after.services.map((service) => [service.name, service]));
  const names = new Set([...oldServices.keys(), ...newServices.keys()]);
  return [...names].map((name) => {
    const gone = ejected.get(name) ?? new Set<string>();
    return findCapacity(name, oldServices.get(name), newServices.get(name), gone);
  });
}

function findCapacity(
  name: string,
  before: Service | undefined,
  after: Service | undefined,
  ejected: ReadonlySet<string>,
): ICapacityFinding {
  const oldTargets = before === undefined ? [] : listServing(before, ejected);
  const newTargets = after === undefined ? [] : listServing(after, ejected);
  const capacity = create(ServiceCapacitySchema, {
    service: name,
    floorSlots: after?.floorSlots ?? 0,
    beforeSlots: countSlots(oldTargets),
    duringSlots: countSlots(listKept(oldTargets, newTargets)),
    afterSlots: countSlots(newTargets),
  });
  const isRepair = checkRepair(capacity, before);
  return {
    capacity,
    isRepair,
    breaksFloor: !isRepair && checkBreak(capacity, before, after),
    arithmetic: describeArithmetic(capacity, ejected),
  };
}

/** During the change the lower of both floors holds: a raised floor can wait for its new targets. */
function checkBreak(
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

/** Without this, a service that fell below its floor could not be given more targets. */
function checkRepair(capacity: ServiceCapacity, before: Service | undefined): boolean {
  if (before === undefined || capacity.beforeSlots >= before.floorSlots) return false;
  if (capacity.floorSlots > before.floorSlots) return false;
  return (
    capacity.duringSlots >= capacity.beforeSlots && capacity.afterSlots >= capacity.beforeSlots
  );
}

function listServing(service: Service, ejected: ReadonlySet<string>): readonly Target[] {
  return service.targets.filter((target) => !isLeaving(target) && !ejected.has(target.address));
}

/** Targets that serve before and after, with the lower of both slot counts. */
function listKept(before: readonly Target[], after: readonly Target[]): readonly Target[] {
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

function describeArithmetic(capacity: ServiceCapacity, ejected: ReadonlySet<string>): string {
  return (
    `service "${capacity.service}": floor ${capacity.floorSlots} slots; ` +
    `before ${capacity.beforeSlots}, during ${capacity.duringSlots}, after ${capacity.afterSlots} ` +
    `(${ejected.size} targets ejected, counted as gone)`
  );
}
