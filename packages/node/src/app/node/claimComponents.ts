/** The components of a node that prevent duplicate execution of requests. */
import type { Clock, DisposableStore, InvariantRegistry, RandomSource } from '@parsleymux/base';
import {
  ClaimAdmin,
  ClaimGuard,
  ClaimMetrics,
  ClaimSweeper,
  GroupCommitter,
  Retention,
  TargetOutcomeLookUp,
} from '@parsleymux/claims';
import type { ConfigService } from '@parsleymux/config';
import type { ListedMembershipService, PeerClients } from '@parsleymux/fleet';
import type { IPlatform } from '@parsleymux/store';
import type { TargetTransport } from '@parsleymux/routing';
import type { Registry } from 'prom-client';
import type { Limits, Timing } from '@parsleymux/schema';
import { ConnectClaimPeer } from '../../peer/node/connectClaimPeer.js';

/** Options of {@link createClaimComponents}. */
export interface IClaimComponentsOptions {
  readonly store: DisposableStore;
  readonly platform: IPlatform;
  readonly clients: PeerClients;
  readonly membership: ListedMembershipService;
  readonly config: ConfigService;
  readonly transport: TargetTransport;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly invariants: InvariantRegistry;
  readonly limits: Limits;
  readonly timing: Timing;
  readonly registry: Registry;
  /** Peer address of this node. */
  readonly nodeAddress: string;
}

/** The guard of dispatches, the administration of claims, and the sweeper of expired claims. */
export interface IClaimComponents {
  readonly guard: ClaimGuard;
  readonly admin: ClaimAdmin;
  readonly sweeper: ClaimSweeper;
}

/**
 * Creates the components. All share one committer, so that concurrent claims are committed in one
 * transaction.
 *
 * @example
 * const { guard, admin, sweeper } = createClaimComponents(options);
 */
export function createClaimComponents(options: IClaimComponentsOptions): IClaimComponents {
  const { platform, membership, clock, random, timing, store } = options;
  const { table } = platform;
  const committer = new GroupCommitter({ table, clock, random, groupMs: timing.claimGroupMs });
  const peer = new ConnectClaimPeer(options.clients);
  const isLive = (address: string) => membership.isListed(address);
  const shared: ISharedComponents = { committer, peer, isLive };
  return {
    guard: store.add(createGuard(options, shared)),
    admin: new ClaimAdmin({ clock, ...shared }),
    sweeper: store.add(createSweeper(options, committer)),
  };
}

interface ISharedComponents {
  readonly committer: GroupCommitter;
  readonly peer: ConnectClaimPeer;
  readonly isLive: (address: string) => boolean;
}

function createGuard(options: IClaimComponentsOptions, shared: ISharedComponents): ClaimGuard {
  const { platform, clock, random, invariants, nodeAddress } = options;
  return new ClaimGuard({
    ...shared,
    table: platform.table,
    objects: platform.objects,
    clock,
    random,
    invariants,
    nodeAddress,
    metrics: new ClaimMetrics(options.registry),
    retentionS: options.timing.claimRetentionS,
    maxResponseBytes: options.limits.answerBodyBytes,
    lookUp: new TargetOutcomeLookUp({
      transport: options.transport,
      getTargets: (member, service) => listTargets(options.config, member, service),
    }),
  });
}

function createSweeper(options: IClaimComponentsOptions, committer: GroupCommitter): ClaimSweeper {
  const { platform, membership, clock, random, nodeAddress } = options;
  return new ClaimSweeper({
    table: platform.table,
    committer,
    clock,
    random,
    retention: new Retention(options.timing.claimRetentionS),
    nodeAddress,
    getLiveNodes: () => membership.getLiveNodes().map(({ address }) => address),
  });
}

function listTargets(config: ConfigService, member: string, service: string): readonly string[] {
  const intent = config.getCurrent().members.get(member)?.intent;
  const found = intent?.services.find(({ name }) => name === service);
  return found?.targets.map(({ address }) => address) ?? [];
}
