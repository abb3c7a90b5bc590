/** One node of an experiment: the real entry, home and grant protocol on simulated time. */
import type { Clock, Logger, RandomSource } from '@parsleymux/base';
import { SeededRandom } from '@parsleymux/base';
import { create } from '@bufbuild/protobuf';
import type { QuarantineStore, DatagramChannel, IMember } from '@parsleymux/dispatch';
import type { GrantPolicy, ITargetRecord } from '@parsleymux/scheduling';
import {
  HandoverSharing,
  HealthSharing,
  QuarantinePersister,
  GrantServer,
  HomeSelector,
  KeyChecker,
  NodeDirectory,
  PathHealth,
  PathMonitor,
  QuarantineSharing,
  RelayHandler,
  RelaySelector,
  RequestRunner,
  ShutdownLimit,
  RetrySharing,
  TargetDispatcher,
  TargetNotices,
} from '@parsleymux/dispatch';
import {
  DEFAULT_TENANT_BOUNDS,
  HomeService,
  RequestQuarantine,
  readSchedulingSettings,
} from '@parsleymux/scheduling';
import { LeavingSchema } from '@parsleymux/schema';
import type { FleetObserver } from './fleetObserver.js';
import type { ModelledTarget } from './modelledTarget.js';
import type { IModelledPeer } from './modelledRelayTransport.js';
import { ModelledRelayTransport } from './modelledRelayTransport.js';
import { ModelledTransport } from './modelledTransport.js';
import type { IScenario } from './scenario.js';

/** Options of a {@link ModelledNode}. */
export interface IModelledNodeOptions {
  readonly scenario: IScenario;
  readonly channel: DatagramChannel;
  readonly failureDomain: string;
  /** Number of this process among those of the node, from 1. */
  readonly incarnation: number;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Logger;
  readonly createPolicy: () => GrantPolicy;
  readonly targets: ReadonlyMap<string, ModelledTarget>;
  readonly observer: FleetObserver;
  readonly rankHomes: (service: string) => readonly string[];
  readonly listMembers: () => readonly string[];
  readonly formatDomainOf: (address: string) => string;
  readonly findPeer: (address: string) => IModelledPeer | undefined;
  readonly quarantineStore: QuarantineStore;
}

/** One process of a node that handles callers' requests. */
export class ModelledNode {
  readonly runner: RequestRunner;
  readonly transport: ModelledTransport;
  /** Sends attempts for other nodes. */
  readonly relayHandler: RelayHandler;
  private readonly homes: HomeService;
  private readonly handover: HandoverSharing;
  private readonly healthSharing: HealthSharing;
  private readonly retrySharing: RetrySharing;
  private readonly quarantineSharing: QuarantineSharing;
  private readonly quarantinePersister: QuarantinePersister;
  private readonly monitor: PathMonitor;
  private readonly end = new AbortController();
  private isStopping = false;
  private targetsById = new Map<string, ITargetRecord>();

  constructor(private readonly options: IModelledNodeOptions) {
    const { channel, clock, createPolicy, failureDomain, incarnation, log, scenario, targets } =
      options;
    const { retryBurst: burst, retryRatio: ratio, retryWindowMs: windowMs } = scenario;
    const { floorShare } = scenario;
    const limit = { burst, ratio, windowMs };
    const quarantine = new RequestQuarantine({ clock, log });
    const scheduling = readSchedulingSettings(scenario.scheduling);
    this.homes = new HomeService({
      clock,
      log,
      createPolicy,
      floorShare,
      quarantine,
      retries: limit,
      scheduling,
    });
    const findTarget = (id: string) => this.targetsById.get(id);
    this.transport = new ModelledTransport({
      clock,
      random: options.random,
      observer: options.observer,
      targets,
      node: `${channel.address}/${incarnation}`,
      crashingRequests: scenario.crashingRequests ?? [],
      isInOtherDomain: ({ options: { id } }) => findTarget(id)?.failureDomain !== failureDomain,
    });
    const { rankHomes } = options;
    const homes = this.homes;
    const selector = new HomeSelector({
      channel,
      homes,
      clock,
      log,
      incarnation,
      rankHomes,
      findTarget,
    });
    const server = new GrantServer({ channel, homes, clock });
    const healthSharing = new HealthSharing({ channel, homes, clock, rankHomes });
    const retrySharing = new RetrySharing({ channel, homes, clock, incarnation, rankHomes });
    const handover = new HandoverSharing({
      channel,
      homes,
      clock,
      log,
      rankHomes,
      isEnabled: () => scheduling.handover.isEnabled,
      // Requests of the model have no tenants.
      hasPriority: () => false,
    });
    const sharing = new QuarantineSharing({
      channel,
      quarantine,
      clock,
      random: options.random,
      listMembers: options.listMembers,
    });
    this.quarantineSharing = sharing;
    this.handover = handover;
    this.healthSharing = healthSharing;
    this.retrySharing = retrySharing;
    channel.setHandler((sender, body) => {
      if (body.case === 'ask') server.handleAsk(sender, body.value);
      if (body.case === 'report') server.handleReport(sender, body.value);
      if (body.case === 'decision') selector.handleDecision(sender, body.value);
      if (body.case === 'reportReceived') selector.handleReportReceived(body.value);
      if (body.case === 'leaving') selector.handleLeaving(sender);
      if (body.case === 'beliefs') healthSharing.handleBeliefs(sender, body.value);
      if (body.case === 'handover') handover.handleHandover(sender, body.value);
      if (body.case === 'retryUse') retrySharing.handleRetryUse(body.value);
      if (body.case === 'quarantine') sharing.handleQuarantine(body.value);
    });
    const notices = new TargetNotices(clock);
    const paths = new PathHealth(clock, findTarget);
    // Its own generator, so that checks of paths don't change the draws of the transport.
    const random = new SeededRandom(incarnation);
    const { transport } = this;
    this.monitor = new PathMonitor({
      clock,
      log,
      random,
      listTargets: () => [...this.targetsById.values()].filter(({ isDraining }) => !isDraining),
      tryConnect: ({ address }) => transport.tryConnect(address),
    });
    this.monitor.onDidLose(() => {
      transport.retireAllConnections();
      paths.clear();
    });
    this.relayHandler = new RelayHandler({
      clock,
      log,
      notices,
      transport,
      findTarget,
      monitor: this.monitor,
      isAuthentic: () => true,
      isStopping: () => this.isStopping,
    });
    const relays = {
      monitor: this.monitor,
      selector: new RelaySelector({
        clock,
        failureDomain,
        random,
        self: channel.address,
        listMembers: () => options.listMembers().map((address) => this.makeMember(address)),
      }),
      transport: new ModelledRelayTransport({
        clock,
        self: channel.address,
        delayMs: scenario.datagramMs,
        findPeer: options.findPeer,
      }),
    };
    this.runner = new RequestRunner({
      clock,
      selector,
      dispatcher: new TargetDispatcher({ clock, transport, relays }),
      quarantine,
      notices,
      keys: new KeyChecker({
        clock,
        directory: new NodeDirectory(clock),
        getBounds: () => DEFAULT_TENANT_BOUNDS,
      }),
      paths,
      shutdownLimit: new ShutdownLimit(clock),
      failureDomain,
      listTargets: (service) => homes.listTargets(service),
      isAuthentic: () => true,
      listTargetHeaders: () => [],
    });
    homes.start();
    healthSharing.start();
    retrySharing.start();
    handover.start();
    const quarantinePersister = new QuarantinePersister({
      quarantine,
      sharing,
      clock,
      log,
      store: options.quarantineStore,
      isReader: () => options.listMembers().at(0) === channel.address,
      isFirstStart: incarnation === 1,
    });
    this.quarantinePersister = quarantinePersister;
    quarantinePersister.start();
  }

  /** Aborts when the process ends, which closes its callers' connections. */
  get endSignal(): AbortSignal {
    return this.end.signal;
  }

  /** Notifies all members that this node accepts no more grant requests. */
  announceShutdown(members: readonly string[]): void {
    const { channel } = this.options;
    this.isStopping = true;
    this.retrySharing.announce();
    this.handover.announce();
    const value = create(LeavingSchema);
    for (const address of members) {
      if (address !== channel.address) channel.send(address, { case: 'leaving', value });
    }
  }

  private makeMember(address: string): IMember {
    const failureDomain = this.options.formatDomainOf(address);
    return {
      address,
      failureDomain,
      stateAddress: address,
      incarnation: 1,
      capacity: 1,
      canRelay: true,
    };
  }

  setTargets(records: readonly ITargetRecord[]): void {
    this.targetsById = new Map(records.map((record) => [record.id, record]));
    this.homes.setTargets(records);
  }

  /** Ends the process. */
  dispose(): void {
    this.monitor.dispose();
    this.end.abort(new Error('the process has ended'));
    this.healthSharing.dispose();
    this.retrySharing.dispose();
    this.handover.dispose();
    this.quarantineSharing.dispose();
    this.quarantinePersister.dispose();
    this.homes.dispose();
  }
}
