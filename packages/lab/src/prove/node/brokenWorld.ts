/**
 * Violations of assumptions that the nodes rely on. They show that the checks from outside can fail: a check
 * that no fault can fail proves nothing.
 */
import type { ITargetFaults } from '@parsleymux/standins';
import type { ProveWorld } from './proveWorld.js';

export const OutsideBreak = {
  /** The platform ignores the conditions of transactions: double executions must be found. */
  Conditions: 'platform-conditions',
  /** Targets run requests and report them as not run: double executions or false refusals must be found. */
  FalseNotRun: 'target-false-not-run',
  /** Targets respond to some requests with the previous response: foreign responses must be found. */
  ForeignResponses: 'target-foreign-answers',
} as const;

export type OutsideBreak = (typeof OutsideBreak)[keyof typeof OutsideBreak];

export const OUTSIDE_BREAKS: readonly OutsideBreak[] = Object.values(OutsideBreak);

/** Share of the requests that a target mishandles. */
const SHARE = 0.05;

/** Returns the break outside the nodes of this name, or undefined when there is none. */
export function parseOutsideBreak(name: string): OutsideBreak | undefined {
  return OUTSIDE_BREAKS.find((value) => value === name);
}

/** Violates the assumption for the whole run. */
export async function applyOutsideBreak(world: ProveWorld, name: OutsideBreak): Promise<void> {
  switch (name) {
    case OutsideBreak.Conditions:
      await world.lab.platform.setFaults({ ignoreConditions: true });
      return;
    case OutsideBreak.FalseNotRun:
      await setAllTargets(world, { falseNotRunShare: SHARE });
      return;
    case OutsideBreak.ForeignResponses:
      await setAllTargets(world, { foreignShare: SHARE });
      return;
  }
}

async function setAllTargets(world: ProveWorld, faults: Partial<ITargetFaults>): Promise<void> {
  for (const target of world.lab.getTargets()) {
    await world.lab.getGroup(target).setFaults(target, faults);
  }
}
