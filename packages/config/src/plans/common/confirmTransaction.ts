/** Builds the transaction that confirms a plan. */
import type { ITableCondition, ITableRow, ITableTransaction, ITableWrite } from '@parsleymux/store';
import type { Intent, Service } from '@parsleymux/schema';
import { MemberPointerSchema, PlanState } from '@parsleymux/schema';
import { create } from '@bufbuild/protobuf';
import type { IAuditEntry } from '../../layout/common/auditRow.js';
import { encodeAuditEntry } from '../../layout/common/auditRow.js';
import {
  CHANGE_LOG_LENGTH,
  formatAuditKey,
  formatChangeKey,
  formatEjectionKey,
  formatHostKey,
  formatIntentKey,
  formatMemberKey,
  formatPlanKey,
  formatTargetKey,
  HEAD_KEY,
} from '../../layout/common/rowKeys.js';
import type { IPlanRow, RowMap } from '../../layout/common/rows.js';
import {
  decodeEjections,
  decodeHead,
  encodeEjections,
  encodeHead,
  encodeOwner,
  encodePlanRow,
  encodePointer,
} from '../../layout/common/rows.js';
import { isDraining } from './capacity.js';

/** Host names and target addresses that a plan claims and releases. */
export interface IOwnershipChange {
  readonly addedHosts: readonly string[];
  readonly removedHosts: readonly string[];
  readonly addedTargets: readonly string[];
  readonly removedTargets: readonly string[];
}

/** Input of the confirming transaction. */
export interface IConfirmInput {
  readonly member: string;
  readonly planId: string;
  readonly planRow: IPlanRow;
  readonly before: Intent | undefined;
  readonly after: Intent;
  readonly rows: RowMap;
  readonly nowMs: number;
  readonly audit: IAuditEntry;
}

/** The transaction, and the plan's row as the transaction writes it. */
export interface IConfirmTransaction {
  readonly transaction: ITableTransaction;
  readonly confirmed: IPlanRow;
}

/**
 * The host names and target addresses that differ between two intents.
 *
 * @example
 * const { addedHosts } = compareOwnership(undefined, intent);
 */
export function compareOwnership(before: Intent | undefined, after: Intent): IOwnershipChange {
  const oldHosts = listHosts(before);
  const newHosts = listHosts(after);
  const oldTargets = listAddresses(before);
  const newTargets = listAddresses(after);
  return {
    addedHosts: listMissing(newHosts, oldHosts),
    removedHosts: listMissing(oldHosts, newHosts),
    addedTargets: listMissing(newTargets, oldTargets),
    removedTargets: listMissing(oldTargets, newTargets),
  };
}

/**
 * Keys of the rows that the decision to confirm depends on.
 *
 * @example
 * const rows = toRowMap(await table.read(listConfirmKeys('dobrescu', 'p1', before, after)));
 */
export function listConfirmKeys(
  member: string,
  planId: string,
  before: Intent | undefined,
  after: Intent,
): readonly string[] {
  const ownership = compareOwnership(before, after);
  return [
    HEAD_KEY,
    formatMemberKey(member),
    formatPlanKey(member, planId),
    ...ownership.addedHosts.map(formatHostKey),
    ...ownership.addedTargets.map(formatTargetKey),
    ...listServiceNames(before, after).map((name) => formatEjectionKey(member, name)),
  ];
}

/**
 * Names of the services in either intent.
 *
 * @example
 * listServiceNames(undefined, intent);
 */
export function listServiceNames(before: Intent | undefined, after: Intent): readonly string[] {
  const services: readonly Service[] = [...(before?.services ?? []), ...after.services];
  return [...new Set(services.map((service) => service.name))];
}

/**
 * The transaction that confirms a plan. It is conditional on every row that was read, so that it
 * fails as a whole if any of them has changed, such as by another member's claim on a host name, an
 * ejection, or a confirmation of the same plan through another node.
 *
 * @example
 * const result = await table.transact(makeConfirmTransaction(input).transaction);
 */
export function makeConfirmTransaction(input: IConfirmInput): IConfirmTransaction {
  const { member, planId, before, after, rows } = input;
  const conditions = listConfirmKeys(member, planId, before, after).map((key) =>
    makeCondition(key, rows.get(key)),
  );
  const fleetRevision = decodeHead(rows.get(HEAD_KEY)) + 1;
  const confirmed: IPlanRow = {
    ...input.planRow,
    state: PlanState.CONFIRMED,
    confirmedFleetRevision: fleetRevision,
  };
  return { transaction: { conditions, writes: makeWrites(input, confirmed) }, confirmed };
}

/**
 * The condition that a row still has the version that was read.
 *
 * @example
 * makeCondition('head', rows.get('head'));
 */
export function makeCondition(key: string, row: ITableRow | undefined): ITableCondition {
  return { key, version: row?.version ?? 0 };
}

function makeWrites(input: IConfirmInput, confirmed: IPlanRow): readonly ITableWrite[] {
  const { member, planId } = input;
  const ownership = compareOwnership(input.before, input.after);
  const fleetRevision = confirmed.confirmedFleetRevision;
  const pointer = makePointer(input, fleetRevision);
  const owner = encodeOwner({ member });
  return [
    { key: HEAD_KEY, value: encodeHead(fleetRevision) },
    { key: formatMemberKey(member), value: pointer },
    { key: formatChangeKey(fleetRevision), value: pointer },
    { key: formatPlanKey(member, planId), value: encodePlanRow(confirmed) },
    ...ownership.addedHosts.map((host) => ({ key: formatHostKey(host), value: owner })),
    ...ownership.removedHosts.map((host) => ({ key: formatHostKey(host), value: null })),
    ...makeTargetWrites(input),
    ...ownership.removedTargets.map((target) => ({ key: formatTargetKey(target), value: null })),
    ...makeEjectionWrites(input),
    ...makeLogTrim(fleetRevision),
    {
      key: formatAuditKey(member, input.nowMs, planId),
      value: encodeAuditEntry(input.audit),
    },
  ];
}

/** Owner rows of the targets that the plan adds and of those that it returns to service. */
function makeTargetWrites(input: IConfirmInput): readonly ITableWrite[] {
  const { member, nowMs } = input;
  const oldServices = new Set(input.before?.services.map((service) => service.name));
  const oldTargets = new Map(
    input.before?.services.flatMap((service) =>
      service.targets.map((target) => [target.address, target] as const),
    ),
  );
  return input.after.services.flatMap((service) => {
    // The first targets of a new service count as warm: there is no capacity that they replace.
    const servesSinceMs = oldServices.has(service.name) ? nowMs : 0;
    return service.targets.flatMap((target) => {
      const former = oldTargets.get(target.address);
      const hasReturned = former !== undefined && isDraining(former) && !isDraining(target);
      if (former !== undefined && !hasReturned) return [];
      const value = encodeOwner({ member, servesSinceMs });
      return [{ key: formatTargetKey(target.address), value }];
    });
  });
}

function makePointer(input: IConfirmInput, fleetRevision: number): string {
  const { member, planId } = input;
  return encodePointer(
    create(MemberPointerSchema, {
      member,
      memberRevision: BigInt(input.planRow.baseMemberRevision + 1),
      fleetRevision: BigInt(fleetRevision),
      objectKey: formatIntentKey(member, planId),
      planId,
      acceptedAtMs: BigInt(input.nowMs),
    }),
  );
}

/**
 * Rewrites the ejection row of every service. A node that still uses the previous configuration
 * could otherwise eject a target although the plan has used up the capacity above the floor. The
 * row's new version makes that node's conditional write fail, and the member revision in the row
 * shows that the node's configuration is outdated.
 */
function makeEjectionWrites(input: IConfirmInput): readonly ITableWrite[] {
  const memberRevision = input.planRow.baseMemberRevision + 1;
  return listServiceNames(input.before, input.after).map((service) => {
    const key = formatEjectionKey(input.member, service);
    const remaining = input.after.services.find((candidate) => candidate.name === service);
    const targets = new Set(remaining?.targets.map((target) => target.address));
    const ejected = decodeEjections(input.rows.get(key)).ejected.filter((entry) => {
      return targets.has(entry.target);
    });
    // The row of a removed service is kept. If it were deleted and created again, its version would
    // restart, and a late conditional write by a home that was paused could match it by chance.
    return { key, value: encodeEjections({ ejected, memberRevision }) };
  });
}

/** Keeps the change log bounded: each confirmation removes the oldest change beyond the limit. */
function makeLogTrim(fleetRevision: number): readonly ITableWrite[] {
  const expiredRevision = fleetRevision - CHANGE_LOG_LENGTH;
  return expiredRevision > 0 ? [{ key: formatChangeKey(expiredRevision), value: null }] : [];
}

function listHosts(intent: Intent | undefined): ReadonlySet<string> {
  return new Set(intent?.routes.map((route) => route.host));
}

function listAddresses(intent: Intent | undefined): ReadonlySet<string> {
  return new Set(
    intent?.services.flatMap((service) => service.targets.map((target) => target.address)),
  );
}

function listMissing(items: ReadonlySet<string>, others: ReadonlySet<string>): readonly string[] {
  return [...items].filter((item) => !others.has(item));
}
