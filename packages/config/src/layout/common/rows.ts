/** Contents of the rows that hold the configuration, as JSON text. */
import { create, fromJsonString, toJsonString } from '@bufbuild/protobuf';
import type { MemberPointer, PlanState } from '@parsleymux/schema';
import { HeadSchema, MemberPointerSchema } from '@parsleymux/schema';
import type { ITableRow } from '@parsleymux/store';

/** The owner of a host name or a target address. */
export interface IOwnerRow {
  readonly member: string;
  /** Of a target: wall time in ms at which a plan last put it into service; 0 if added with its service. */
  readonly servesSinceMs?: number;
}

/** The state of a plan. The plan itself is stored as an object, because it can be large. */
export interface IPlanRow {
  readonly state: PlanState;
  readonly baseMemberRevision: number;
  readonly createdAtMs: number;
  /** 0 until the plan is confirmed. */
  readonly confirmedFleetRevision: number;
}

/** An ejected target. */
export interface IEjectedTarget {
  readonly target: string;
  /** Peer address of the node that ejected it. */
  readonly node: string;
  readonly sinceMs: number;
}

/** The currently ejected targets of a service. */
export interface IEjectionRow {
  readonly ejected: readonly IEjectedTarget[];
  /**
   * The member's revision of the last plan that changed the service's capacity. A node with an older
   * configuration must not eject: its capacity would include targets that the plan removed. Every
   * write of the row must preserve this value.
   */
  readonly memberRevision?: number;
}

/** Rows by key. */
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
 * Decodes the fleet revision of the head row; 0 when there is no row yet.
 *
 * @example
 * decodeHead(rows.get(HEAD_KEY));
 */
export function decodeHead(row: ITableRow | undefined): number {
  return row === undefined ? 0 : Number(fromJsonString(HeadSchema, row.value).fleetRevision);
}

/**
 * Encodes the head row's text.
 *
 * @example
 * encodeHead(12);
 */
export function encodeHead(fleetRevision: number): string {
  return toJsonString(HeadSchema, create(HeadSchema, { fleetRevision: BigInt(fleetRevision) }));
}

/**
 * Decodes a member's pointer; undefined when the member has no configuration.
 *
 * @example
 * decodePointer(rows.get(formatMemberKey('dobrescu')));
 */
export function decodePointer(row: ITableRow | undefined): MemberPointer | undefined {
  return row === undefined ? undefined : fromJsonString(MemberPointerSchema, row.value);
}

/**
 * Encodes the text of a member's pointer.
 *
 * @example
 * encodePointer(create(MemberPointerSchema, { member: 'dobrescu' }));
 */
export function encodePointer(pointer: MemberPointer): string {
  return toJsonString(MemberPointerSchema, pointer);
}

/**
 * Decodes a plan's state; undefined when there is no such plan.
 *
 * @example
 * decodePlanRow(rows.get(formatPlanKey('dobrescu', 'p1')));
 */
export function decodePlanRow(row: ITableRow | undefined): IPlanRow | undefined {
  return row === undefined ? undefined : (JSON.parse(row.value) as IPlanRow);
}

/**
 * Encodes the text of a plan's row.
 *
 * @example
 * encodePlanRow({ state: PlanState.PROPOSED, baseMemberRevision: 0, createdAtMs: 0, confirmedFleetRevision: 0 });
 */
export function encodePlanRow(row: IPlanRow): string {
  return JSON.stringify(row);
}

/**
 * Decodes the owner of a host name or target address; undefined when it has no owner.
 *
 * @example
 * decodeOwner(rows.get(formatHostKey('booking.example')))?.member;
 */
export function decodeOwner(row: ITableRow | undefined): IOwnerRow | undefined {
  return row === undefined ? undefined : (JSON.parse(row.value) as IOwnerRow);
}

/**
 * Encodes the text of an owner's row.
 *
 * @example
 * encodeOwner({ member: 'dobrescu' });
 */
export function encodeOwner(row: IOwnerRow): string {
  return JSON.stringify(row);
}

/**
 * Decodes a service's ejections; none when there is no row.
 *
 * @example
 * decodeEjections(rows.get(formatEjectionKey('dobrescu', 'booking'))).ejected;
 */
export function decodeEjections(row: ITableRow | undefined): IEjectionRow {
  return row === undefined ? { ejected: [] } : (JSON.parse(row.value) as IEjectionRow);
}

/**
 * Encodes the text of a service's ejections.
 *
 * @example
 * encodeEjections({ ejected: [], memberRevision: 3 });
 */
export function encodeEjections(row: IEjectionRow): string {
  return JSON.stringify(row);
}
