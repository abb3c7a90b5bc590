/**
 * The authoritative record of a service's ejected targets. Two nodes that both consider themselves
 * the home of the service cannot together eject below its capacity floor.
 */
import type { Service } from '@parsleymux/schema';

/** Decision on an ejection request. */
export const EjectionDecision = {
  Granted: 'granted',
  /** The ejection would leave fewer healthy slots than the floor. */
  RefusedByFloor: 'refused-by-floor',
  /** The ledger is unreachable: the target may be demoted but not ejected. */
  Unavailable: 'unavailable',
} as const;

export type EjectionDecision = (typeof EjectionDecision)[keyof typeof EjectionDecision];

/** A request to eject one target. */
export interface IEjectionRequest {
  readonly member: string;
  readonly service: Service;
  readonly target: string;
  /** Addresses of targets that the home knows to be cold, draining at their own request, or on trial. */
  readonly otherwiseUnhealthy: readonly string[];
  /** Member revision of the configuration that contains `service`. */
  readonly memberRevision: number;
}

/** Grants ejections that preserve the capacity floor. */
export abstract class EjectionLedger {
  /** Ejects the target if the floor allows it. */
  abstract requestEjection(
    request: IEjectionRequest,
    signal: AbortSignal,
  ): Promise<EjectionDecision>;

  /** Ends the ejection of the target. Until the ledger has recorded that, its slots count as missing. */
  abstract returnTarget(
    member: string,
    service: string,
    target: string,
    signal: AbortSignal,
  ): Promise<void>;

  /** Reads the ledger again to learn of ejections by other homes. Rejects when it is unreachable. */
  abstract readEjected(member: string, service: string, signal: AbortSignal): Promise<void>;

  /** Addresses of the ejected targets, as last read. */
  abstract getEjected(member: string, service: string): ReadonlySet<string>;
}
