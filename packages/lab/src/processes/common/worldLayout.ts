/** The deployment that demo and prove run: two members, six services, three failure domains. */
import type { Intent, RouteSchema, ServiceSchema } from '@parsleymux/schema';
import { DetectionPreference, IntentSchema, TargetState } from '@parsleymux/schema';
import type { JsonValue, MessageInitShape } from '@bufbuild/protobuf';
import { create, toJson } from '@bufbuild/protobuf';
import type { IWorkload } from '../../load/common/workload.js';

/** The failure domains of every lab deployment. */
export const FAILURE_DOMAINS = ['north', 'middle', 'south'] as const;

/** One service with its targets and its load. */
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

/** A target stand-in and the addresses that it listens on. */
export interface ILabTarget {
  readonly member: string;
  readonly service: string;
  readonly failureDomain: string;
  /** Address that nodes use; it may be that of a faulty link in front of the target. */
  readonly address: string;
  /** Address of the control interface. */
  readonly control: string;
}

const RELINIERI = { member: 'relinieri', slots: 4, maxConnections: 400 };
const DONAUTAL = { member: 'donautal', slots: 3, maxConnections: 350 };

/** Services of all members, with 24 targets in total. */
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

/** The members of every lab deployment. */
export const MEMBERS: readonly string[] = [RELINIERI.member, DONAUTAL.member];

/**
 * Returns the host name of a service's route.
 *
 * @example
 * formatHost(service); // 'booking.relinieri.example'
 */
export function formatHost(service: IServiceLayout): string {
  return `${service.name}.${service.member}.example`;
}

/**
 * Returns the workload of every service, at `factor` times the rate in the layout.
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

/** Differences of an intent from the member's default one. */
export interface IIntentChange {
  readonly note?: string;
  /** Added to every service's floor of slots; the result is at least 0. */
  readonly floorChange?: number;
  /** Member whose host names the routes use. Default: the member's own. */
  readonly hostsOf?: string;
  /** States of targets that differ from serving, by address. */
  readonly states?: ReadonlyMap<string, TargetState>;
}

/**
 * Builds a member's intent for the given targets.
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
 * Converts an intent to the JSON form that operators write.
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
