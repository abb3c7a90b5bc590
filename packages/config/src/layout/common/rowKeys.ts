/**
 * Keys of the rows and objects that hold the configuration.
 *
 * | key | content |
 * | --- | --- |
 * | `head` | the newest fleet revision; the only row that every node polls |
 * | `changes/REVISION` | the pointer that this fleet revision wrote; the newest {@link CHANGE_LOG_LENGTH} only |
 * | `members/MEMBER` | the pointer in force of one member |
 * | `hosts/HOST`, `targets/ADDRESS` | the member that owns a host name or a target address |
 * | `plans/MEMBER/ID` | the state of a plan |
 * | `ejections/MEMBER/SERVICE` | the currently ejected targets of a service |
 * | objects `intents/MEMBER/ID`, `plans/MEMBER/ID` | a plan's intent, and the plan without it |
 */

/** Key of the row with the newest fleet revision. */
export const HEAD_KEY = 'head';
/** Prefix of the pointers by fleet revision. */
export const CHANGE_PREFIX = 'changes/';
/** Prefix of the pointers in force. */
export const MEMBER_PREFIX = 'members/';

/** Number of changes in the change log; a node that is further behind reads every member's pointer. */
export const CHANGE_LOG_LENGTH = 2000;

/** Enough digits for every safe integer, so that keys sort by their number. */
const REVISION_DIGITS = 16;

/**
 * Key of the change that created a fleet revision.
 *
 * @example
 * formatChangeKey(12); // 'changes/0000000000000012'
 */
export function formatChangeKey(fleetRevision: number): string {
  return CHANGE_PREFIX + String(fleetRevision).padStart(REVISION_DIGITS, '0');
}

/**
 * Key of a member's pointer.
 *
 * @example
 * formatMemberKey('dobrescu'); // 'members/dobrescu'
 */
export function formatMemberKey(member: string): string {
  return MEMBER_PREFIX + member;
}

/**
 * Key of the row with the owner of a host name.
 *
 * @example
 * formatHostKey('booking.example'); // 'hosts/booking.example'
 */
export function formatHostKey(host: string): string {
  return `hosts/${host}`;
}

/**
 * Key of the row with the owner of a target address.
 *
 * @example
 * formatTargetKey('127.0.0.1:9001'); // 'targets/127.0.0.1:9001'
 */
export function formatTargetKey(address: string): string {
  return `targets/${address}`;
}

/**
 * Prefix of the keys of a member's plans.
 *
 * @example
 * formatPlanPrefix('dobrescu'); // 'plans/dobrescu/'
 */
export function formatPlanPrefix(member: string): string {
  return `plans/${member}/`;
}

/**
 * Key of a plan's row, and of the object that holds the plan.
 *
 * @example
 * formatPlanKey('dobrescu', 'p1'); // 'plans/dobrescu/p1'
 */
export function formatPlanKey(member: string, planId: string): string {
  return formatPlanPrefix(member) + planId;
}

/**
 * Key of the object that holds a plan's intent.
 *
 * @example
 * formatIntentKey('dobrescu', 'p1'); // 'intents/dobrescu/p1'
 */
export function formatIntentKey(member: string, planId: string): string {
  return `intents/${member}/${planId}`;
}

/**
 * Key of the row that lists a service's ejected targets.
 *
 * @example
 * formatEjectionKey('dobrescu', 'booking'); // 'ejections/dobrescu/booking'
 */
export function formatEjectionKey(member: string, service: string): string {
  return `ejections/${member}/${service}`;
}

/** Prefix of the audit log; `audit/MEMBER/TIMESTAMP-ID` is the key of one entry. */
export const AUDIT_PREFIX = 'audit/';

/**
 * Prefix of the keys of a member's audit log.
 *
 * @example
 * formatAuditPrefix('dobrescu'); // 'audit/dobrescu/'
 */
export function formatAuditPrefix(member: string): string {
  return `${AUDIT_PREFIX}${member}/`;
}

/**
 * Key of one entry of a member's audit log; keys sort by time.
 *
 * @example
 * formatAuditKey('dobrescu', 1700000000000, 'p1');
 */
export function formatAuditKey(member: string, atMs: number, id: string): string {
  return `${formatAuditPrefix(member)}${String(atMs).padStart(REVISION_DIGITS, '0')}-${id}`;
}
