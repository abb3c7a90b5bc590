/** Builders of values for tests, with defaults for everything that a test does not set. */
import type { Clock, RandomSource } from '@parsleymux/base';
import { SeededRandom, createSilentLogger } from '@parsleymux/base';
import type { ICatalog, IRouteRule, ITargetRecord } from '../catalog/common/catalog.js';
import { NodeDirectory } from '../directory/common/nodeDirectory.js';
import { KeyChecker } from '../tenants/common/keyChecker.js';
import type { ITenantBounds } from '../tenants/common/tenant.js';
import type { IGrantRequest } from '../grants/common/grant.js';
import { RequestQuarantine } from '../quarantine/common/requestQuarantine.js';

const SERVICES = ['booking', 'survey', 'materials'];
const LETTERS = 'abcdefghijklmnopqrstuvwxyz0123456789';

export function makeTarget(id: string, fields: Partial<ITargetRecord> = {}): ITargetRecord {
  return {
    id,
    service: 'booking',
    address: `127.0.0.1:${9000 + Number(id.replace(/\D/g, '') || 0)}`,
    failureDomain: 'north',
    slots: 4,
    isDraining: false,
    coldMs: 0,
    ...fields,
  };
}

export function makeGrantRequest(fields: Partial<IGrantRequest> = {}): IGrantRequest {
  return {
    requestId: 'q1',
    fingerprints: ['f1'],
    route: 'orders',
    service: 'booking',
    failureDomain: 'north',
    attempt: 1,
    isRepeated: false,
    isRetry: (fields.attempt ?? 1) > 1,
    isIdempotent: false,
    mayRetry: false,
    isHedge: false,
    key: undefined,
    catalogVersion: 1,
    isCharged: false,
    priority: 1,
    remainingMs: 2000,
    objectiveMs: 1000,
    connected: [],
    excluded: [],
    limits: [],
    ...fields,
  };
}

export function makeRoute(fields: Partial<IRouteRule> = {}): IRouteRule {
  return {
    name: 'orders',
    host: 'booking.example',
    prefix: '/orders/',
    isIdempotent: false,
    timeoutMs: 2000,
    objectiveMs: 1000,
    priority: 1,
    maxAttempts: 2,
    destinations: [{ service: 'booking', weight: 1 }],
    ...fields,
  };
}

/** Makes routes with random names, hosts and prefixes, so that they compress as real ones do. */
export function makeRoutes(
  count: number,
  random: RandomSource = new SeededRandom(1),
): readonly IRouteRule[] {
  const makeText = (length: number) => {
    const pickLetter = () => LETTERS.charAt(random.getInteger(LETTERS.length));
    return Array.from({ length }, pickLetter).join('');
  };
  return Array.from({ length: count }, () => {
    const service = SERVICES[random.getInteger(SERVICES.length)] ?? '';
    return makeRoute({
      name: `r-${makeText(7)}`,
      host: `${makeText(6)}.example`,
      prefix: `/${makeText(8)}/`,
      isPublic: false,
      destinations: [{ service, weight: 1 }],
    });
  });
}

export function makeCatalog(version: number, routes: readonly IRouteRule[]): ICatalog {
  return {
    version,
    routes,
    services: [{ name: 'booking', healthPath: '/health', maxConnections: 100 }],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_048_576,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
  };
}

/** Makes a key checker; without a `directory`, the configuration requires no keys. */
export function makeKeyChecker(clock: Clock, directory = new NodeDirectory(clock)): KeyChecker {
  return new KeyChecker({ clock, directory, getBounds: () => TENANT_BOUNDS });
}

export const TENANT_BOUNDS: ITenantBounds = {
  keyLeaseMs: 5000,
  applyMs: 2500,
  quotaWindowMs: 5000,
  quotaExcess: 0.1,
  quotaSlack: 20,
};

export function makeQuarantine(clock: Clock): RequestQuarantine {
  return new RequestQuarantine({ clock, log: createSilentLogger() });
}
