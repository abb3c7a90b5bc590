/** The one place that decides whether a service can spare a target. */
import { isLeaving } from '@parsleymux/config';
import type { Service, Target } from '@parsleymux/schema';
import { TargetState } from '@parsleymux/schema';

/** What is known when a target is to be ejected. */
export interface IFloorCheck {
  readonly service: Service;
  /** Targets that the ledger has as ejected. */
  readonly ejected: ReadonlySet<string>;
  /** Targets that are cold, draining by their own word, or on trial. */
  readonly otherwiseUnhealthy: ReadonlySet<string>;
}

/** True when the configuration lets the target have new work at `wallTimeMs`. */
export function isConfiguredServing(target: Target, wallTimeMs: number): boolean {
  if (target.state === TargetState.DRAINING) return false;
  const leaveAtMs = Number(target.leaveAtMs);
  return leaveAtMs === 0 || wallTimeMs < leaveAtMs;
}

/**
 * Healthy slots of the service: slots of targets that no plan takes away, that are not
 * ejected, and that the home knows of no other reason against. Cold, draining and probationary
 * targets count as missing: they may come to nothing, and the floor is a promise about capacity
 * that is there.
 *
 * @example
 * const spare = computeHealthySlots(floorCheck) - floorCheck.service.floorSlots;
 */
export function computeHealthySlots(floorCheck: IFloorCheck): number {
  return floorCheck.service.targets
    .filter((target) => isHealthy(target, floorCheck))
    .reduce((sum, target) => sum + target.slots, 0);
}

/** True when ejecting `address` leaves at least the floor. A target that is not healthy costs nothing. */
export function isEjectable(address: string, floorCheck: IFloorCheck): boolean {
  const ejected = new Set(floorCheck.ejected).add(address);
  const before = computeHealthySlots(floorCheck);
  const after = computeHealthySlots({ ...floorCheck, ejected });
  return after === before || after >= floorCheck.service.floorSlots;
}

function isHealthy(target: Target, floorCheck: IFloorCheck): boolean {
  return (
    !isLeaving(target) &&
    !floorCheck.ejected.has(target.address) &&
    !floorCheck.otherwiseUnhealthy.has(target.address)
  );
}
