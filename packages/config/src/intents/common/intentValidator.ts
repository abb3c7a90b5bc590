/** Checks an intent for what the rules of single fields can't express. */
import type { Intent, Route, Service } from '@parsleymux/schema';
import type { IAddressRules } from './targetAddress.js';
import { findAddressProblem, isLoopbackAddress } from './targetAddress.js';

/** One thing that is wrong with an intent. */
export interface IIntentProblem {
  /** Where, such as "services[1].targets[0].address". */
  readonly path: string;
  readonly message: string;
}

/** Options of an {@link IntentValidator}. */
export interface IIntentValidatorOptions {
  /** Addresses of this fleet's nodes and of the platform now, each "IP:port". Default: none. */
  readonly listReservedAddresses?: () => readonly string[];
}

/**
 * Finds what is wrong with an intent.
 *
 * @example
 * const problems = new IntentValidator().validate(intent);
 * if (problems.length > 0) throw createMalformedIntentError(problems);
 */
export class IntentValidator {
  constructor(private readonly options: IIntentValidatorOptions = {}) {}

  /** Every problem found; an intent without one can be planned. */
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
      // Where nodes have addresses of their own, loopback leads to a node's private ports.
      isLoopbackAllowed: reserved.every(isLoopbackAddress),
    };
  }
}

function checkServices(services: readonly Service[]): IIntentProblem[] {
  const problems = findDuplicates(services, (service) => service.name, 'services', 'name');
  services.forEach((service, index) => {
    // What drains is left to the plan, which refuses with the arithmetic.
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
      const wrong = findAddressProblem(target.address, rules);
      if (wrong !== undefined) problems.push({ path, message: `${target.address} ${wrong}` });
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
 * Two routes that match the same requests would make the choice depend on their order. One look-up
 * for each method: comparing every pair took seconds for an intent made to that end.
 */
function findAmbiguousRoutes(routes: readonly Route[]): readonly IIntentProblem[] {
  const seen = new Map<string, string>();
  const problems: IIntentProblem[] = [];
  routes.forEach((route, index) => {
    const methods = route.methods.length === 0 ? ['every method'] : route.methods;
    const places = methods.map((method) => `${method} ${route.host} ${route.pathPrefix}`);
    const rival = places.map((place) => seen.get(place)).find((name) => name !== undefined);
    if (rival !== undefined) {
      const message = `it matches the same requests as route "${rival}"`;
      problems.push({ path: `routes[${index}]`, message });
    }
    for (const place of places) seen.set(place, route.name);
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
