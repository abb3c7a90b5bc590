/** The evidence that a soak records for its checks. */
import type { DisturbanceLog } from './disturbanceLog.js';
import type { SoakLedger } from './soakLedger.js';

/** A period in which the store does not list a target as usable. */
export interface IDrain {
  readonly target: string;
  readonly acceptedMs: number;
  /** When it was listed as usable again; undefined until then. */
  endMs?: number;
}

/** A node that was requested to stop. */
export interface IPlannedStop {
  readonly node: string;
  readonly incarnation: number;
  readonly requestedMs: number;
}

/** A probe of the configuration that a node has applied. */
export interface IVersionProbe {
  readonly node: string;
  readonly incarnation: number;
  readonly version: number;
  readonly sentMs: number;
  readonly isFound: boolean;
}

/** A configuration that the store accepted. */
export interface IAcceptedVersion {
  readonly version: number;
  readonly acceptedMs: number;
}

/** A crash of a target, caused by a request. */
export interface ISoakCrash {
  readonly path: string;
  readonly atMs: number;
}

/** A period in which nodes had no path to any target. */
export interface IPathLoss {
  readonly nodes: readonly string[];
  readonly startMs: number;
  /** Undefined until it has ended. */
  endMs?: number;
}

/** The evidence of one run. */
export interface ISoakEvidence {
  readonly ledger: SoakLedger;
  readonly disturbances: DisturbanceLog;
  readonly drains: readonly IDrain[];
  readonly crashes: readonly ISoakCrash[];
  readonly plannedStops: readonly IPlannedStop[];
  readonly pathLosses: readonly IPathLoss[];
  readonly probes: readonly IVersionProbe[];
  readonly versions: readonly IAcceptedVersion[];
}
