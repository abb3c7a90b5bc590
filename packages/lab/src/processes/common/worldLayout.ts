/** The small world that demo and prove run: two members, six services, three failure domains. */
import type { Intent, RouteSchema, ServiceSchema } from '@parsleymux/schema';
import { DetectionPreference, IntentSchema, TargetState } from '@parsleymux/schema';
import type { JsonValue, MessageInitShape } from '@bufbuild/protobuf';
import { create, toJson } from '@bufbuild/protobuf';
import type { IWorkload } from '../../load/common/workload.js';

/** The failure domains of every world. */
export const FAILURE_DOMAINS = ['north', 'middle', 'south'] as const;

/** One service and the load on it. */
export interface IServiceLayout {
  readonly member: string;
  readonly name: string;
  readonly targetsPerDomain: number;
  readonly slots: number;
  readonly maxConnections: number;
  readonly meanServiceMs: number;
  readonly floorSlots: number;
  readonly idempotent: boolean;
  readonly perSecond: number;
}

/** Where a target stand-in listens. */
export interface ILabTarget {
  readonly member: string;
  readonly service: string;
  readonly failureDomain: string;
  /** Address that nodes use; a faulty link may stand there before the target itself. */
  readonly address: string;
  readonly control: string;
}

const RELINIERI = { member: 'relinieri', slots: 4, maxConnections: 400 };
const DONAUTAL = { member: 'donautal', slots: 3, maxConnections: 350 };

/** 24 targets in all. */
export const SERVICES: readonly IServiceLayout[] = [
  {
    ...RELINIERI,
    name: 'survey',
    targetsPerDomain: 1,
    meanServiceMs: 30,
    floorSlots: 8,
    idempotent: true,
    perSecond: 15,
  },
  {
    ...RELINIERI,
    name: 'booking',
    targetsPerDomain: 2,
    meanServiceMs: 40,
    floorSlots: 16,
    idempotent: false,
    perSecond: 12,
  },
  {
    ...RELINIERI,
    name: 'inventory',
    targetsPerDomain: 1,
    meanServiceMs: 20,
    floorSlots: 8,
    idempotent: true,
    perSecond: 10,
  },
  {
    ...DONAUTAL,
    name: 'cutlists',
    targetsPerDomain: 1,
    meanServiceMs: 20,
    floorSlots: 6,
    idempotent: true,
    perSecond: 20,
  },
  {
    ...DONAUTAL,
    name: 'orders',
    targetsPerDomain: 2,
    meanServiceMs: 30,
    floorSlots: 12,
    idempotent: false,
    perSecond: 12,
  },
  {
    ...DONAUTAL,
    name: 'yield',
    targetsPerDomain: 1,
    meanServiceMs: 40,
    floorSlots: 6,
    idempotent: true,
    perSecond: 6,
  },
];

/** The members of every world. */
export const MEMBERS: readonly string[] = [RELINIERI.member, DONAUTAL.member];

/**
 * Host name of a service's route.
 *
 * @example
 * formatHost(service); // 'booking.relinieri.example'
 */
export function formatHost(service: IServiceLayout): string {
  return `${service.name}.${service.member}.example`;
}

/**
 * What callers ask of every service, at `factor` times the layout's rate.
 *
 * @example
 * const load = new LoadGenerator({ workloads: makeWorkloads(2), balancer, seed });
 */
export function makeWorkloads(factor = 1): readonly IWorkload[] {
  return SERVICES.map((service) => ({
    member: service.member,
    service: service.name,
    host: formatHost(service),
    path: `/${service.name}`,
    method: service.idempotent ? 'GET' : 'POST',
    idempotent: service.idempotent,
    perSecond: service.perSecond * factor,
    timeoutMs: 4000,
    maxAttempts: 6,
    bodyBytes: 200,
    twinShare: service.idempotent ? 0 : 0.25,
  }));
}

/** How an intent differs from the member's usual one. */
export interface IIntentChange {
  readonly note?: string;
  /** Added to every service's floor, which stays at 0 or above. */
  readonly floorChange?: number;
  /** Take the host names of this member. */
  readonly hostsOf?: string;
  /** States of targets other than serving, by address. */
  readonly states?: ReadonlyMap<string, TargetState>;
}

/**
 * A member's intent over the targets that are there.
 *
 * @example
 * const drained = new Map([[address, TargetState.DRAINING]]);
 * const intent = makeIntent('relinieri', targets, { states: drained });
 */
export function makeIntent(
  member: string,
  targets: readonly ILabTarget[],
  change: IIntentChange = {},
): Intent {
  const services = SERVICES.filter((service) => service.member === member);
  const hosts = SERVICES.filter((service) => service.member === (change.hostsOf ?? member));
  return create(IntentSchema, {
    member,
    note: change.note ?? '',
    services: services.map((service) => makeService(service, targets, change)),
    routes: services.map((service, index) => makeRoute(service, hosts[index] ?? service)),
  });
}

function makeService(
  service: IServiceLayout,
  targets: readonly ILabTarget[],
  change: IIntentChange,
): MessageInitShape<typeof ServiceSchema> {
  return {
    name: service.name,
    targets: targets
      .filter((target) => isTargetOf(target, service))
      .map((target) => ({
        address: target.address,
        failureDomain: target.failureDomain,
        slots: service.slots,
        maxConnections: service.maxConnections,
        state: change.states?.get(target.address) ?? TargetState.SERVING,
      })),
    floorSlots: Math.max(0, service.floorSlots + (change.floorChange ?? 0)),
    detection:
      service.member === RELINIERI.member ? DetectionPreference.CAREFUL : DetectionPreference.FAST,
  };
}

function makeRoute(
  service: IServiceLayout,
  hostOf: IServiceLayout,
): MessageInitShape<typeof RouteSchema> {
  return {
    name: service.name,
    host: formatHost(hostOf),
    pathPrefix: '/',
    service: service.name,
    idempotent: service.idempotent,
    deadlineMs: 4000,
    lookUpPath: service.idempotent ? '' : '/lookup/{key}',
  };
}

/**
 * An intent as the JSON that operators write.
 *
 * @example
 * await writeFile(file, JSON.stringify(toIntentJson(intent)));
 */
export function toIntentJson(intent: Intent): JsonValue {
  return toJson(IntentSchema, intent);
}

function isTargetOf(target: ILabTarget, service: IServiceLayout): boolean {
  return target.member === service.member && target.service === service.name;
}
