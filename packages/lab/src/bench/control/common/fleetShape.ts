/** Generates configurations of a given size, distributed over members. */
import { create } from '@bufbuild/protobuf';
import type { Intent } from '@parsleymux/schema';
import { IntentSchema } from '@parsleymux/schema';

const DOMAINS = 3;
const SLOTS = 4;

/** Size of a fleet's configuration. */
export interface IFleetShape {
  readonly members: number;
  readonly services: number;
  readonly targets: number;
  readonly routes: number;
}

/**
 * Returns the name of member number `index`.
 *
 * @example
 * formatMember(3); // 'member-3'
 */
export function formatMember(index: number): string {
  return `member-${index}`;
}

/**
 * Returns the failure domain of item number `index`; domains are assigned round-robin.
 *
 * @example
 * formatDomain(4); // 'domain-1'
 */
export function formatDomain(index: number): string {
  return `domain-${index % DOMAINS}`;
}

/**
 * Creates the intent of one member. Services, targets and routes are distributed evenly.
 *
 * @example
 * const intent = makeMemberIntent(shape, 0, 'first');
 */
export function makeMemberIntent(shape: IFleetShape, member: number, note: string): Intent {
  const services = listShare(shape.services, shape.members, member);
  return create(IntentSchema, {
    member: formatMember(member),
    note,
    services: services.map((service) => makeService(shape, service)),
    routes: services.flatMap((service) => makeRoutes(shape, service)),
  });
}

function makeService(shape: IFleetShape, service: number) {
  const targets = listShare(shape.targets, shape.services, service);
  return {
    name: `service-${service}`,
    floorSlots: targets.length,
    targets: targets.map((target) => ({
      address: `10.${(target >> 16) & 255}.${(target >> 8) & 255}.${target & 255}:9000`,
      failureDomain: formatDomain(target),
      slots: SLOTS,
      maxConnections: 400,
    })),
  };
}

function makeRoutes(shape: IFleetShape, service: number) {
  return listShare(shape.routes, shape.services, service).map((route) => ({
    name: `route-${route}`,
    host: `host-${service}.example`,
    pathPrefix: `/part-${route}/`,
    service: `service-${service}`,
    idempotent: route % 4 !== 0,
    keyHeader: 'idempotency-key',
    deadlineMs: 10_000,
  }));
}

/** Lists the item numbers, out of `count`, that fall to owner `index` in an even split. */
function listShare(count: number, owners: number, index: number): readonly number[] {
  const from = Math.floor((count * index) / owners);
  const to = Math.floor((count * (index + 1)) / owners);
  return Array.from({ length: to - from }, (_, offset) => from + offset);
}
