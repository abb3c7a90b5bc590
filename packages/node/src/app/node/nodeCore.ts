/** Creates and connects the components of a node; MuxNode opens its ports. */
import { randomInt } from 'node:crypto';
import type { Clock, InvariantRegistry, Logger, RandomSource } from '@parsleymux/base';
import { DisposableStore, SeededRandom } from '@parsleymux/base';
import { ConfigDistributor } from '@parsleymux/config';
import type { INode, PeerAuthenticator } from '@parsleymux/fleet';
import { ListedMembershipService, PeerClients, RendezvousPlacement } from '@parsleymux/fleet';
import { openHttpPlatform } from '@parsleymux/store';
import type { DispatchGuard } from '@parsleymux/routing';
import {
  HomeMetrics,
  HttpTargetTransport,
  LocalHomeService,
  TableEjectionLedger,
} from '@parsleymux/routing';
import type { Limits, NodeSettings, Timing } from '@parsleymux/schema';
import { HomeRouter } from '../../entry/common/homeRouter.js';
import { HopClient } from '../../hop/node/hopClient.js';
import { HopServer } from '../../hop/node/hopServer.js';
import type { NodeMetrics } from '../../metrics/node/nodeMetrics.js';
import { LivePeerSource } from '../../peer/node/connectConfigPeer.js';
import { ConnectTargetObserver } from '../../peer/node/connectTargetObserver.js';
import { makeConfigIntervals } from '../common/configIntervals.js';
import { findConnectionShare } from '../common/connectionShare.js';
import type { ITlsMaterial } from '../../tls/node/tlsFilesWatcher.js';
import type { IPortTls } from '../../tls/node/portTls.js';
import type { NodeState } from '../common/nodeState.js';
import type { IClaimComponents } from './claimComponents.js';
import { createClaimComponents } from './claimComponents.js';

const MAX_SEED = 0x7fff_ffff;

/** Options of {@link createNodeCore}. */
export interface INodeCoreOptions {
  readonly settings: NodeSettings;
  readonly limits: Limits;
  readonly timing: Timing;
  readonly self: INode;
  readonly authenticator: PeerAuthenticator;
  readonly clock: Clock;
  readonly invariants: InvariantRegistry;
  readonly state: NodeState;
  readonly metrics: NodeMetrics;
  readonly tls: IPortTls;
  readonly log: Logger;
}

/** The connected components. Disposing of `store` closes all of them. */
export interface INodeCore {
  readonly store: DisposableStore;
  readonly random: RandomSource;
  readonly membership: ListedMembershipService;
  readonly clients: PeerClients;
  readonly peers: LivePeerSource;
  readonly config: ConfigDistributor;
  readonly transport: HttpTargetTransport;
  readonly claims: IClaimComponents;
  readonly home: LocalHomeService;
  readonly router: HomeRouter;
  readonly hopServer: HopServer;
  readonly platform: ReturnType<typeof openHttpPlatform>;
}

/**
 * Creates the components, starting with the lowest layer.
 *
 * @example
 * const core = createNodeCore(options);
 * await core.store.dispose();
 */
export function createNodeCore(options: INodeCoreOptions): INodeCore {
  const fleet = createFleetComponents(options);
  const components: ICoreComponents = { ...options, ...fleet };
  const transport = createTransport(components);
  const claims = createClaimComponents({
    ...components,
    transport,
    registry: options.metrics.registry,
    nodeAddress: options.self.address,
  });
  const home = createHome(components, transport, claims.guard);
  const router = createRouter(components, home);
  const hopServer = createHopServer(components, home);
  return { ...fleet, transport, claims, home, router, hopServer };
}

/** The client of the platform, and the components that use it and the peers as sources. */
type IFleetComponents = Pick<
  INodeCore,
  'store' | 'random' | 'platform' | 'membership' | 'clients' | 'peers' | 'config'
>;

type ICoreComponents = INodeCoreOptions & IFleetComponents;

function createFleetComponents(options: INodeCoreOptions): IFleetComponents {
  const { self, clock, authenticator } = options;
  const store = new DisposableStore();
  const random = new SeededRandom(randomInt(MAX_SEED));
  const platform = store.add(openHttpPlatform({ url: options.settings.platformUrl }));
  const membership = store.add(
    new ListedMembershipService({
      self,
      vms: platform.vms,
      clock,
      random,
      pollMs: options.timing.vmListPollMs,
      seeds: options.settings.seedPeers,
    }),
  );
  const clients = store.add(
    new PeerClients({ authenticator, membership, clock, ...makePeerTls(options.tls) }),
  );
  const peers = new LivePeerSource({ clients, membership, random, self: self.address });
  const config = createConfig(options, { platform, peers, random, membership });
  return { store, random, platform, membership, clients, peers, config };
}

function createConfig(
  options: INodeCoreOptions,
  sources: Pick<IFleetComponents, 'platform' | 'peers' | 'random' | 'membership'>,
): ConfigDistributor {
  const { clock, invariants, timing } = options;
  const { membership, ...rest } = sources;
  return new ConfigDistributor({
    ...rest,
    clock,
    invariants,
    ...makeConfigIntervals(membership, timing.configPollMs),
    isolationLimitMs: timing.isolationLimitMs,
  });
}

function createTransport(components: ICoreComponents): HttpTargetTransport {
  const { clock, invariants, config, metrics } = components;
  return components.store.add(
    new HttpTargetTransport({
      clock,
      invariants,
      registry: metrics.registry,
      getConnectionLimit: (member, target) => {
        return findConnectionShare(config.getCurrent(), member, target);
      },
    }),
  );
}

function createHopServer(components: ICoreComponents, home: LocalHomeService): HopServer {
  const { clock, config, state } = components;
  return new HopServer({
    clock,
    config,
    home,
    state,
    isStale: () => config.isStale(),
    maxBodyBytes: components.limits.requestBodyBytes,
  });
}

function createHome(
  components: ICoreComponents,
  transport: HttpTargetTransport,
  guard: DispatchGuard,
): LocalHomeService {
  const { platform, clock, random, invariants, self, config, clients, membership, log } =
    components;
  const { registry } = components.metrics;
  const { table } = platform;
  return components.store.add(
    new LocalHomeService({
      configService: config,
      clock,
      random,
      transport,
      guard,
      ledger: new TableEjectionLedger({ table, clock, invariants, node: self.address }),
      invariants,
      observer: new ConnectTargetObserver({ clients, membership, random, self }),
      metrics: new HomeMetrics(registry),
      maxResponseBytes: components.limits.answerBodyBytes,
      onHealthStatusChange: ({ member, service, target, standing, reason }) => {
        log.info('target health status changed', { member, service, target, standing, reason });
      },
    }),
  );
}

function createRouter(components: ICoreComponents, home: LocalHomeService): HomeRouter {
  const { clock, authenticator, membership, config, metrics, store } = components;
  const hop = store.add(new HopClient({ clock, authenticator, tls: components.tls.peer }));
  const placement = new RendezvousPlacement();
  placement.setNodes(membership.getLiveNodes());
  store.add(
    membership.onDidChange((nodes) => {
      placement.setNodes(nodes);
      hop.closeRemovedPeers(nodes.map(({ address }) => address));
    }),
  );
  return new HomeRouter({
    clock,
    config,
    membership,
    placement,
    hop,
    home,
    self: components.self.address,
    isShuttingDown: () => components.state.isShuttingDown(),
    isStale: () => config.isStale(),
    onDidTry: (outcome) => {
      metrics.recordHopTry(outcome);
    },
  });
}

/** Certificates for control calls are read at start, so a renewed certificate authority needs a restart. */
function makePeerTls(tls: IPortTls): { readonly tls?: ITlsMaterial } {
  return tls.peer === undefined ? {} : { tls: tls.peer.getMaterial() };
}
