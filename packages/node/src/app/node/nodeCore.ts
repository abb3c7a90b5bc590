/** The parts of a node that decide and serve, joined together. Ports are opened by MuxNode. */
import { randomInt } from 'node:crypto';
import type { Clock, InvariantRegistry, Logger, RandomSource } from '@parsleymux/base';
import { DisposableStore, SeededRandom } from '@parsleymux/base';
import { ClaimGuard } from '@parsleymux/claims';
import { ConfigDistributor } from '@parsleymux/config';
import type { INode, PeerAuthenticator } from '@parsleymux/fleet';
import { ListedMembershipService, PeerClients, RendezvousPlacement } from '@parsleymux/fleet';
import { openHttpPlatform } from '@parsleymux/platform';
import { HttpTargetTransport, LocalHomeService, TableEjectionLedger } from '@parsleymux/routing';
import type { Limits, NodeSettings, Timing } from '@parsleymux/schema';
import { HomeRouter } from '../../entry/common/homeRouter.js';
import { HopClient } from '../../hop/node/hopClient.js';
import { HopServer } from '../../hop/node/hopServer.js';
import type { NodeMetrics } from '../../metrics/node/nodeMetrics.js';
import { ConnectClaimPeer } from '../../peer/node/connectClaimPeer.js';
import { LivePeerSource } from '../../peer/node/connectConfigPeer.js';
import type { NodeState } from '../common/nodeState.js';

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
  readonly log: Logger;
}

/** The joined parts. Disposing of `store` closes all of them. */
export interface INodeCore {
  readonly store: DisposableStore;
  readonly random: RandomSource;
  readonly membership: ListedMembershipService;
  readonly clients: PeerClients;
  readonly peers: LivePeerSource;
  readonly config: ConfigDistributor;
  readonly guard: ClaimGuard;
  readonly home: LocalHomeService;
  readonly router: HomeRouter;
  readonly hopServer: HopServer;
  readonly platform: ReturnType<typeof openHttpPlatform>;
}

/**
 * Builds the parts from the lowest layer up.
 *
 * @example
 * const core = createNodeCore(options);
 * await core.store.dispose();
 */
export function createNodeCore(options: INodeCoreOptions): INodeCore {
  const { settings, timing, self, clock, invariants } = options;
  const store = new DisposableStore();
  const random = new SeededRandom(randomInt(MAX_SEED));
  const platform = store.add(openHttpPlatform({ url: settings.platformUrl }));
  const membership = store.add(
    new ListedMembershipService({
      self,
      vms: platform.vms,
      clock,
      random,
      pollMs: timing.vmListPollMs,
    }),
  );
  const { authenticator } = options;
  const clients = store.add(new PeerClients({ authenticator, membership, clock }));
  const peers = new LivePeerSource({ clients, membership, random, self: self.address });
  const config = new ConfigDistributor({
    platform,
    peers,
    clock,
    random,
    invariants,
    pollMs: timing.configPollMs,
    isolationLimitMs: timing.isolationLimitMs,
  });
  const shared = { ...options, store, random, platform, membership, clients, peers, config };
  const guard = createGuard(shared);
  const home = createHome(shared, guard);
  const router = createRouter(shared, home);
  const hopServer = new HopServer({
    clock,
    config,
    home,
    state: options.state,
    maxBodyBytes: options.limits.requestBodyBytes,
  });
  return {
    store,
    random,
    membership,
    clients,
    peers,
    config,
    guard,
    home,
    router,
    hopServer,
    platform,
  };
}

type ICoreParts = INodeCoreOptions &
  Pick<INodeCore, 'store' | 'random' | 'platform' | 'membership' | 'clients' | 'config'>;

function createGuard(parts: ICoreParts): ClaimGuard {
  const { platform, membership, clock, random, invariants, self, timing, limits } = parts;
  return parts.store.add(
    new ClaimGuard({
      table: platform.table,
      objects: platform.objects,
      clock,
      random,
      invariants,
      nodeAddress: self.address,
      peer: new ConnectClaimPeer(parts.clients),
      isLive: (address) => membership.getLiveNodes().some((node) => node.address === address),
      groupMs: timing.claimGroupMs,
      maxAnswerBytes: limits.answerBodyBytes,
    }),
  );
}

function createHome(parts: ICoreParts, guard: ClaimGuard): LocalHomeService {
  const { platform, clock, random, invariants, self, config } = parts;
  const node = self.address;
  return parts.store.add(
    new LocalHomeService({
      configService: config,
      clock,
      random,
      transport: parts.store.add(
        new HttpTargetTransport({ clock, invariants, registry: parts.metrics.registry }),
      ),
      guard,
      ledger: new TableEjectionLedger({ table: platform.table, clock, invariants, node }),
      invariants,
      maxAnswerBytes: parts.limits.answerBodyBytes,
    }),
  );
}

function createRouter(parts: ICoreParts, home: LocalHomeService): HomeRouter {
  const { clock, authenticator, membership, config, metrics, store } = parts;
  const hop = store.add(new HopClient({ clock, authenticator }));
  const placement = new RendezvousPlacement();
  placement.setNodes(membership.getLiveNodes());
  store.add(
    membership.onDidChange((nodes) => {
      placement.setNodes(nodes);
    }),
  );
  return new HomeRouter({
    clock,
    config,
    membership,
    placement,
    hop,
    home,
    self: parts.self.address,
    onDidTry: (outcome) => {
      metrics.recordHopTry(outcome);
    },
  });
}
