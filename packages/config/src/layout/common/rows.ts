/** Contents of the rows that hold the configuration, as JSON text. */
import { create, fromJsonString, toJsonString } from '@bufbuild/protobuf';
import type { MemberPointer, PlanState } from '@parsleymux/schema';
import { HeadSchema, MemberPointerSchema } from '@parsleymux/schema';
import type { ITableRow } from '@parsleymux/store';

/** Who owns a host name or a target address. */
export interface IOwnerRow {
  readonly member: string;
  /** For a target: the wall time, in ms, at which a plan last made it serve; 0 with its service. */
  readonly servesSinceMs?: number;
}

/** The state of a plan. The plan itself is an object, for it can be large. */
export interface IPlanRow {
  readonly state: PlanState;
  readonly baseMemberRevision: number;
  readonly createdAtMs: number;
  /** 0 until the plan is confirmed. */
  readonly confirmedFleetRevision: number;
}

/** One ejected target. */
export interface IEjectedTarget {
  readonly target: string;
  /** Peer address of the node that ejected it. */
  readonly node: string;
  readonly sinceMs: number;
}

/** Targets of a service that are ejected now. */
export interface IEjectionRow {
  readonly ejected: readonly IEjectedTarget[];
  /**
   * The member's revision of the last plan that changed the service's capacity. A node whose
   * configuration is older must not eject: it would reckon with targets that the plan took away.
   * Whoever rewrites the row keeps this value.
   */
  readonly memberRevision?: number;
}

/** Rows by key, as one read returned them. */
export type RowMap = ReadonlyMap<string, ITableRow>;

/**
 * Indexes rows by key.
 *
 * @example
 * const rows = toRowMap(await table.read(['head']));
 */
export function toRowMap(rows: readonly ITableRow[]): RowMap {
  return new Map(rows.map((row) => [row.key, row]));
}

/**
 * The fleet revision in the head row; 0 when there is no row yet.
 *
 * @example
 * decodeHead(rows.get(HEAD_KEY));
 */
export function decodeHead(row: ITableRow | undefined): number {
  return row === undefined ? 0 : Number(fromJsonString(HeadSchema, row.value).fleetRevision);
}

/**
 * The head row's text.
 *
 * @example
 * encodeHead(12);
 */
export function encodeHead(fleetRevision: number): string {
  return toJsonString(HeadSchema, create(HeadSchema, { fleetRevision: BigInt(fleetRevision) }));
}

/**
 * A member's pointer, or undefined when the member has no configuration.
 *
 * @example
 * decodePointer(rows.get(formatMemberKey('dobrescu')));
 */
export function decodePointer(row: ITableRow | undefined): MemberPointer | undefined {
  return row === undefined ? undefined : fromJsonString(MemberPointerSchema, row.value);
}

/**
 * The text of a member's pointer.
 *
 * @example
 * encodePointer(create(MemberPointerSchema, { member: 'dobrescu' }));
 */
export function encodePointer(pointer: MemberPointer): string {
  return toJsonString(MemberPointerSchema, pointer);
}

/**
 * A plan's state, or undefined when there is no such plan.
 *
 * @example
 * decodePlanRow(rows.get(formatPlanKey('dobrescu', 'p1')));
 */
export function decodePlanRow(row: ITableRow | undefined): IPlanRow | undefined {
  return row === undefined ? undefined : (JSON.parse(row.value) as IPlanRow);
}

/**
 * The text of a plan's row.
 *
 * @example
 * encodePlanRow({ state: PlanState.PROPOSED, baseMemberRevision: 0, createdAtMs: 0, confirmedFleetRevision: 0 });
 */
export function encodePlanRow(row: IPlanRow): string {
  return JSON.stringify(row);
}

/**
 * The owner of a host name or target address, or undefined when it is free.
 *
 * @example
 * decodeOwner(rows.get(formatHostKey('booking.example')))?.member;
 */
export function decodeOwner(row: ITableRow | undefined): IOwnerRow | undefined {
  return row === undefined ? undefined : (JSON.parse(row.value) as IOwnerRow);
}

/**
 * The text of an owner's row.
 *
 * @example
 * encodeOwner({ member: 'dobrescu' });
 */
export function encodeOwner(row: IOwnerRow): string {
  return JSON.stringify(row);
}

/**
 * A service's ejections; none when there is no row.
 *
 * @example
 * decodeEjections(rows.get(formatEjectionKey('dobrescu', 'booking'))).ejected;
 */
export function decodeEjections(row: ITableRow | undefined): IEjectionRow {
  return row === undefined ? { ejected: [] } : (JSON.parse(row.value) as IEjectionRow);
}

/**
 * The text of a service's ejections.
 *
 * @example
 * encodeEjections({ ejected: [], memberRevision: 3 });
 */
export function encodeEjections(row: IEjectionRow): string {
  return JSON.stringify(row);
}
