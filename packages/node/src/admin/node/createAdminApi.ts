/** Connects the administration API to the components of this node. */
import type { Clock, InvariantRegistry, Logger } from '@parsleymux/base';
import { IntentValidator, PlanBuilder, PlanStore } from '@parsleymux/config';
import type { ClaimSettler } from '@parsleymux/operators';
import { AdminApi, AuditLog, BurnReader, KeyStore } from '@parsleymux/operators';
import type { INodeCore } from '../../app/node/nodeCore.js';
import { PeerStatusProvider } from './peerStatusProvider.js';

/** Dependencies of the administration API. */
export interface IAdminApiDependencies {
  readonly core: INodeCore;
  readonly claims: ClaimSettler;
  readonly clock: Clock;
  readonly invariants: InvariantRegistry;
  readonly log: Logger;
  /** Peer address of this node. */
  readonly self: string;
  /** The fleet's key. A client that presents it may create the first operator key. */
  readonly bootstrapSecret: string | undefined;
  /** Addresses that no member may declare as a target. */
  readonly listReservedAddresses: () => readonly string[];
}

/**
 * Builds the API. Any node can serve it, since all persistent state is in the platform's table.
 *
 * @example
 * const server = new AdminServer(createAdminApi(dependencies));
 */
export function createAdminApi(dependencies: IAdminApiDependencies): AdminApi {
  const { core, clock, invariants, log } = dependencies;
  const { platform, random, membership, clients } = core;
  const plans = new PlanStore({
    platform,
    clock,
    random,
    validator: new IntentValidator({ listReservedAddresses: dependencies.listReservedAddresses }),
    builder: new PlanBuilder(),
    // Without this, the change would be announced only after some node's next poll.
    onDidConfirm: (fleetRevision) => core.config.receiveAnnouncement(fleetRevision),
  });
  return new AdminApi({
    plans,
    keys: new KeyStore({ table: platform.table, clock, random }),
    audit: new AuditLog({ table: platform.table, clock }),
    config: core.config,
    status: new PeerStatusProvider({ membership, clients, self: dependencies.self }),
    claims: dependencies.claims,
    burn: new BurnReader({ table: platform.table, config: core.config, clock }),
    clock,
    invariants,
    logger: log,
    ...(dependencies.bootstrapSecret === undefined
      ? {}
      : { bootstrapSecret: dependencies.bootstrapSecret }),
  });
}
