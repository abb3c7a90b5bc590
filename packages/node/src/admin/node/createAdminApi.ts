/** Joins the administration API to the parts of this node. */
import type { Clock, InvariantRegistry, Logger } from '@parsleymux/base';
import { IntentValidator, PlanBuilder, PlanStore } from '@parsleymux/config';
import type { ClaimSettler } from '@parsleymux/operators';
import { AdminApi, AuditLog, BurnReader, KeyStore } from '@parsleymux/operators';
import type { INodeCore } from '../../app/node/nodeCore.js';
import { PeerStatusProvider } from './peerStatusProvider.js';

/** Options of {@link createAdminApi}. */
export interface IAdminApiDependencies {
  readonly core: INodeCore;
  readonly claims: ClaimSettler;
  readonly clock: Clock;
  readonly invariants: InvariantRegistry;
  readonly log: Logger;
  /** Peer address of this node. */
  readonly self: string;
  /** The fleet's key: whoever proves it may make the first operator key. */
  readonly bootstrapSecret: string | undefined;
  /** Addresses that no member may name as a target. */
  readonly listReservedAddresses: () => readonly string[];
}

/**
 * Builds the API; any node serves it, since all that lasts is in the platform's table.
 *
 * @example
 * const server = new AdminServer(createAdminApi(parts));
 */
export function createAdminApi(parts: IAdminApiDependencies): AdminApi {
  const { core, clock, invariants, log } = parts;
  const { platform, random, membership, clients } = core;
  const plans = new PlanStore({
    platform,
    clock,
    random,
    validator: new IntentValidator({ listReservedAddresses: parts.listReservedAddresses }),
    builder: new PlanBuilder(),
    // Otherwise the change would wait for some node's next poll before anyone tells of it.
    onDidConfirm: (fleetRevision) => core.config.receiveAnnouncement(fleetRevision),
  });
  return new AdminApi({
    plans,
    keys: new KeyStore({ table: platform.table, clock, random }),
    audit: new AuditLog({ table: platform.table, clock }),
    config: core.config,
    status: new PeerStatusProvider({ membership, clients, self: parts.self }),
    claims: parts.claims,
    burn: new BurnReader({ table: platform.table, config: core.config, clock }),
    clock,
    invariants,
    logger: log,
    ...(parts.bootstrapSecret === undefined ? {} : { bootstrapSecret: parts.bootstrapSecret }),
  });
}
