/**
 * The one place that says which targets of a service are ejected, so that two nodes that both
 * take themselves for home cannot together go below the service's floor.
 */
import type { Service } from '@parsleymux/schema';

/** What became of a wish to eject. */
export const EjectionDecision = {
  Granted: 'granted',
  /** It would leave less than the floor. */
  RefusedByFloor: 'refused-by-floor',
  /** The ledger can't be reached: the target may be demoted, never ejected. */
  Unavailable: 'unavailable',
} as const;

export type EjectionDecision = (typeof EjectionDecision)[keyof typeof EjectionDecision];

/** One wish to eject. */
export interface IEjectionRequest {
  readonly member: string;
  readonly service: Service;
  readonly target: string;
  /** Targets that the home knows to be cold, draining by their own word, or on trial. */
  readonly otherwiseUnhealthy: readonly string[];
  /** The member revision that `service` was read from. */
  readonly memberRevision: number;
}

/** Grants ejections against the floor. */
export abstract class EjectionLedger {
  abstract requestEjection(
    request: IEjectionRequest,
    signal: AbortSignal,
  ): Promise<EjectionDecision>;

  /** Gives the target back. Until the ledger took note, its slots count as missing. */
  abstract returnTarget(
    member: string,
    service: string,
    target: string,
    signal: AbortSignal,
  ): Promise<void>;

  /** Reads the ledger again, so that ejections by other homes are seen. Rejects when it can't. */
  abstract readEjected(member: string, service: string, signal: AbortSignal): Promise<void>;

  /** Targets that the ledger has as ejected, as last seen. */
  abstract getEjected(member: string, service: string): ReadonlySet<string>;
}
