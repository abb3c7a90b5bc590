/** Computes the exact differences between two intents. */
import type { DescMessage, MessageShape } from '@bufbuild/protobuf';
import { clone, create, toJsonString } from '@bufbuild/protobuf';
import type { Change, Intent, Service } from '@parsleymux/schema';
import {
  ChangeKind,
  ChangeSchema,
  RouteSchema,
  ServiceSchema,
  TargetSchema,
} from '@parsleymux/schema';

/** JSON text of the items of one kind, by name. */
type JsonByName = ReadonlyMap<string, string>;

/**
 * The changes that lead from the intent in force to the proposed intent.
 *
 * @example
 * computeChanges(undefined, intent).length;
 */
export function computeChanges(before: Intent | undefined, after: Intent): readonly Change[] {
  return [
    ...compareItems('service', listServices(before), listServices(after)),
    ...compareItems('target', listTargets(before), listTargets(after)),
    ...compareItems('route', listRoutes(before), listRoutes(after)),
  ];
}

function listServices(intent: Intent | undefined): JsonByName {
  return toJsonByName(
    ServiceSchema,
    (intent?.services ?? []).map(copyWithoutTargets),
    (service) => {
      return service.name;
    },
  );
}

function listTargets(intent: Intent | undefined): JsonByName {
  const texts = (intent?.services ?? []).map((service) =>
    toJsonByName(TargetSchema, service.targets, (target) => `${service.name} ${target.address}`),
  );
  return new Map(texts.flatMap((map) => [...map]));
}

function listRoutes(intent: Intent | undefined): JsonByName {
  return toJsonByName(RouteSchema, intent?.routes ?? [], (route) => route.name);
}

function copyWithoutTargets(service: Service): Service {
  return { ...clone(ServiceSchema, service), targets: [] };
}

function toJsonByName<Desc extends DescMessage>(
  schema: Desc,
  items: readonly MessageShape<Desc>[],
  getName: (item: MessageShape<Desc>) => string,
): JsonByName {
  return new Map(items.map((item) => [getName(item), toJsonString(schema, item)]));
}

function compareItems(subject: string, before: JsonByName, after: JsonByName): readonly Change[] {
  const names = [...new Set([...before.keys(), ...after.keys()])];
  return names.flatMap((name) => {
    const oldText = before.get(name);
    const newText = after.get(name);
    if (oldText === newText) return [];
    const kind = decideChangeKind(oldText, newText);
    return [
      create(ChangeSchema, { kind, subject, name, before: oldText ?? '', after: newText ?? '' }),
    ];
  });
}

function decideChangeKind(before: string | undefined, after: string | undefined): ChangeKind {
  if (before === undefined) return ChangeKind.ADDED;
  return after === undefined ? ChangeKind.REMOVED : ChangeKind.CHANGED;
}
