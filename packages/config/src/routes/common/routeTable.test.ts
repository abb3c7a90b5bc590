import assert from 'node:assert/strict';
import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import type { MemberConfig } from '@parsleymux/schema';
import { MemberConfigSchema, RouteSchema } from '@parsleymux/schema';
import type { IFleetConfig } from '../../fleetConfig/common/fleetConfig.js';
import { createTestIntent } from '../../testing/intents.js';
import { RouteMiss, RouteTable } from './routeTable.js';

function createConfig(member: string, host: string, fleetRevision: number): MemberConfig {
  const intent = createTestIntent(member, { host });
  intent.routes.push(
    create(RouteSchema, { name: 'deep', host, pathPrefix: '/deep/', methods: ['GET'] }),
  );
  return create(MemberConfigSchema, { member, intent, fleetRevision: BigInt(fleetRevision) });
}

function createFleet(...configs: readonly MemberConfig[]): IFleetConfig {
  const members = new Map(configs.map((config) => [config.member, config]));
  return { fleetRevision: 9, members };
}

function findMember(table: RouteTable, host: string): string | undefined {
  const found = table.match(host, '/x', 'POST');
  return typeof found === 'string' ? undefined : found.member;
}

test('the route with the longest path prefix that accepts the method is matched', () => {
  const table = new RouteTable(createFleet(createConfig('dobrescu', 'a.example', 1)));
  const deep = table.match('a.example', '/deep/x', 'GET');
  assert.ok(typeof deep !== 'string' && deep.route.name === 'deep');
  const post = table.match('a.example', '/deep/x', 'POST');
  assert.ok(typeof post !== 'string' && post.route.name === 'book');
  assert.equal(table.match('b.example', '/', 'GET'), RouteMiss.UnknownHost);
});

test('a change replaces the routes of the changed members only', () => {
  const unchanged = createConfig('dobrescu', 'a.example', 1);
  const table = new RouteTable(createFleet(unchanged, createConfig('donautal', 'b.example', 2)));
  const moved = createFleet(unchanged, createConfig('donautal', 'c.example', 3));
  table.update({ config: moved, members: ['donautal'] });
  assert.equal(findMember(table, 'a.example'), 'dobrescu');
  assert.equal(findMember(table, 'b.example'), undefined);
  assert.equal(findMember(table, 'c.example'), 'donautal');
});

/*
 * Guards against routing a host's requests to its former owner. After the host moved to another
 * member, both members' configurations contain it until the former owner's newer configuration can
 * be read; the order in which they are read must not decide.
 */
test('a host in two configurations belongs to the member that claimed it last', () => {
  const former = createConfig('dobrescu', 'a.example', 1);
  const newOwner = createConfig('donautal', 'a.example', 3);
  assert.equal(findMember(new RouteTable(createFleet(former, newOwner)), 'a.example'), 'donautal');
  assert.equal(findMember(new RouteTable(createFleet(newOwner, former)), 'a.example'), 'donautal');
  const table = new RouteTable(createFleet(former));
  table.update({ config: createFleet(former, newOwner), members: ['donautal'] });
  const released = createConfig('dobrescu', 'other.example', 2);
  table.update({ config: createFleet(released, newOwner), members: ['dobrescu'] });
  assert.equal(findMember(table, 'a.example'), 'donautal');
  assert.equal(findMember(table, 'other.example'), 'dobrescu');
});
