/** Formats the fleet's status as text. */
import type { NodeStatus, StatusResponse } from '@parsleymux/schema';
import { formatInstant, formatTable } from './table.js';

/**
 * Formats which nodes have the newest revision in force, and the health status of each target with
 * its evidence.
 *
 * @example
 * console.log(formatStatus(status));
 */
export function formatStatus(status: StatusResponse): string {
  const revision =
    status.fleetRevision > 0n
      ? `fleet revision ${status.fleetRevision}`
      : `member revision ${status.memberRevision}`;
  const nodes = status.nodes.map((node) => [
    node.node,
    node.failureDomain,
    node.inForce ? 'yes' : 'no',
    describeState(node),
  ]);
  return [
    `${revision}: in force on ${status.nodesInForce} nodes, not yet on ${status.nodesBehind}, ` +
      `no answer from ${status.silentNodes.length}`,
    '',
    formatTable(['node', 'failure domain', 'in force', 'state'], nodes),
    ...status.silentNodes.map((node) => `${node}  no answer`),
    '',
    formatTargets(status.nodes),
  ].join('\n');
}

function describeState(node: NodeStatus): string {
  if (node.leaving) return 'leaving';
  return node.ready ? 'ready' : 'not ready';
}

function formatTargets(nodes: readonly NodeStatus[]): string {
  const rows = nodes.flatMap((node) =>
    node.shards.flatMap((shard) =>
      shard.targets.map((target) => [
        shard.service,
        target.address,
        target.verdict,
        String(target.slotsUsed),
        formatInstant(target.sinceMs),
        node.node,
        target.evidence,
      ]),
    ),
  );
  if (rows.length === 0) return 'no home reports targets';
  rows.sort((left, right) => left.join(' ').localeCompare(right.join(' ')));
  return formatTable(
    ['service', 'target', 'verdict', 'slots used', 'since', 'home', 'evidence'],
    rows,
  );
}
