/**
 * The external authority that the fleet follows: a store that holds the configuration, the targets and the
 * members of the fleet in versioned tables.
 */
import VError from 'verror';
import type { ICatalog, ITargetRecord } from '@parsleymux/scheduling';

/** One node of the fleet, as it registered itself. */
export interface IMember {
  /** IP address and port for datagrams; identifies the node. */
  readonly address: string;
  readonly failureDomain: string;
  /** Address at which its tables are served over HTTP. */
  readonly stateAddress: string;
  /** Differs for each start of the node's process. */
  readonly incarnation: number;
  /** How much work for other nodes its VM can do, relative to other VMs. */
  readonly capacity: number;
  /** Whether it sends attempts for nodes that have lost their path to the targets. Default: false. */
  readonly canRelay?: boolean | undefined;
}

/** One entry that was added, changed or, if it has no value, removed. */
export interface ITableChange<T> {
  readonly key: string;
  readonly value: T | undefined;
  /** Whether the restored authority lacks the entry, which is retained for now. Default: false. */
  readonly isMissing?: boolean;
}

/** Identifies a state of a table. */
export interface ITableState {
  readonly version: number;
  /**
   * The store epoch: incremented each time the authority is restored from an older copy of its data.
   * Versions are comparable only within an epoch. Default: 0.
   */
  readonly era?: number;
  /** Whether the copy retains entries of a former epoch; undefined if it was read from the authority. */
  readonly isRetained?: boolean;
}

/** Changes of a table up to a version. */
export interface ITableChanges<T> extends ITableState {
  readonly changes: readonly ITableChange<T>[];
  /** Whether the changes are incomplete because a row is malformed. Default: false. */
  readonly isPartial?: boolean;
}

/** Why a call to the store gave no usable response. */
export const StoreFailure = {
  /** The store rejected the call and did nothing. */
  Busy: 'busy',
  /** The call rate of the fleet, or of a part of it, exceeds its limit. */
  Limited: 'limited',
  /** The connection was lost; a write may have taken effect. */
  Reset: 'reset',
  /** No response in time; a write may have taken effect, or may do so later. */
  Silent: 'silent',
  /** The requested changes are no longer stored. */
  HistoryLost: 'history-lost',
  /** The response can't be parsed. */
  Malformed: 'malformed',
  /** The condition of a write was not met. */
  Conflict: 'conflict',
} as const;

export type StoreFailure = (typeof StoreFailure)[keyof typeof StoreFailure];

/** Error of a call to the store that gave no usable response. */
export class StoreCallError extends VError {
  constructor(
    readonly failure: StoreFailure,
    message: string,
    cause?: unknown,
  ) {
    super(cause instanceof Error ? { cause } : {}, '%s', message);
    this.name = 'StoreCallError';
  }
}

/** One table of the authority. Calls reject with a {@link StoreCallError} if there is no usable response. */
export abstract class AuthorityTable<T> {
  /** Number of rows read since the start that could not be parsed and were ignored. */
  abstract readonly malformedRows: number;

  /** Reads the whole table. `onDidRespond` is called when a response begins, and for each further part of it. */
  abstract readAll(signal: AbortSignal, onDidRespond?: () => void): Promise<ITableChanges<T>>;

  /**
   * Reads the changes after a version; waits up to `waitMs` for the first one. `onDidRespond` is called when
   * the response begins, after which the table may change again, and for each further part of it.
   */
  abstract readChanges(
    after: number,
    waitMs: number,
    signal: AbortSignal,
    onDidRespond?: () => void,
  ): Promise<ITableChanges<T>>;
}

/** The tables that a node follows, and the registration of members. */
export abstract class Authority {
  abstract readonly catalog: AuthorityTable<ICatalog>;
  abstract readonly targets: AuthorityTable<ITargetRecord>;
  abstract readonly members: AuthorityTable<IMember>;

  /** Registers a member, or replaces its registration. */
  abstract putMember(member: IMember, signal: AbortSignal): Promise<void>;

  /** Removes a member's registration; has no effect if there is none. */
  abstract removeMember(address: string, signal: AbortSignal): Promise<void>;
}
