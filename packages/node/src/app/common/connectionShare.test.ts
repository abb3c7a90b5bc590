import assert from 'node:assert/strict';
import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { MemberConfigSchema } from '@parsleymux/schema';
import { computeConnectionShare, findConnectionShare } from './connectionShare.js';

test('a share is a quarter of the limit, at least the slots, and never above the limit', () => {
  assert.equal(computeConnectionShare({ slots: 4, maxConnections: 400 }), 100);
  assert.equal(computeConnectionShare({ slots: 4, maxConnections: 8 }), 4);
  assert.equal(computeConnectionShare({ slots: 4, maxConnections: 2 }), 2);
  assert.equal(computeConnectionShare({ slots: 1, maxConnections: 1 }), 1);
});

test("a member's share comes from its own target, also when another member lists the same address", () => {
  const makeMember = (member: string, maxConnections: number) =>
    create(MemberConfigSchema, {
      member,
      intent: {
        member,
        services: [{ name: 's', targets: [{ address: '10.0.0.1:80', slots: 1, maxConnections }] }],
      },
    });
  const members = new Map(
    [makeMember('a', 400), makeMember('b', 40)].map((config) => [config.member, config]),
  );
  const config = { fleetRevision: 1, members };
  assert.equal(findConnectionShare(config, 'a', '10.0.0.1:80'), 100);
  assert.equal(findConnectionShare(config, 'b', '10.0.0.1:80'), 10);
  assert.equal(findConnectionShare(config, 'c', '10.0.0.1:80'), 8);
});
