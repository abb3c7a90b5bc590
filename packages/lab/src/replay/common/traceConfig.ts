/** Builds the configuration of a trace's service. */
import { create } from '@bufbuild/protobuf';
import type { IFleetConfig } from '@parsleymux/config';
import { ConfigService } from '@parsleymux/config';
import type { Route } from '@parsleymux/schema';
import {
  DetectionPreference,
  IntentSchema,
  MemberConfigSchema,
  RouteSchema,
  ServiceSchema,
} from '@parsleymux/schema';
import type { ITraceHeader, RouteName } from '../../trace/common/trace.js';

/** Returns one configuration that never changes. */
class FixedConfigService extends ConfigService {
  readonly onDidChange = () => ({ dispose: () => undefined });

  constructor(private readonly config: IFleetConfig) {
    super();
  }

  override getCurrent(): IFleetConfig {
    return this.config;
  }
}

/** The two routes of every trace. */
export function buildRoutes(header: ITraceHeader): Readonly<Record<RouteName, Route>> {
  const service = header.service.name;
  const build = (name: RouteName) => {
    return create(RouteSchema, { name, service, idempotent: name === 'read' });
  };
  return { read: build('read'), book: build('book') };
}

/** Builds a configuration service with the member's service and routes. */
export function buildConfigService(header: ITraceHeader): ConfigService {
  const { service, member } = header;
  const isFast = service.detection === 'fast';
  const declared = create(ServiceSchema, {
    name: service.name,
    floorSlots: service.floorSlots,
    detection: isFast ? DetectionPreference.FAST : DetectionPreference.CAREFUL,
    targets: service.targets.map((target) => ({ ...target, slots: service.slotsPerTarget })),
  });
  const routes = Object.values(buildRoutes(header));
  const intent = create(IntentSchema, { member, services: [declared], routes });
  const config = create(MemberConfigSchema, { member, memberRevision: 1n, intent });
  return new FixedConfigService({ fleetRevision: 1, members: new Map([[member, config]]) });
}
