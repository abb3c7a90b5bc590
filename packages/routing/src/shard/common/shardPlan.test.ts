import assert from 'node:assert/strict';
import { test } from 'node:test';
import { buildService, MEMBER } from '../../test/common/builders.js';
import { planShards } from './shardPlan.js';

test('a service that one node can handle is one shard, the domain with most slots first', () => {
  const [shard, ...rest] = planShards(MEMBER, buildService(16, { floorSlots: 40 }));
  assert.equal(rest.length, 0);
  assert.equal(shard?.id, 'dobrescu/booking');
  assert.equal(shard.failureDomains[0], 'domain-0');
  assert.equal(shard.floorSlots, 40);
});

test('a larger service is split, no target is lost, and the floors add up to no less', () => {
  const service = buildService(200, { floorSlots: 500 });
  const shards = planShards(MEMBER, service, 100);
  const targets = shards.flatMap((shard) => shard.targets.map((target) => target.address));
  assert.equal(new Set(targets).size, 200);
  assert.equal(targets.length, 200);
  assert.ok(shards.every((shard) => shard.targets.length <= 25));
  assert.ok(shards.reduce((sum, shard) => sum + shard.floorSlots, 0) >= 500);
});
