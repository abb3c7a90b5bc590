/**
 * The row `ejections/MEMBER/SERVICE`: JSON
 * `{"ejected":[{"target","node","sinceMs"}],"memberRevision"?}`.
 */
import type { ITableRow } from '@parsleymux/platform';

/** One ejected target. */
export interface IEjectionEntry {
  readonly target: string;
  /** Peer address of the home that ejected it. */
  readonly node: string;
  /** Milliseconds since the Unix epoch. */
  readonly sinceMs: number;
}

/** The row's content. */
export interface IEjectionRow {
  readonly ejected: readonly IEjectionEntry[];
  /**
   * Set by whoever confirms a plan that takes targets away: a home that still has an older
   * configuration must not eject on its arithmetic.
   */
  readonly memberRevision?: number;
}

/** Key of the row of one service. */
export function formatEjectionKey(member: string, service: string): string {
  return `ejections/${member}/${service}`;
}

/** Reads a row's content; an absent row has nothing ejected. */
export function parseEjectionRow(row: ITableRow | undefined): IEjectionRow {
  if (row === undefined) return { ejected: [] };
  return JSON.parse(row.value) as IEjectionRow;
}
