/** What a home hands over to the next home of a service. */
import type { ISpeedEvidence } from '../../capacity/common/targetSpeed.js';
import type { FairnessSummary, ITenantLead } from '../../fairness/common/requestQueue.js';
import type { QuotaReturns } from '../../returns/common/quotaReturns.js';
import type { IPlaceSummary } from '../../returns/common/returnPlaces.js';
import type { ServiceScheduler } from '../../scheduler/common/serviceScheduler.js';

/** Older speeds are not handed over, in ms: they have converged to the average of all targets. */
const MAX_SPEED_AGE_MS = 15_000;
/** Maximum number of places, of leads and of speeds. */
const MAX_PLACES = 24;
const MAX_LEADS = 64;
const MAX_SPEEDS = 64;
/** Lane of the places in the slots of the service; the others are in the quotas of tenants. */
const SLOTS_LANE = '';

/** The lead of a tenant among the requests of one priority. */
export interface IPriorityLead extends ITenantLead {
  readonly priority: number;
}

/** The learned speed of a target. */
export interface ITargetEvidence extends ISpeedEvidence {
  readonly targetId: string;
  /** Identifies the target's incarnation; undefined if unknown. */
  readonly bornMs: number | undefined;
}

/** The state of a service's home, each list with the most important entries first. */
export interface IServiceDigest {
  /** Their lane is a tenant, whose quota they are in, or empty for slots. */
  readonly places: readonly IPlaceSummary[];
  readonly leads: readonly IPriorityLead[];
  readonly speeds: readonly ITargetEvidence[];
}

/** Whether requests of a tenant may have a priority; the tenant is empty for requests without one. */
export type PriorityCheck = (tenant: string, priority: number) => boolean;

/** Where the state of a service is. */
export interface IServiceParts {
  readonly service: string;
  readonly scheduler: ServiceScheduler;
  readonly quotaReturns?: QuotaReturns | undefined;
}

/**
 * Summarizes the state of a service. Takes time in proportion to tenants, places and targets.
 *
 * @example
 * const digest = summarizeService({ service, scheduler }, nowMs);
 */
export function summarizeService(parts: IServiceParts, nowMs: number): IServiceDigest {
  const { quotaReturns, scheduler, service } = parts;
  const slots = scheduler.returns.summarize(nowMs);
  const places = [
    ...slots.map((place) => ({ ...place, lane: SLOTS_LANE })),
    ...(quotaReturns?.summarize(service, nowMs) ?? []),
  ].filter(({ key }) => key !== '');
  return {
    places: places.sort((left, right) => left.inMs - right.inMs).slice(0, MAX_PLACES),
    leads: listLeads(scheduler.queue.summarize()),
    speeds: listSpeeds(scheduler, nowMs),
  };
}

/**
 * Applies the digest of another home. Leads are ignored for tenants with queued requests, and where requests of
 * the tenant don't have the priority.
 *
 * @example
 * applyDigest({ service, scheduler }, digest, (tenant, priority) => priority <= 3, nowMs);
 */
export function applyDigest(
  { quotaReturns, scheduler, service }: IServiceParts,
  { leads, places, speeds }: IServiceDigest,
  hasPriority: PriorityCheck,
  nowMs: number,
): void {
  const slots = places.filter(({ lane }) => lane === SLOTS_LANE);
  scheduler.returns.merge(slots, nowMs);
  const quotaPlaces = places.filter(({ lane }) => lane !== SLOTS_LANE);
  quotaReturns?.merge(service, quotaPlaces, nowMs);
  const known = leads.filter(({ priority, tenant }) => hasPriority(tenant, priority));
  scheduler.queue.applyRemote(makeSummary(known));
  const targets = new Map(scheduler.listTargets().map((target) => [target.record.id, target]));
  for (const { bornMs, targetId, ...evidence } of speeds) {
    const target = targets.get(targetId);
    if (target?.record.bornMs === bornMs) target?.speed?.apply(evidence, nowMs);
  }
}

function listLeads(summary: FairnessSummary): readonly IPriorityLead[] {
  const leads = Object.entries(summary).flatMap(([priority, ofPriority]) => {
    return ofPriority.map((lead) => ({ ...lead, priority: Number(priority) }));
  });
  return leads.sort((left, right) => right.lead - left.lead).slice(0, MAX_LEADS);
}

function makeSummary(leads: readonly IPriorityLead[]): FairnessSummary {
  const summary: Record<number, ITenantLead[]> = {};
  for (const { lead, priority, tenant } of leads) (summary[priority] ??= []).push({ tenant, lead });
  return summary;
}

function listSpeeds(scheduler: ServiceScheduler, nowMs: number): readonly ITargetEvidence[] {
  const speeds = scheduler.listTargets().flatMap(({ record, speed }) => {
    const evidence = speed?.summarize(nowMs);
    if (evidence === undefined || evidence.ageMs > MAX_SPEED_AGE_MS) return [];
    return [{ ...evidence, targetId: record.id, bornMs: record.bornMs }];
  });
  return speeds
    .sort((left, right) => Math.abs(right.logFactor) - Math.abs(left.logFactor))
    .slice(0, MAX_SPEEDS);
}
