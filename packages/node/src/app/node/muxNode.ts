/** One node: opens its ports, connects its components, and shuts down without interrupting requests. */
import type { Clock, IDisposable, Logger } from '@parsleymux/base';
import {
  DisposableStore,
  InvariantName,
  InvariantRegistry,
  MuxError,
  ResultCode,
  RunState,
} from '@parsleymux/base';
import { registerConfigMetrics } from '@parsleymux/config';
import { makeControlHandler, PeerAuthenticator } from '@parsleymux/fleet';
import { registerAdminMetrics } from '@parsleymux/operators';
import type { Limits, NodeSettings, Timing } from '@parsleymux/schema';
import { AdminServer } from '../../admin/node/adminServer.js';
import { ClaimAdminSettler } from '../../admin/node/claimAdminSettler.js';
import { createAdminApi } from '../../admin/node/createAdminApi.js';
import { listReservedAddresses } from '../../admin/common/reservedAddresses.js';
import { CallerServer } from '../../entry/node/callerServer.js';
import { NodeMetrics } from '../../metrics/node/nodeMetrics.js';
import { createControlImplementation } from '../../peer/node/controlImplementation.js';
import { PeerServer } from '../../peer/node/peerServer.js';
import { StatusServer } from '../../status/node/statusServer.js';
import { NodeStage, NodeState } from '../common/nodeState.js';
import type { IPortTls } from '../../tls/node/portTls.js';
import { openPortTls } from '../../tls/node/portTls.js';
import { runBurnLoops } from './burnLoops.js';
import { loadFleetKeys } from './fleetKeys.js';
import type { INodeCore } from './nodeCore.js';
import { createNodeCore } from './nodeCore.js';

/** Space for the headers of the hop, in addition to those of the caller. */
const HOP_HEADER_BYTES = 16_384;

/** Options of a {@link MuxNode}. */
export interface IMuxNodeOptions {
  /** Settings with all defaults applied. */
  readonly settings: NodeSettings;
  readonly clock: Clock;
  readonly log: Logger;
}

/** Addresses in use, with the actual ports where the operating system chose them. */
export interface INodeAddresses {
  readonly caller: string;
  readonly peer: string;
  readonly admin: string;
  readonly status: string;
}

/**
 * Runs a node from its start to its shutdown.
 *
 * @example
 * const node = new MuxNode({ settings, clock: new SystemClock(), log });
 * const addresses = await node.start();
 * const interruptedRequests = await node.stopGracefully();
 */
export class MuxNode implements IDisposable {
  private readonly options: IMuxNodeOptions;
  private readonly store = new DisposableStore();
  private readonly background = new AbortController();
  private readonly invariants = new InvariantRegistry();
  private readonly state = new NodeState();
  private readonly limits: Limits;
  private readonly timing: Timing;
  private loops: Promise<unknown> = Promise.resolve();
  private callerServer: CallerServer | undefined;
  private core: INodeCore | undefined;

  constructor(options: IMuxNodeOptions) {
    this.options = options;
    const { limits, timing } = options.settings;
    if (limits === undefined || timing === undefined) throw createSettingsError();
    this.limits = limits;
    this.timing = timing;
  }

  /** Opens the ports and starts the loops. The node is ready once it has loaded the configuration. */
  async start(): Promise<INodeAddresses> {
    const { settings, clock, log } = this.options;
    this.logChanges();
    const metrics = new NodeMetrics({ invariants: this.invariants, state: this.state, log });
    const maxHeaderBytes = this.limits.headerBytes + HOP_HEADER_BYTES;
    // Peers forward requests of callers, each on a connection of its own.
    const maxConnections = this.limits.callerConnections;
    const tls = await openPortTls(settings.security, this.store, log);
    const peerServer = this.store.add(
      new PeerServer({ maxHeaderBytes, maxConnections, tls: tls.peer }),
    );
    const peer = await peerServer.listen(settings.peerAddress);
    const keys = await loadFleetKeys(settings.security?.fleetKeyFile ?? '');
    const authenticator = new PeerAuthenticator({ keys, clock, selfAddress: peer });
    const core = this.createCore(peer, authenticator, metrics, tls);
    this.core = core;
    this.openControl(peerServer, authenticator, core, peer);
    const status = await this.openStatus(core, metrics);
    const caller = await this.openCallers(core, metrics, tls);
    const admin = await this.openAdmin(core, metrics, keys, [peer, caller, status], tls);
    this.startLoops(core, metrics);
    return { caller, peer, admin, status };
  }

  /**
   * Leaves the fleet: notifies the balancer and the peers, finishes the requests in flight and closes.
   * Resolves with the number of requests that were interrupted because the time limit expired.
   */
  async stopGracefully(): Promise<number> {
    const { clock } = this.options;
    this.state.setStage(NodeStage.ShuttingDown);
    // The balancer lags: until it has received "not ready", it still sends new requests here. Closing
    // the port immediately would reject them at TCP, which callers can't distinguish from a fault.
    await clock.sleep(this.timing.shutdownNoticeMs);
    const limit = new AbortController();
    const timer = clock.startTimer(this.timing.shutdownLimitMs, () => {
      limit.abort();
    });
    const closed = this.callerServer?.dispose();
    await this.state.waitUntilIdle(limit.signal);
    const interrupted = this.recordInterrupted();
    // Outcomes that the platform has not stored yet exist only in this process.
    const flushed = this.core?.claims.guard.flush();
    await Promise.race([Promise.all([closed, flushed]), waitForAbort(limit.signal)]);
    void timer.dispose();
    await this.dispose();
    this.state.setStage(NodeStage.Stopped);
    return interrupted;
  }

  async dispose(): Promise<void> {
    this.background.abort(new Error('the node stops'));
    await this.loops;
    await this.store.dispose();
  }

  private recordInterrupted(): number {
    const interrupted = this.state.getInFlight();
    this.invariants.check(
      InvariantName.GracefulShutdown,
      interrupted === 0,
      () => `${interrupted} requests interrupted`,
    );
    return interrupted;
  }

  private createCore(
    peer: string,
    authenticator: PeerAuthenticator,
    metrics: NodeMetrics,
    tls: IPortTls,
  ): INodeCore {
    const core = createNodeCore({
      ...this.options,
      limits: this.limits,
      timing: this.timing,
      self: { address: peer, failureDomain: this.options.settings.failureDomain },
      authenticator,
      invariants: this.invariants,
      state: this.state,
      metrics,
      tls,
    });
    this.store.add(core.store);
    return core;
  }

  private openControl(
    server: PeerServer,
    authenticator: PeerAuthenticator,
    core: INodeCore,
    self: string,
  ): void {
    const implementation = createControlImplementation({
      config: core.config,
      peers: core.peers,
      claims: core.claims.guard.lookUpHandler,
      transport: core.transport,
      maxResponseBytes: this.limits.answerBodyBytes,
      home: core.home,
      state: this.state,
      self,
      failureDomain: this.options.settings.failureDomain,
    });
    const control = makeControlHandler({ implementation, authenticator });
    server.setHandlers({ authenticator, hop: core.hopServer, control });
  }

  private async openStatus(core: INodeCore, metrics: NodeMetrics): Promise<string> {
    const server = this.store.add(
      new StatusServer({
        registry: metrics.registry,
        getNotReadyReason: () => this.getNotReadyReason(core),
      }),
    );
    return server.listen(this.options.settings.statusAddress);
  }

  private async openCallers(core: INodeCore, metrics: NodeMetrics, tls: IPortTls): Promise<string> {
    this.callerServer = new CallerServer({
      clock: this.options.clock,
      config: core.config,
      router: core.router,
      state: this.state,
      metrics,
      limits: this.limits,
      timing: this.timing,
      tls: tls.caller,
      isIsolated: () => core.config.isIsolated(),
    });
    return this.callerServer.listen(this.options.settings.callerAddress);
  }

  private openAdmin(
    core: INodeCore,
    metrics: NodeMetrics,
    keys: readonly Uint8Array[],
    localAddresses: readonly string[],
    tls: IPortTls,
  ): Promise<string> {
    const { settings } = this.options;
    const [self = settings.peerAddress] = localAddresses;
    const bootstrapSecret = keys[0] === undefined ? undefined : Buffer.from(keys[0]).toString();
    const api = createAdminApi({
      ...this.options,
      core,
      claims: new ClaimAdminSettler(core.claims.admin),
      invariants: this.invariants,
      self,
      bootstrapSecret,
      listReservedAddresses: () =>
        listReservedAddresses({
          platformUrl: settings.platformUrl,
          localAddresses: [...localAddresses, settings.adminAddress],
          nodes: core.membership.getLiveNodes(),
        }),
    });
    registerConfigMetrics(metrics.registry, core.config);
    registerAdminMetrics(metrics.registry, api);
    const server = this.store.add(new AdminServer({ api, tls: tls.admin }));
    return server.listen(settings.adminAddress);
  }

  private startLoops(core: INodeCore, metrics: NodeMetrics): void {
    const { signal } = this.background;
    core.claims.sweeper.start();
    const { clock } = this.options;
    this.loops = Promise.allSettled([
      core.membership.run(signal),
      core.config.run(signal),
      runBurnLoops({ core, metrics, clock, store: this.store }, signal),
    ]);
    core.config.waitForReady(signal).then(
      () => {
        if (!this.state.isShuttingDown()) this.state.setStage(NodeStage.Serving);
      },
      () => undefined,
    );
  }

  private getNotReadyReason(core: INodeCore): string | undefined {
    if (this.state.getStage() !== NodeStage.Serving) return this.state.getStage();
    return core.config.isIsolated() ? 'isolated' : undefined;
  }

  private logChanges(): void {
    const { log } = this.options;
    this.store.add(
      this.state.onDidChangeStage((stage) => {
        log.info('stage', { stage });
      }),
    );
    this.store.add(
      this.invariants.onDidViolate(({ name, detail }) => {
        log.error('invariant violated', { name, detail });
      }),
    );
  }
}

function waitForAbort(signal: AbortSignal): Promise<void> {
  if (signal.aborted) return Promise.resolve();
  return new Promise((resolve) => {
    signal.addEventListener('abort', () => {
      resolve();
    });
  });
}

function createSettingsError(): MuxError {
  return new MuxError({
    code: ResultCode.SettingsInvalid,
    message: 'settings lack their defaults',
    runState: RunState.NotRun,
  });
}
