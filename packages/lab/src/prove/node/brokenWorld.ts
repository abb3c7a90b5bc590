/**
 * Ways to break what the nodes rely on, so that the checks from outside can be seen to fail:
 * a check that no fault can trip proves nothing.
 */
import type { ITargetFaults } from '@parsleymux/standins';
import type { ProveWorld } from './proveWorld.js';

export const OutsideBreak = {
  /** The platform ignores the conditions of transactions: double executions must show. */
  Conditions: 'platform-conditions',
  /** Targets run requests and say they did not: double executions or false refusals must show. */
  FalseNotRun: 'target-false-not-run',
  /** Targets give some callers the answer to the request before: foreign answers must show. */
  ForeignAnswers: 'target-foreign-answers',
} as const;

export type OutsideBreak = (typeof OutsideBreak)[keyof typeof OutsideBreak];

export const OUTSIDE_BREAKS: readonly OutsideBreak[] = Object.values(OutsideBreak);

const SHARE = 0.05;

/** Tells a break outside the nodes from the name of a mechanism inside them. */
export function parseOutsideBreak(name: string): OutsideBreak | undefined {
  return OUTSIDE_BREAKS.find((value) => value === name);
}

/** Breaks the assumption for the whole run. */
export async function applyOutsideBreak(world: ProveWorld, name: OutsideBreak): Promise<void> {
  switch (name) {
    case OutsideBreak.Conditions:
      await world.lab.platform.setFaults({ ignoreConditions: true });
      return;
    case OutsideBreak.FalseNotRun:
      await setAllTargets(world, { falseNotRunShare: SHARE });
      return;
    case OutsideBreak.ForeignAnswers:
      await setAllTargets(world, { foreignShare: SHARE });
      return;
  }
}

async function setAllTargets(world: ProveWorld, faults: Partial<ITargetFaults>): Promise<void> {
  for (const target of world.lab.getTargets()) {
    await world.lab.getGroup(target).setFaults(target, faults);
  }
}
