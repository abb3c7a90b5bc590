/**
 * The outside authority that a fleet follows: a store that holds configuration, targets and the
 * fleet's members in versioned tables.
 */
import VError from 'verror';
import type { ICatalog, ITargetRecord } from '../../catalog/common/catalog.js';

/** One node of the fleet as it registered itself. */
export interface IMember {
  /** Address of its datagrams, IP number and port: its identity. */
  readonly address: string;
  readonly failureDomain: string;
  /** Address of its whole state over HTTP. */
  readonly stateAddress: string;
  /** Differs between starts of the node's process. */
  readonly incarnation: number;
  /** Work for others that its VM can carry, relative to other VMs. */
  readonly capacity: number;
}

/** One entry that is new, changed or, with no value, dropped. */
export interface ITableChange<T> {
  readonly key: string;
  readonly value: T | undefined;
  /** Whether the authority came back without the entry, which is kept for now. Default false. */
  readonly isMissing?: boolean;
}

/** Which state of a table a copy is of. */
export interface ITableState {
  readonly version: number;
  /**
   * Rises each time that the authority comes back from an older copy of itself. Versions count within an era.
   * Default 0.
   */
  readonly era?: number;
  /** Whether the copy keeps something of a former era besides; undefined where the authority was read. */
  readonly isRetained?: boolean;
}

/** Entries of a table up to a version. */
export interface ITableChanges<T> extends ITableState {
  readonly changes: readonly ITableChange<T>[];
  /** Whether a row of them can't be understood, so that the rest is not the whole. Default: false. */
  readonly isPartial?: boolean;
}

/** Why the store gave no usable answer. */
export const StoreFailure = {
  /** It refused: nothing was done. */
  Busy: 'busy',
  /** The calls of the fleet, or of one part, are above their rate. */
  Limited: 'limited',
  /** The connection broke; a write may have taken effect. */
  Reset: 'reset',
  /** No answer in time; a write may have taken effect, or may yet. */
  Silent: 'silent',
  /** The changes asked for are no longer kept. */
  HistoryLost: 'history-lost',
  /** The answer makes no sense. */
  Malformed: 'malformed',
  /** A condition of a write did not hold. */
  Conflict: 'conflict',
} as const;

export type StoreFailure = (typeof StoreFailure)[keyof typeof StoreFailure];

/** A call to the store without a usable answer. */
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

/** One table of the authority. Every call rejects with a {@link StoreCallError} without an answer. */
export abstract class AuthorityTable<T> {
  /** Entries read since the start that could not be understood and so name nothing to use. */
  abstract readonly malformedRows: number;

  /** Reads the whole table. */
  abstract readAll(signal: AbortSignal): Promise<ITableChanges<T>>;

  /** Reads what changed after a version; waits up to `waitMs` for the first change. */
  abstract readChanges(
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<ITableChanges<T>>;
}

/** The tables that a node follows, and its own registration. */
export abstract class Authority {
  abstract readonly catalog: AuthorityTable<ICatalog>;
  abstract readonly targets: AuthorityTable<ITargetRecord>;
  abstract readonly members: AuthorityTable<IMember>;

  /** Registers a member, or registers it anew. */
  abstract putMember(member: IMember, signal: AbortSignal): Promise<void>;

  /** Removes a member's registration; harmless when there is none. */
  abstract removeMember(address: string, signal: AbortSignal): Promise<void>;
}
