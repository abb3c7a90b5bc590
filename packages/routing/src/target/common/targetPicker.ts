/** Chooses among the targets of a service. */
import type { RandomSource } from '@parsleymux/base';
import { HealthStatus } from './targetHandle.js';
import type { TargetHandle } from './targetHandle.js';

/** Options of {@link pickTarget}. */
export interface IPickOptions {
  readonly handles: Iterable<TargetHandle>;
  /** Targets that the request already failed on. */
  readonly excluded: ReadonlySet<string>;
  readonly isIdempotent: boolean;
  readonly wallTimeMs: number;
  readonly random: RandomSource;
}

/**
 * Returns the least loaded usable target with a free slot. Suspected targets are the last choice; a
 * request that must not run twice uses them only while no other target is usable at all.
 *
 * @example
 * const handle = pickTarget({ handles, excluded: new Set(), isIdempotent: true, wallTimeMs, random });
 */
export function pickTarget(options: IPickOptions): TargetHandle | undefined {
  const usable = [...options.handles].filter((handle) => {
    return handle.isUsable(options.wallTimeMs) && !options.excluded.has(handle.address);
  });
  const healthy = usable.filter((handle) => !isSuspected(handle));
  const best = pickLeastLoaded(healthy, options.random);
  if (best !== undefined) return best;
  const suspected = usable.filter(isSuspected);
  if (healthy.length === 0) return pickLeastLoaded(suspected, options.random);
  if (!options.isIdempotent) return undefined;
  return pickLeastLoaded(
    suspected.filter((handle) => !handle.isLocallyUnreachable),
    options.random,
  );
}

function isSuspected(handle: TargetHandle): boolean {
  return handle.standing === HealthStatus.Suspect || handle.isBeingProbed;
}

function pickLeastLoaded(
  handles: readonly TargetHandle[],
  random: RandomSource,
): TargetHandle | undefined {
  const free = handles.filter((handle) => handle.hasFreeSlot());
  const lowest = Math.min(...free.map(computeLoad));
  const ties = free.filter((handle) => computeLoad(handle) <= lowest);
  return ties[random.getInteger(ties.length)];
}

function computeLoad(handle: TargetHandle): number {
  return handle.inUse / handle.getEffectiveLimit();
}
