/** Scenarios of the built-in traces: faults, their times and the affected targets. */
import type { ExpectedReaction, IFaultEffect } from './trace.js';

/** Parameters from which a trace is generated for each member. */
export interface ITraceScenario {
  readonly name: string;
  readonly durationMs: number;
  /** A period of higher load. Default: the member's normal load throughout. */
  readonly surge?: ISurge;
  readonly faults: readonly IScenarioFault[];
  readonly deadlines?: IScenarioDeadlines;
  /** Share of requests whose callers disconnect early. */
  readonly hangUpShare?: number;
  /** Share of exchanges between home and targets that fail, on all links at all times. */
  readonly lossShare?: number;
  /** Mean time between bursts of loss on one link, in ms. */
  readonly burstEveryMs?: number;
}

/** A period of higher load. */
export interface ISurge {
  readonly fromMs: number;
  readonly untilMs: number;
  /** Offered load, as a multiple of the capacity of all slots. */
  readonly load: number;
  /** Whether all load above the normal load comes from one caller. */
  readonly isOneCaller?: boolean;
}

/** Deadlines that override the member's, in ms. */
export interface IScenarioDeadlines {
  readonly readMs: number;
  readonly bookMs: number;
}

/** One fault on several targets. */
export interface IScenarioFault {
  readonly fromMs: number;
  readonly untilMs: number;
  readonly pick: TargetChoice;
  readonly effect: IFaultEffect;
  readonly verdict: ExpectedReaction;
}

/** Affected targets: the first `count`, a share of them, or those of the first failure domain. */
export type TargetChoice =
  | { readonly by: 'count'; readonly count: number }
  | { readonly by: 'share'; readonly share: number }
  | { readonly by: 'domain' };

const FROM_MS = 15_000;
const UNTIL_MS = 60_000;
const DURATION_MS = 80_000;
/**
 * Faults and surges start up to this much later, drawn from the seed, in ms. Their start then isn't
 * aligned with the intervals of a detector.
 */
export const MAX_SHIFT_MS = 10_000;
const SURGE_UNTIL_MS = 35_000;
const SURGE_DURATION_MS = 50_000;
const CONTROL_MS = 300_000;
const FLAP_MS = 3000;
const FLAP_COUNT = 6;
const COLD_STEP_MS = 2500;
const ONE_TARGET: TargetChoice = { by: 'count', count: 1 };

function makeGrayFailure(
  name: string,
  effect: IFaultEffect,
  verdict: ExpectedReaction = 'eject',
): ITraceScenario {
  const fault = { fromMs: FROM_MS, untilMs: UNTIL_MS, pick: ONE_TARGET, effect, verdict };
  return { name, durationMs: DURATION_MS, faults: [fault] };
}

function makeFlapping(): ITraceScenario {
  const faults = Array.from({ length: FLAP_COUNT }, (_, index) => {
    const fromMs = FROM_MS + 2 * index * FLAP_MS;
    const verdict: ExpectedReaction = 'eject';
    return {
      fromMs,
      untilMs: fromMs + FLAP_MS,
      pick: ONE_TARGET,
      effect: { failShare: 0.6 },
      verdict,
    };
  });
  return { name: 'flapping', durationMs: DURATION_MS, faults };
}

/** Targets that are down for 2 s and then slow by a decreasing factor. */
function makeColdStart(): ITraceScenario {
  const pick: TargetChoice = { by: 'count', count: 3 };
  const downUntilMs = FROM_MS + 2000;
  const steps = [5, 3, 2].map((slowFactor, index) => ({
    fromMs: downUntilMs + index * COLD_STEP_MS,
    untilMs: downUntilMs + (index + 1) * COLD_STEP_MS,
    pick,
    effect: { slowFactor },
    verdict: 'either' as const,
  }));
  const down = {
    fromMs: FROM_MS,
    untilMs: downUntilMs,
    pick,
    effect: { isDown: true },
    verdict: 'either' as const,
  };
  return { name: 'cold-start', durationMs: DURATION_MS, faults: [down, ...steps] };
}

function makeSurge(name: string, load: number, rest: Partial<ITraceScenario> = {}): ITraceScenario {
  const surge = { fromMs: FROM_MS, untilMs: SURGE_UNTIL_MS, load };
  return { name, durationMs: SURGE_DURATION_MS, surge, faults: [], ...rest };
}

/** All scenarios. */
export const SCENARIOS: readonly ITraceScenario[] = [
  {
    name: 'control',
    durationMs: CONTROL_MS,
    faults: [],
    hangUpShare: 0.03,
    lossShare: 0.003,
    burstEveryMs: 60_000,
  },
  {
    name: 'control-errors',
    durationMs: CONTROL_MS,
    faults: [
      {
        fromMs: 0,
        untilMs: CONTROL_MS + MAX_SHIFT_MS,
        pick: { by: 'share', share: 1 },
        effect: { failShare: 0.01 },
        verdict: 'keep',
      },
    ],
  },
  makeGrayFailure('fail-5', { failShare: 0.05 }),
  makeGrayFailure('fail-20', { failShare: 0.2 }),
  makeGrayFailure('fail-50', { failShare: 0.5 }),
  makeGrayFailure('fail-100', { failShare: 1 }),
  makeGrayFailure('slow-3x', { slowFactor: 3 }),
  makeGrayFailure('slow-10x', { slowFactor: 10 }),
  makeFlapping(),
  makeGrayFailure('one-way-cut', { isCutFromHome: true }),
  makeGrayFailure('silent-connections', { hasSilentConnections: true }, 'keep'),
  makeColdStart(),
  {
    name: 'half-shedding',
    durationMs: DURATION_MS,
    faults: [
      {
        fromMs: FROM_MS,
        untilMs: UNTIL_MS,
        pick: { by: 'share', share: 0.5 },
        effect: { shedAboveSlots: 1 },
        verdict: 'keep',
      },
    ],
  },
  makeSurge('overload-1.5x', 1.5),
  makeSurge('overload-3x', 3),
  makeSurge('overload-tight', 3, { deadlines: { readMs: 150, bookMs: 250 } }),
  makeSurge('caller-flood', 3, {
    surge: { fromMs: FROM_MS, untilMs: SURGE_UNTIL_MS, load: 3, isOneCaller: true },
  }),
  {
    name: 'domain-gone',
    durationMs: DURATION_MS,
    faults: [
      {
        fromMs: FROM_MS,
        untilMs: UNTIL_MS,
        pick: { by: 'domain' },
        effect: { isUnreachable: true },
        verdict: 'eject',
      },
    ],
  },
  makeGrayFailure('lying-load', { hiddenSlots: 2 }, 'either'),
  {
    name: 'all-failing',
    durationMs: DURATION_MS,
    faults: [
      {
        fromMs: FROM_MS,
        untilMs: FROM_MS + 10_000,
        pick: { by: 'share', share: 1 },
        effect: { failShare: 0.5 },
        verdict: 'keep',
      },
    ],
  },
];
