/** The capacity floor: the number of healthy slots that ejections must leave to a service. */
import { isDraining } from '@parsleymux/config';
import type { Service, Target } from '@parsleymux/schema';
import { TargetState } from '@parsleymux/schema';

/** State that a floor check is based on. */
export interface IFloorCheck {
  readonly service: Service;
  /** Addresses of the targets that are ejected in the ledger. */
  readonly ejected: ReadonlySet<string>;
  /** Addresses of targets that are cold, draining at their own request, or on trial. */
  readonly otherwiseUnhealthy: ReadonlySet<string>;
}

/** True when the configuration allows new requests to the target at `wallTimeMs`. */
export function isConfiguredServing(target: Target, wallTimeMs: number): boolean {
  if (target.state === TargetState.DRAINING) return false;
  const leaveAtMs = Number(target.leaveAtMs);
  return leaveAtMs === 0 || wallTimeMs < leaveAtMs;
}

/**
 * Counts the healthy slots of the service: those of targets that no plan removes, that are not
 * ejected and that the home has no other reason to avoid. Targets that are cold, draining or on trial
 * count as missing, since they may fail to recover and the floor guarantees available capacity.
 *
 * @example
 * const spare = computeHealthySlots(floorCheck) - floorCheck.service.floorSlots;
 */
export function computeHealthySlots(floorCheck: IFloorCheck): number {
  return floorCheck.service.targets
    .filter((target) => isHealthy(target, floorCheck))
    .reduce((sum, target) => sum + target.slots, 0);
}

/** True when ejecting `address` preserves the floor. Ejecting an unhealthy target removes no capacity. */
export function isEjectable(address: string, floorCheck: IFloorCheck): boolean {
  const ejected = new Set(floorCheck.ejected).add(address);
  const before = computeHealthySlots(floorCheck);
  const after = computeHealthySlots({ ...floorCheck, ejected });
  return after === before || after >= floorCheck.service.floorSlots;
}

function isHealthy(target: Target, floorCheck: IFloorCheck): boolean {
  return (
    !isDraining(target) &&
    !floorCheck.ejected.has(target.address) &&
    !floorCheck.otherwiseUnhealthy.has(target.address)
  );
}
