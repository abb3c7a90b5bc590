/** Serves the status of the fleet's nodes, restricted to what the operator may see. */
import { create } from '@bufbuild/protobuf';
import type { InvariantRegistry } from '@parsleymux/base';
import { InvariantName } from '@parsleymux/base';
import type { ConfigService } from '@parsleymux/config';
import type { GetNodeStatusResponse, NodeStatus } from '@parsleymux/schema';
import { NodeStatusSchema, StatusResponseSchema } from '@parsleymux/schema';
import type { AccessControl, IOperator } from '../../access/common/accessControl.js';
import type { StatusProvider } from '../../status/common/statusProvider.js';
import type { IAdminResponse, IAdminRequest, IAdminRoute } from './adminRoute.js';
import { AdminHandler, createResponse } from './adminRoute.js';

/** Options of a {@link StatusHandler}. */
export interface IStatusHandlerOptions {
  readonly status: StatusProvider;
  readonly config: ConfigService;
  readonly access: AccessControl;
  readonly invariants: InvariantRegistry;
}

/** Handles `/v1/status`. */
export class StatusHandler extends AdminHandler {
  constructor(private readonly options: IStatusHandlerOptions) {
    super();
  }

  override listRoutes(): readonly IAdminRoute[] {
    return [
      {
        method: 'GET',
        path: '/v1/status',
        action: 'status.show',
        handle: (request) => this.getStatus(request),
      },
    ];
  }

  private async getStatus(request: IAdminRequest): Promise<IAdminResponse> {
    const { operator, signal } = request;
    const member = request.query.get('member') ?? operator.member;
    await this.options.access.checkMember(operator, member, 'status.show', signal);
    const fleetStatus = await this.options.status.getStatus(operator.member, signal);
    const newest = this.getNewestRevision(operator, fleetStatus.nodes);
    const nodes = fleetStatus.nodes.map((node) => this.buildNodeStatus(node, operator, newest));
    const inForce = nodes.filter((node) => node.inForce).length;
    const memberConfig = this.options.config.getCurrent().members.get(operator.member);
    const response = create(StatusResponseSchema, {
      memberRevision: memberConfig?.memberRevision ?? 0n,
      fleetRevision: operator.isFleet ? newest : 0n,
      nodesInForce: inForce,
      nodesBehind: nodes.length - inForce,
      silentNodes: [...fleetStatus.silentNodes],
      nodes,
    });
    return createResponse(StatusResponseSchema, response);
  }

  /** For a member, the fleet revision of its newest change; for the fleet, the newest of all nodes. */
  private getNewestRevision(operator: IOperator, nodes: readonly GetNodeStatusResponse[]): bigint {
    const current = this.options.config.getCurrent();
    if (!operator.isFleet) return current.members.get(operator.member)?.fleetRevision ?? 0n;
    return nodes.reduce((newest, node) => {
      return node.fleetRevision > newest ? node.fleetRevision : newest;
    }, BigInt(current.fleetRevision));
  }

  /** Filters shards again, whatever the provider returns, so that those of other members stay hidden. */
  private buildNodeStatus(
    node: GetNodeStatusResponse,
    operator: IOperator,
    newest: bigint,
  ): NodeStatus {
    const shards = node.shards.filter((shard) => shard.member === operator.member);
    this.options.invariants.check(
      InvariantName.MemberIsolation,
      shards.length === node.shards.length,
      () => `status of ${node.node} held shards of other members`,
    );
    return create(NodeStatusSchema, {
      node: node.node,
      failureDomain: node.failureDomain,
      ready: node.ready,
      leaving: node.leaving,
      inForce: node.fleetRevision >= newest,
      fleetRevision: operator.isFleet ? node.fleetRevision : 0n,
      shards,
    });
  }
}
