/** Checks an intent for problems that the validation of single fields can't detect. */
import type { Intent, Route, Service } from '@parsleymux/schema';
import type { IAddressRules } from './targetAddress.js';
import { findAddressProblem, isLoopbackAddress } from './targetAddress.js';

/** A problem of an intent. */
export interface IIntentProblem {
  /** Path of the affected field, such as "services[1].targets[0].address". */
  readonly path: string;
  readonly message: string;
}

/** Options of an {@link IntentValidator}. */
export interface IIntentValidatorOptions {
  /** Lists the current addresses of the fleet's nodes and the platform, each "IP:port". Default: none. */
  readonly listReservedAddresses?: () => readonly string[];
}

/**
 * Finds the problems of an intent.
 *
 * @example
 * const problems = new IntentValidator().validate(intent);
 * if (problems.length > 0) throw createMalformedIntentError(problems);
 */
export class IntentValidator {
  constructor(private readonly options: IIntentValidatorOptions = {}) {}

  /** Returns every problem found; an intent without problems can be planned. */
  validate(intent: Intent): readonly IIntentProblem[] {
    return [
      ...checkServices(intent.services),
      ...checkTargetAddresses(intent.services, this.buildAddressRules()),
      ...checkRoutes(intent),
    ];
  }

  private buildAddressRules(): IAddressRules {
    const reserved = this.options.listReservedAddresses?.() ?? [];
    return {
      reserved: new Set(reserved),
      // If nodes don't use loopback addresses, loopback leads to a node's private ports.
      isLoopbackAllowed: reserved.every(isLoopbackAddress),
    };
  }
}

function checkServices(services: readonly Service[]): IIntentProblem[] {
  const problems = findDuplicates(services, (service) => service.name, 'services', 'name');
  services.forEach((service, index) => {
    // Draining targets count here; the plan checks them and rejects with the arithmetic.
    const slots = service.targets.reduce((sum, target) => sum + target.slots, 0);
    if (service.floorSlots <= slots) return;
    problems.push({
      path: `services[${index}].floorSlots`,
      message: `the floor of ${service.floorSlots} slots is above the ${slots} slots that there are`,
    });
  });
  return problems;
}

function checkTargetAddresses(
  services: readonly Service[],
  rules: IAddressRules,
): IIntentProblem[] {
  const seen = new Set<string>();
  const problems: IIntentProblem[] = [];
  services.forEach((service, serviceIndex) => {
    service.targets.forEach((target, index) => {
      const path = `services[${serviceIndex}].targets[${index}].address`;
      const problem = findAddressProblem(target.address, rules);
      if (problem !== undefined) problems.push({ path, message: `${target.address} ${problem}` });
      if (seen.has(target.address)) {
        problems.push({ path, message: `${target.address} is listed twice` });
      }
      seen.add(target.address);
    });
  });
  return problems;
}

function checkRoutes(intent: Intent): IIntentProblem[] {
  const services = new Set(intent.services.map((service) => service.name));
  const problems = findDuplicates(intent.routes, (route) => route.name, 'routes', 'name');
  intent.routes.forEach((route, index) => {
    problems.push(...checkRoute(route, `routes[${index}]`, services));
  });
  return [...problems, ...findAmbiguousRoutes(intent.routes)];
}

function checkRoute(
  route: Route,
  path: string,
  services: ReadonlySet<string>,
): readonly IIntentProblem[] {
  const problems: IIntentProblem[] = [];
  if (!services.has(route.service)) {
    problems.push({
      path: `${path}.service`,
      message: `there is no service named "${route.service}"`,
    });
  }
  if (!route.idempotent && route.keyHeader === '') {
    problems.push({
      path: `${path}.keyHeader`,
      message: 'a route that is not idempotent needs the header that carries the key',
    });
  }
  return problems;
}

/**
 * Finds routes that match the same requests, for which the choice would depend on their order. Each
 * method of a route takes one look-up: comparing every pair of routes would let a crafted intent
 * occupy the process for seconds.
 */
function findAmbiguousRoutes(routes: readonly Route[]): readonly IIntentProblem[] {
  const seen = new Map<string, string>();
  const problems: IIntentProblem[] = [];
  routes.forEach((route, index) => {
    const methods = route.methods.length === 0 ? ['every method'] : route.methods;
    const patterns = methods.map((method) => `${method} ${route.host} ${route.pathPrefix}`);
    const conflicting = patterns
      .map((pattern) => seen.get(pattern))
      .find((name) => name !== undefined);
    if (conflicting !== undefined) {
      const message = `it matches the same requests as route "${conflicting}"`;
      problems.push({ path: `routes[${index}]`, message });
    }
    for (const pattern of patterns) seen.set(pattern, route.name);
  });
  return problems;
}

function findDuplicates<T>(
  items: readonly T[],
  getName: (item: T) => string,
  list: string,
  field: string,
): IIntentProblem[] {
  const seen = new Set<string>();
  const problems: IIntentProblem[] = [];
  items.forEach((item, index) => {
    const name = getName(item);
    if (seen.has(name)) {
      problems.push({ path: `${list}[${index}].${field}`, message: `"${name}" is used twice` });
    }
    seen.add(name);
  });
  return problems;
}
