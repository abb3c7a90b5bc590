/** The exact differences between two intents. */
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

/** Items of one kind under their names, written as JSON. */
type Texts = ReadonlyMap<string, string>;

/**
 * What differs between the intent in force and the one that is wanted.
 *
 * @example
 * computeChanges(undefined, intent).length;
 */
export function computeChanges(before: Intent | undefined, after: Intent): readonly Change[] {
  return [
    ...compareTexts('service', listServices(before), listServices(after)),
    ...compareTexts('target', listTargets(before), listTargets(after)),
    ...compareTexts('route', listRoutes(before), listRoutes(after)),
  ];
}

function listServices(intent: Intent | undefined): Texts {
  return toTexts(ServiceSchema, (intent?.services ?? []).map(copyWithoutTargets), (service) => {
    return service.name;
  });
}

function listTargets(intent: Intent | undefined): Texts {
  const texts = (intent?.services ?? []).map((service) =>
    toTexts(TargetSchema, service.targets, (target) => `${service.name} ${target.address}`),
  );
  return new Map(texts.flatMap((map) => [...map]));
}

function listRoutes(intent: Intent | undefined): Texts {
  return toTexts(RouteSchema, intent?.routes ?? [], (route) => route.name);
}

function copyWithoutTargets(service: Service): Service {
  return { ...clone(ServiceSchema, service), targets: [] };
}

function toTexts<Desc extends DescMessage>(
  schema: Desc,
  items: readonly MessageShape<Desc>[],
  getName: (item: MessageShape<Desc>) => string,
): Texts {
  return new Map(items.map((item) => [getName(item), toJsonString(schema, item)]));
}

function compareTexts(subject: string, before: Texts, after: Texts): readonly Change[] {
  const names = [...new Set([...before.keys(), ...after.keys()])];
  return names.flatMap((name) => {
    const oldText = before.get(name);
    const newText = after.get(name);
    if (oldText === newText) return [];
    const kind = decideKind(oldText, newText);
    return [
      create(ChangeSchema, { kind, subject, name, before: oldText ?? '', after: newText ?? '' }),
    ];
  });
}

function decideKind(before: string | undefined, after: string | undefined): ChangeKind {
  if (before === undefined) return ChangeKind.ADDED;
  return after === undefined ? ChangeKind.REMOVED : ChangeKind.CHANGED;
}
