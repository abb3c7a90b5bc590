/** The status report of one shard. */
import { create } from '@bufbuild/protobuf';
import type { ShardStatus, TargetStatus } from '@parsleymux/schema';
import { ShardStatusSchema, TargetStatusSchema } from '@parsleymux/schema';
import { isConfiguredServing } from '../../ledger/common/capacityFloor.js';
import { HealthStatus } from '../../target/common/targetHandle.js';
import type { TargetHandle } from '../../target/common/targetHandle.js';
import type { IHomeContext } from './homeOptions.js';
import type { ServiceHome } from './serviceHome.js';

/** Describes the current state of the shard that a home serves. */
export function describeShard(home: ServiceHome, context: IHomeContext): ShardStatus {
  const service = home.getService().name;
  const handles = [...home.pool.handles.values()];
  return create(ShardStatusSchema, {
    member: home.member,
    service,
    shard: `${home.member}/${service}`,
    queued: home.pool.getQueued(),
    targets: handles.map((handle) => describeTarget(handle, home.member, context)),
  });
}

function describeTarget(handle: TargetHandle, member: string, context: IHomeContext): TargetStatus {
  const wallTimeMs = context.clock.getWallTime();
  const isServing = isConfiguredServing(handle.target, wallTimeMs);
  const ageMs = context.clock.getMonotonicTime() - handle.sinceMs;
  return create(TargetStatusSchema, {
    address: handle.address,
    verdict: isServing ? handle.standing : HealthStatus.Draining,
    evidence: handle.evidence,
    slotsUsed: handle.inUse,
    connections: context.transport.getConnectionCount(member, handle.address),
    sinceMs: BigInt(Math.round(wallTimeMs - ageMs)),
  });
}
