/** A node that dispatches directly, with its lifecycle from start to exit. */
import { randomInt } from 'node:crypto';
import type { Server } from 'node:http';
import type { Clock, Logger, RandomSource } from '@parsleymux/base';
import {
  DisposableStore,
  closeServerImmediately,
  listenOn,
  setServerLimits,
  toDisposable,
} from '@parsleymux/base';
import type { Header, TargetConnector, TargetProtocol } from '@parsleymux/routing';
import { HttpTargetTransport, TcpTargetConnector } from '@parsleymux/routing';
import { Registry, collectDefaultMetrics } from 'prom-client';
import { DestinationPicker } from '../../catalog/common/destinationPicker.js';
import type { Authority, IMember } from '../../directory/common/authority.js';
import { NodeDirectory } from '../../directory/common/nodeDirectory.js';
import { DirectoryService } from '../../directory/node/directoryService.js';
import { HttpTableTransport, createStateServer } from '../../directory/node/stateServer.js';
import type { ResponseCheck } from '../../entry/common/attemptOutcome.js';
import type { CallerProtocol } from '../../entry/common/callerProtocol.js';
import { RequestRunner } from '../../entry/common/requestRunner.js';
import { ShutdownLimit } from '../../entry/common/shutdownLimit.js';
import { FrontServer } from '../../entry/node/frontServer.js';
import { RequestLog } from '../../entry/node/requestLog.js';
import { GrantServer } from '../../grants/common/grantServer.js';
import { HomeSelector } from '../../grants/common/homeSelector.js';
import type { DatagramChannel } from '../../grants/common/datagramChannel.js';
import { UdpChannel } from '../../grants/node/udpChannel.js';
import { HandoverSharing } from '../../grants/common/handoverSharing.js';
import { HealthSharing } from '../../grants/common/healthSharing.js';
import { RetrySharing } from '../../grants/common/retrySharing.js';
import { handleHeldRequests } from '../../quarantine/node/heldRequestsPage.js';
import { QuarantinePersister } from '../../quarantine/common/quarantinePersister.js';
import type { QuarantineStore } from '../../quarantine/common/quarantineStore.js';
import { QuarantineSharing } from '../../quarantine/common/quarantineSharing.js';
import { RequestQuarantine, HomeService } from '@parsleymux/scheduling';
import type { IServiceBounds } from '@parsleymux/scheduling';
import type { IConnectionLimits, IDirectNodeSettings } from './directNodeSettings.js';
import { handleDatagram } from './datagramRouter.js';
import { logDirectoryChanges } from './directoryLog.js';
import { countDirectory, measureDelay } from './directoryMetrics.js';
import { countFairness } from './fairnessMetrics.js';
import { countHandovers } from './handoverMetrics.js';
import { countRejections } from './rejectionMetrics.js';
import { countSpeeds } from './speedMetrics.js';
import { countHeldRequests } from './heldRequests.js';
import { countMalformedRows } from './malformedRows.js';
import { createCallerMemory } from './callerMemory.js';
import { RelayComponents } from './relayComponents.js';
import { countReturns } from './returnMetrics.js';
import { createMetricsServer, createReadyServer } from './statusServers.js';
import { TenantComponents } from './tenantComponents.js';
import { countWaitingRequests } from './waitingRequests.js';

const MAX_INCARNATION = 0x7fff_ffff;
/**
 * How long new connections still arrive after the signal to stop, in ms: the balancer checks readiness
 * every second and removes a node after two failed checks.
 */
const DRAIN_NOTICE_MS = 2600;
/**
 * Part of the grace time reserved for closing the node, in ms: half of a busy core needs some 100 ms for
 * it, and a process that has not exited by the end is killed and loses its unwritten output.
 */
const STOP_MARGIN_MS = 900;
const STOP_CHECK_MS = 50;
/** A node serves requests without a newer configuration that it knows of for this share of the bound. */
const MAX_OUTDATED_SHARE = 0.5;
/**
 * Longest wait for a connection to a target, in ms: some fifty round trips between failure domains.
 * A target that does not accept by then is partitioned or overloaded, and nothing has been sent yet.
 */
const CONNECT_TIMEOUT_MS = 250;
const DEFAULT_RESPONSE_MEMORY_BYTES = 67_108_864;
const DEFAULT_CONNECTION_LIMITS: IConnectionLimits = { callers: 2720, others: 194 };

/** The protocols of the deployment's callers and targets. */
export interface IDeploymentProtocol {
  readonly callers: CallerProtocol;
  readonly targets: TargetProtocol;
  readonly isAuthentic: ResponseCheck;
  readonly listTargetHeaders: (targetId: string) => readonly Header[];
}

/** Options of a {@link DirectNode}. */
export interface IDirectNodeOptions {
  readonly settings: IDirectNodeSettings;
  readonly authority: Authority;
  readonly quarantineStore: QuarantineStore;
  readonly protocol: IDeploymentProtocol;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Logger;
  /** Default: TCP. */
  readonly connector?: TargetConnector;
}

/**
 * Runs entry, home and store follower in one process.
 *
 * @example
 * const node = new DirectNode(options);
 * await node.start();
 * await node.stopGracefully();
 */
export class DirectNode {
  private readonly store = new DisposableStore();
  private readonly background = new AbortController();
  private readonly directory: NodeDirectory;
  private readonly quarantine: RequestQuarantine;
  private readonly tenants: TenantComponents;
  private readonly incarnation = randomInt(1, MAX_INCARNATION);
  private settings: IDirectNodeSettings;
  private homes: HomeService | undefined;
  private front: FrontServer | undefined;
  private directoryService: DirectoryService | undefined;
  private retrySharing: RetrySharing | undefined;
  private handover: HandoverSharing | undefined;
  private relays: RelayComponents | undefined;
  private loops: Promise<void> = Promise.resolve();
  private readonly shutdownLimit: ShutdownLimit;
  private isStopping = false;

  constructor(private readonly options: IDirectNodeOptions) {
    this.settings = options.settings;
    this.directory = new NodeDirectory(options.clock);
    this.quarantine = new RequestQuarantine(options);
    this.shutdownLimit = new ShutdownLimit(options.clock);
    const { directory } = this;
    this.tenants = new TenantComponents({
      ...options,
      directory,
      isFirstStart: options.settings.isFirstStart,
      getBounds: () => this.settings.tenants,
      hasReturns: () => this.settings.scheduling?.returns.isEnabled === true,
    });
  }

  /** Applies changed settings, except for addresses and the failure domain, which stay as at the start. */
  updateSettings(settings: IDirectNodeSettings): void {
    this.settings = settings;
    this.homes?.setBounds(toServiceBounds(settings));
  }

  /** Opens the ports and starts the loops. The node is ready once it has received a configuration. */
  async start(): Promise<void> {
    const { clock, log, random, settings } = this.options;
    logDirectoryChanges(this.directory, log);
    const registry = new Registry();
    collectDefaultMetrics({ register: registry });
    countMalformedRows(this.options.authority, registry);
    countHeldRequests(this.quarantine, registry);
    const channel = this.store.add(await UdpChannel.open(settings.datagramAddress, log));
    const homes = this.store.add(this.createHomes(channel.address));
    countDirectory(this.directory, homes, registry);
    measureDelay(clock, registry);
    countFairness(homes, registry);
    countReturns(this.tenants.returns, homes, registry);
    countRejections(homes, registry);
    countSpeeds(homes, clock, registry);
    countWaitingRequests(this.shutdownLimit, registry);
    const relays = this.createRelays(channel.address, registry);
    const state = createStateServer(
      {
        clock,
        tables: this.directory.listTables(),
        encoder: this.directory.encoder,
        bytesPerMs: settings.linkBytesPerMs,
      },
      (incoming, response) => handleHeldRequests(this.quarantine, incoming, response),
    );
    relays.listen(state);
    await this.listen(state, settings.stateAddress);
    await this.listen(
      createReadyServer(() => this.isReady()),
      settings.readyAddress,
    );
    await this.listen(createMetricsServer(registry), settings.metricsAddress);
    const selector = new HomeSelector({
      channel,
      homes,
      clock,
      log,
      incarnation: this.incarnation,
      rankHomes: (service) => this.directory.rankHomes(service),
      findTarget: (id) => this.directory.targets.get(id),
    });
    const { incarnation } = this;
    const rankHomes = (service: string) => this.directory.rankHomes(service);
    const healthSharing = this.store.add(new HealthSharing({ channel, homes, clock, rankHomes }));
    const retries = this.store.add(
      new RetrySharing({ channel, homes, clock, incarnation, rankHomes }),
    );
    this.retrySharing = retries;
    const handover = this.createHandover(channel, homes, registry);
    const quarantine = this.store.add(
      new QuarantineSharing({
        channel,
        clock,
        random,
        quarantine: this.quarantine,
        listMembers: () => this.directory.members.listValues().map(({ address }) => address),
      }),
    );
    const quotas = this.store.add(this.tenants.createQuotaSharing(channel, homes));
    const getCatalogVersion = () => this.directory.getCatalog()?.version ?? 0;
    const server = new GrantServer({ channel, homes, clock, getCatalogVersion });
    const self = this.makeMember(channel.address);
    const { authority } = this.options;
    const service = new DirectoryService({
      authority,
      channel,
      transport: new HttpTableTransport(),
      clock,
      directory: this.directory,
      log,
      random,
      self,
      isFirstStart: settings.isFirstStart,
      seeds: settings.seeds,
      keyLeaseMs: settings.tenants.keyLeaseMs,
      getApplyMs: () => this.settings.tenants.applyMs,
      hasReceivedRequests: () =>
        this.front?.connections.hasAcceptedConnection === true || homes.listSchedulers().length > 0,
    });
    this.directoryService = this.store.add(service);
    channel.setHandler((sender, body) => {
      const sharing = { handover, healthSharing, quarantine, quotas, retries };
      handleDatagram({ ...sharing, selector, server, service }, sender, body);
    });
    this.front = await this.openFront(selector, homes, relays, registry);
    homes.start();
    healthSharing.start();
    retries.start();
    quotas.start();
    handover.start();
    this.loops = service.run(this.background.signal).catch((error: unknown) => {
      log.error('directory stopped by an internal error', { reason: String(error) });
    });
    this.store.add(this.createQuarantinePersister(quarantine, service)).start();
    log.info('started', { ...settings, incarnation: this.incarnation });
  }

  /**
   * Shuts down without interrupting requests: the node becomes not ready immediately, responses close their
   * connections, the port is closed, and pending requests are finished within the grace time.
   */
  async stopGracefully(): Promise<void> {
    const { clock, log } = this.options;
    const { graceMs } = this.settings;
    const startMs = clock.getMonotonicTime();
    this.isStopping = true;
    const limitMs = graceMs - STOP_MARGIN_MS;
    this.shutdownLimit.start(limitMs);
    const { waiting } = this.shutdownLimit;
    log.info('stopping', { openRequests: this.front?.connections.openRequests ?? 0, waiting });
    this.front?.connections.stop();
    this.retrySharing?.announce();
    this.handover?.announce();
    const retired = this.directoryService?.retire(this.background.signal);
    await clock.sleep(Math.min(DRAIN_NOTICE_MS, graceMs / 2));
    this.front?.closePort();
    while (clock.getMonotonicTime() - startMs < limitMs) {
      this.front?.connections.closeIdle();
      const isRelaying = (this.relays?.running ?? 0) > 0;
      if ((this.front?.connections.size ?? 0) === 0 && !isRelaying) break;
      await clock.sleep(STOP_CHECK_MS);
    }
    const cut = this.front?.connections.openRequests ?? 0;
    const ms = Math.round(clock.getMonotonicTime() - startMs);
    log.info('stopped', { cut, waiting: this.shutdownLimit.waiting, ms });
    const closed = Promise.allSettled([retired, this.dispose()]);
    await Promise.race([closed, clock.sleep(STOP_MARGIN_MS / 3)]);
  }

  async dispose(): Promise<void> {
    this.background.abort(new Error('the node stops'));
    await this.loops;
    await this.store.dispose();
  }

  private createHomes(self: string): HomeService {
    const { clock, log } = this.options;
    const { quarantine } = this;
    const isFair = this.settings.scheduling?.fairness.isEnabled === true;
    const admission = this.tenants.createAdmission(self, isFair);
    const bounds = toServiceBounds(this.settings);
    const homes = new HomeService({ clock, log, quarantine, admission, ...bounds });
    this.homes = homes;
    const { targets } = this.directory;
    targets.onDidChange(() => {
      homes.setTargets(targets.listValues());
    });
    return homes;
  }

  private createHandover(
    channel: DatagramChannel,
    homes: HomeService,
    registry: Registry,
  ): HandoverSharing {
    const { directory } = this;
    const handover = new HandoverSharing({
      ...this.options,
      channel,
      homes,
      quotaReturns: this.tenants.returns,
      isEnabled: () => this.settings.scheduling?.handover.isEnabled === true,
      hasPriority: (tenant, priority) => directory.hasPriority(tenant, priority),
      rankHomes: (service) => directory.rankHomes(service),
    });
    countHandovers(handover, registry);
    this.handover = this.store.add(handover);
    return handover;
  }

  private createRelays(self: string, registry: Registry): RelayComponents {
    const { clock, connector, log, protocol, random, settings } = this.options;
    const transport = this.store.add(
      new HttpTargetTransport({
        clock,
        registry,
        protocol: protocol.targets,
        connector: connector ?? new TcpTargetConnector(),
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        maxBufferedBytes: settings.responseMemoryBytes ?? DEFAULT_RESPONSE_MEMORY_BYTES,
      }),
    );
    const relays = new RelayComponents({
      clock,
      log,
      random,
      registry,
      self,
      transport,
      directory: this.directory,
      failureDomain: settings.failureDomain,
      isAuthentic: protocol.isAuthentic,
      isStopping: () => this.isStopping,
    });
    this.relays = this.store.add(relays);
    return relays;
  }

  private createQuarantinePersister(
    sharing: QuarantineSharing,
    service: DirectoryService,
  ): QuarantinePersister {
    const { quarantineStore, clock, log, settings } = this.options;
    return new QuarantinePersister({
      clock,
      log,
      sharing,
      quarantine: this.quarantine,
      store: quarantineStore,
      isReader: () => service.isFollower,
      isFirstStart: settings.isFirstStart,
      onDidRestore: this.directory.targets.onDidRestore,
    });
  }

  private async openFront(
    selector: HomeSelector,
    homes: HomeService,
    { dispatcher, notices, paths }: RelayComponents,
    registry: Registry,
  ): Promise<FrontServer> {
    const { clock, log, protocol, random, settings } = this.options;
    const runner = new RequestRunner({
      clock,
      selector,
      dispatcher,
      notices,
      quarantine: this.quarantine,
      keys: this.tenants.keys,
      paths,
      shutdownLimit: this.shutdownLimit,
      failureDomain: settings.failureDomain,
      listTargets: (service) => homes.listTargets(service),
      isAuthentic: protocol.isAuthentic,
      listTargetHeaders: protocol.listTargetHeaders,
    });
    const front = new FrontServer({
      clock,
      log,
      random,
      runner,
      directory: this.directory,
      picker: new DestinationPicker(random),
      callers: protocol.callers,
      keys: this.tenants.keys,
      isConfigurationOutdated: () => this.isConfigurationOutdated(),
      isConfigurationCurrent: () => this.isConfigurationCurrent(),
      requestLog: new RequestLog({ clock, log, registry, directory: this.directory }),
      budget: createCallerMemory(settings.callerMemoryBytes, registry),
      maxConnections: this.connectionLimits.callers,
    });
    this.store.add(front);
    await listenOn(front.server, settings.frontAddress);
    return front;
  }

  private isReady(): boolean {
    const isInformed =
      this.directory.getCatalog() !== undefined && this.homes?.hasReceivedTargets === true;
    const isServing = this.tenants.isServing() && !this.isConfigurationOutdated();
    return isInformed && !this.isStopping && isServing;
  }

  /** Whether this node has known of a newer configuration for too long to serve requests by its own. */
  private isConfigurationOutdated(): boolean {
    const { applyMs } = this.settings.tenants;
    const ageMs = this.directory.announcedVersions.getOldestAgeMs();
    return applyMs > 0 && ageMs > applyMs * MAX_OUTDATED_SHARE;
  }

  /** Whether this node has each configuration that has to be in force; always without a time for that. */
  private isConfigurationCurrent(): boolean {
    const { applyMs } = this.settings.tenants;
    const { announcedVersions, catalog } = this.directory;
    if (applyMs === 0) return true;
    return announcedVersions.findNewest() === undefined && catalog.getAgeMs() < applyMs;
  }

  private makeMember(address: string): IMember {
    const { capacity, failureDomain, stateAddress } = this.options.settings;
    const { incarnation } = this;
    return { address, capacity, failureDomain, stateAddress, incarnation, canRelay: true };
  }

  private get connectionLimits(): IConnectionLimits {
    return this.options.settings.connections ?? DEFAULT_CONNECTION_LIMITS;
  }

  private async listen(server: Server, address: string): Promise<void> {
    setServerLimits(server, this.connectionLimits.others);
    await listenOn(server, address);
    this.store.add(toDisposable(() => closeServerImmediately(server)));
  }
}

function toServiceBounds(settings: IDirectNodeSettings): IServiceBounds {
  const { floorShare, retryBurst, retryRatio, retryWindowMs, scheduling } = settings;
  return {
    floorShare,
    ...(scheduling === undefined ? {} : { scheduling }),
    retries: { windowMs: retryWindowMs, ratio: retryRatio, burst: retryBurst },
  };
}
