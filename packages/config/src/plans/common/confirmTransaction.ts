/** The one transaction that confirms a plan. */
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

/** Host names and target addresses that a plan takes and gives up. */
export interface IOwnershipChange {
  readonly addedHosts: readonly string[];
  readonly removedHosts: readonly string[];
  readonly addedTargets: readonly string[];
  readonly removedTargets: readonly string[];
}

/** What the transaction is made from. */
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

/** The transaction, and the plan's row as it will be. */
export interface IConfirmTransaction {
  readonly transaction: ITableTransaction;
  readonly confirmed: IPlanRow;
}

/**
 * Which host names and addresses change hands.
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
 * Keys of the rows that the decision to confirm rests on.
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
 * The transaction: conditional on every row that was read, so that whatever changed since then,
 * be it a rival's claim on a host name, an ejection, or the same plan confirmed through another
 * node, makes it fail as a whole.
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
 * Requires a row to be as it was read.
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

/** Targets that begin to serve with this plan, and those that it adds without that. */
function makeTargetWrites(input: IConfirmInput): readonly ITableWrite[] {
  const { member, nowMs } = input;
  const oldServices = new Set(input.before?.services.map((service) => service.name));
  const known = new Map(
    input.before?.services.flatMap((service) =>
      service.targets.map((target) => [target.address, target] as const),
    ),
  );
  return input.after.services.flatMap((service) => {
    // A new service has no capacity yet that its first targets could be cold beside.
    const servesSinceMs = oldServices.has(service.name) ? nowMs : 0;
    return service.targets.flatMap((target) => {
      const former = known.get(target.address);
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
 * Rewrites the ejections of every service. A node that ejects on the configuration before this
 * one would add its target to capacity that the plan has just spent; the new version makes its
 * conditional write fail, and the member's revision in the row tells it that it is behind.
 */
function makeEjectionWrites(input: IConfirmInput): readonly ITableWrite[] {
  const memberRevision = input.planRow.baseMemberRevision + 1;
  return listServiceNames(input.before, input.after).map((service) => {
    const key = formatEjectionKey(input.member, service);
    const kept = input.after.services.find((candidate) => candidate.name === service);
    const targets = new Set(kept?.targets.map((target) => target.address));
    const ejected = decodeEjections(input.rows.get(key)).ejected.filter((entry) => {
      return targets.has(entry.target);
    });
    // The row of a removed service stays: were it deleted and made again, its version would
    // start anew, and the late write of a home that was paused meanwhile could fit by chance.
    return { key, value: encodeEjections({ ejected, memberRevision }) };
  });
}

/** Keeps the change log bounded: each confirmation drops the change that falls off its end. */
function makeLogTrim(fleetRevision: number): readonly ITableWrite[] {
  const dropped = fleetRevision - CHANGE_LOG_LENGTH;
  return dropped > 0 ? [{ key: formatChangeKey(dropped), value: null }] : [];
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
