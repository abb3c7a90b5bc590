/** Selects the injector for the kind of a fault. */
import type { IFaultStep } from '../common/faultSchedule.js';
import type { FaultInjector, Injection } from './faultInjector.js';
import { NODE_FAULTS } from './nodeFaults.js';
import { OPERATOR_FAULTS } from './operatorFaults.js';
import { PLATFORM_FAULTS } from './platformFaults.js';
import type { ProveWorld } from './proveWorld.js';
import { TARGET_FAULTS } from './targetFaults.js';

const INJECTORS: readonly FaultInjector[] = [
  ...NODE_FAULTS,
  ...PLATFORM_FAULTS,
  ...TARGET_FAULTS,
  ...OPERATOR_FAULTS,
];

/** Injects the fault of a step; the result ends it. */
export function startProveFault(step: IFaultStep, world: ProveWorld): Promise<Injection> {
  const injector = INJECTORS.find(({ kind }) => kind === step.kind);
  return injector?.start(step, world) ?? Promise.resolve('skipped');
}
