/** Generates a schedule of faults from a seed, so that a failed run can be repeated. */
import fc from 'fast-check';

/** Kinds of faults, with their names in reports and in `--only`. */
export const FaultKind = {
  NodeKill: 'node-kill',
  NodePause: 'node-pause',
  NodeTerminate: 'node-terminate',
  PlatformOutage: 'platform-outage',
  PlatformSlow: 'platform-slow',
  PlatformOneWay: 'platform-one-way',
  PlatformLostResponses: 'platform-lost-answers',
  PlatformStale: 'platform-stale',
  PlatformPartition: 'platform-cut',
  TargetPartition: 'target-cut',
  TargetSilent: 'target-silent',
  TargetSlow: 'target-slow',
  TargetFailing: 'target-failing',
  TargetTruncating: 'target-truncating',
  TargetDrain: 'target-drain',
  TargetDown: 'target-down',
  OperatorRace: 'operator-race',
  OperatorHostConflict: 'operator-rival-host',
  OperatorDrain: 'operator-drain',
} as const;

export type FaultKind = (typeof FaultKind)[keyof typeof FaultKind];

export const FAULT_KINDS: readonly FaultKind[] = Object.values(FaultKind);

/** One fault. The effect of `pick` and `size` depends on the kind and on what runs at the time. */
export interface IFaultStep<K extends string = FaultKind> {
  readonly kind: K;
  /** Time since the start of the traffic, in ms. */
  readonly atMs: number;
  readonly durationMs: number;
  /** Selects a node, target or direction, modulo their number. */
  readonly pick: number;
  /** Severity, in (0, 1]. */
  readonly size: number;
}

/** Options of {@link makeSchedule}. */
export interface IScheduleOptions<K extends string = FaultKind> {
  readonly seed: number;
  readonly seconds: number;
  /** Mean time between two faults, in ms. Default 1500. */
  readonly spacingMs?: number;
  readonly kinds: readonly K[];
}

const DEFAULT_SPACING_MS = 1500;
const MIN_DURATION_MS = 500;
/** Longer than any timeout and the isolation limit of the lab's nodes. */
const MAX_DURATION_MS = 9000;

/**
 * Generates the faults of one run, ordered by time. The same options give the same schedule.
 *
 * @example
 * const steps = makeSchedule({ seed: 7, seconds: 60, kinds: FAULT_KINDS });
 */
export function makeSchedule<K extends string>(
  options: IScheduleOptions<K>,
): readonly IFaultStep<K>[] {
  const lengthMs = options.seconds * 1000;
  const count = Math.ceil(lengthMs / (options.spacingMs ?? DEFAULT_SPACING_MS));
  const step = fc.record({
    kind: fc.constantFrom(...options.kinds),
    atMs: fc.integer({ min: 0, max: lengthMs - 1 }),
    durationMs: fc.integer({ min: MIN_DURATION_MS, max: MAX_DURATION_MS }),
    pick: fc.nat({ max: 1_000_000 }),
    size: fc.double({ min: 0.1, max: 1, noNaN: true }),
  });
  // Without noBias, the first sample favours the ends of each range: most faults would come at the
  // start with the smallest size, and some kinds would never occur together.
  const steps = fc.noBias(fc.array(step, { minLength: count, maxLength: count }));
  const [schedule = []] = fc.sample(steps, { seed: options.seed, numRuns: 1 });
  return [...schedule].sort((left, right) => left.atMs - right.atMs);
}
