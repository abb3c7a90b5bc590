/** Base types of the fault injectors. */
import type { FaultKind, IFaultStep } from '../common/faultSchedule.js';
import type { ProveWorld } from './proveWorld.js';

/** Ends an injected fault. */
export type EndFault = () => Promise<void>;

/** Result of injecting a step: how to end the fault, or that the step was skipped. */
export type Injection = EndFault | 'skipped';

/** Injects faults of one kind. */
export abstract class FaultInjector {
  abstract readonly kind: FaultKind;

  /** Injects the fault. The runner calls the result after the step's duration. */
  abstract start(step: IFaultStep, world: ProveWorld): Promise<Injection>;
}

/** For faults that end by themselves. */
export const endNothing: EndFault = () => Promise.resolve();

/** Returns the element that a step's pick selects, or undefined when the list is empty. */
export function pickElement<T>(elements: readonly T[], pick: number): T | undefined {
  return elements[pick % elements.length];
}
