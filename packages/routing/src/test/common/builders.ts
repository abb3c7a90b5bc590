/** Builders and fakes that the tests of this package share. */
import { create } from '@bufbuild/protobuf';
import type { IFleetConfig, IFleetConfigChange } from '@parsleymux/config';
import { ConfigService } from '@parsleymux/config';
import { Emitter } from '@parsleymux/base';
import type { MessageInitShape } from '@bufbuild/protobuf';
import type { Route, Service } from '@parsleymux/schema';
import { IntentSchema, MemberConfigSchema, RouteSchema, ServiceSchema } from '@parsleymux/schema';
import type { IRoutedRequest } from '../../request/common/request.js';
import type {
  ISendOptions,
  ITargetResponse,
  ITargetRequest,
} from '../../transport/common/targetTransport.js';
import { TargetTransport } from '../../transport/common/targetTransport.js';

export const MEMBER = 'dobrescu';
export const OTHER_MEMBER = 'donautal';
export const SERVICE = 'booking';

/** A service of `count` targets with four slots each; targets are named t0, t1, ... */
export function buildService(
  count: number,
  rest: MessageInitShape<typeof ServiceSchema> = {},
): Service {
  const targets = Array.from({ length: count }, (_, index) => ({
    address: `t${index}`,
    failureDomain: `domain-${index % 3}`,
    slots: 4,
  }));
  return create(ServiceSchema, { name: SERVICE, targets, ...rest });
}

/** A route to the service. */
export function buildRoute(isIdempotent: boolean): Route {
  return create(RouteSchema, { name: 'all', service: SERVICE, idempotent: isIdempotent });
}

/** A request with a distant deadline. */
export function buildRequest(rest: Partial<IRoutedRequest> = {}): IRoutedRequest {
  return {
    member: MEMBER,
    route: buildRoute(true),
    method: 'GET',
    path: '/jobs/7',
    headers: [],
    body: new Uint8Array(),
    deadlineMs: 10_000,
    caller: 'crew-1',
    idempotencyKey: undefined,
    ...rest,
  };
}

/** A configuration that tests can replace. */
export class FakeConfigService extends ConfigService {
  private readonly emitter = new Emitter<IFleetConfigChange>();
  private revision = 1;
  readonly onDidChange = this.emitter.onDidFire;

  constructor(private services: readonly Service[]) {
    super();
  }

  override getCurrent(): IFleetConfig {
    const memberRevision = BigInt(this.revision);
    const configs = [MEMBER, OTHER_MEMBER].map((member) => {
      const intent = create(IntentSchema, { member, services: [...this.services] });
      return create(MemberConfigSchema, { member, memberRevision, intent });
    });
    const members = new Map(configs.map((config) => [config.member, config]));
    return { fleetRevision: this.revision, members };
  }

  /** Replaces the services and notifies listeners. */
  apply(services: readonly Service[]): void {
    this.services = services;
    this.revision += 1;
    this.emitter.fire({ config: this.getCurrent(), members: [MEMBER] });
  }
}

export type Respond = (request: ITargetRequest, options: ISendOptions) => Promise<ITargetResponse>;

/** Passes every request to a function. */
export class FakeTransport extends TargetTransport {
  readonly sent: string[] = [];
  readonly retired: string[] = [];

  constructor(public respond: Respond) {
    super();
  }

  override send(request: ITargetRequest, options: ISendOptions): Promise<ITargetResponse> {
    this.sent.push(request.target);
    return this.respond(request, options);
  }

  override retireConnections(_member: string, target: string): void {
    this.retired.push(target);
  }

  override hasIdleConnection(): boolean {
    return false;
  }

  override getConnectionCount(): number {
    return 0;
  }
}

/** A complete response. */
export function buildResponse(rest: Partial<ITargetResponse> = {}): ITargetResponse {
  return {
    status: 200,
    headers: [],
    body: new Uint8Array([1]),
    notRun: false,
    draining: false,
    latencyMs: 10,
    ...rest,
  };
}
