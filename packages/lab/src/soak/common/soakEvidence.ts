/** All that a soak has seen, for its checks. */
import type { DisturbanceLog } from './disturbanceLog.js';
import type { SoakLedger } from './soakLedger.js';

/** A target that the store no longer names as one to use. */
export interface IDrain {
  readonly target: string;
  readonly acceptedMs: number;
  /** When it was named again; undefined while it is not. */
  endMs?: number;
}

/** A node that was asked to stop. */
export interface IPlannedStop {
  readonly node: string;
  readonly incarnation: number;
  readonly requestedMs: number;
}

/** A probe of the configuration that a node has in force. */
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

/** A target that crashed under a request. */
export interface ISoakCrash {
  readonly path: string;
  readonly atMs: number;
}

/** All that a run has seen. */
export interface ISoakEvidence {
  readonly ledger: SoakLedger;
  readonly disturbances: DisturbanceLog;
  readonly drains: readonly IDrain[];
  readonly crashes: readonly ISoakCrash[];
  readonly plannedStops: readonly IPlannedStop[];
  readonly probes: readonly IVersionProbe[];
  readonly versions: readonly IAcceptedVersion[];
}
