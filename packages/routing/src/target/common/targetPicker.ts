/** Chooses among the targets of a service. */
import type { RandomSource } from '@parsleymux/base';
import { HealthStatus } from './targetHandle.js';
import type { TargetHandle } from './targetHandle.js';

/** What a request asks of a target. */
export interface IPickOptions {
  readonly handles: Iterable<TargetHandle>;
  /** Targets that the request already failed on. */
  readonly excluded: ReadonlySet<string>;
  readonly isIdempotent: boolean;
  readonly wallTimeMs: number;
  readonly random: RandomSource;
}

/**
 * The least loaded usable target with a free slot. A suspect target is the last choice, and for a
 * request that must not run twice it is a choice only while no other target is usable at all.
 *
 * @example
 * const handle = pickTarget({ handles, excluded: new Set(), isIdempotent: true, wallTimeMs, random });
 */
export function pickTarget(options: IPickOptions): TargetHandle | undefined {
  const usable = [...options.handles].filter((handle) => {
    return handle.isUsable(options.wallTimeMs) && !options.excluded.has(handle.address);
  });
  const trusted = usable.filter((handle) => !isSuspected(handle));
  const best = pickLeastLoaded(trusted, options.random);
  if (best !== undefined) return best;
  const suspects = usable.filter(isSuspected);
  if (trusted.length === 0) return pickLeastLoaded(suspects, options.random);
  if (!options.isIdempotent) return undefined;
  return pickLeastLoaded(
    suspects.filter((handle) => !handle.isLocallyUnreachable),
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
