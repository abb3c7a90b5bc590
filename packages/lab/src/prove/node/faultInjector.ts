/** How faults are brought about. */
import type { FaultKind, IFaultStep } from '../common/faultSchedule.js';
import type { ProveWorld } from './proveWorld.js';

/** Ends a fault that was injected. */
export type EndFault = () => Promise<void>;

/** What became of a step. */
export type Injection = EndFault | 'skipped';

/** Brings about faults of one kind. */
export abstract class FaultInjector {
  abstract readonly kind: FaultKind;

  /** Injects the fault; the result ends it after the step's duration. */
  abstract start(step: IFaultStep, world: ProveWorld): Promise<Injection>;
}

/** Ends a fault that ends by itself. */
export const endNothing: EndFault = () => Promise.resolve();

/** The element that a step's pick chooses, or undefined when there is none. */
export function pickElement<T>(elements: readonly T[], pick: number): T | undefined {
  return elements[pick % elements.length];
}
