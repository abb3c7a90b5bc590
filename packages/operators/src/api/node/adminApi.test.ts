import assert from 'node:assert/strict';
import { once } from 'node:events';
import { readFileSync } from 'node:fs';
import { connect } from 'node:net';
import { test } from 'node:test';
import { create, toJson } from '@bufbuild/protobuf';
import { createSilentLogger, InvariantName, ResultCode } from '@parsleymux/base';
import { createTestIntent } from '@parsleymux/config/testing';
import type { Intent } from '@parsleymux/schema';
import { GetNodeStatusResponseSchema, IntentSchema } from '@parsleymux/schema';
import type { IApiFixture } from '../../testing/apiFixture.js';
import { startApiFixture } from '../../testing/apiFixture.js';

async function withApi(
  run: (api: IApiFixture, ownKey: string, otherKey: string) => Promise<void>,
  options: Parameters<typeof startApiFixture>[0] = {},
): Promise<void> {
  const api = await startApiFixture(options);
  try {
    const own = await api.keys.create({ member: 'dobrescu', note: '', operator: 'test' });
    const other = await api.keys.create({ member: 'donautal', note: '', operator: 'test' });
    await run(api, own.key, other.key);
  } finally {
    await api.dispose();
  }
}

function toBody(intent: Intent) {
  return toJson(IntentSchema, intent);
}

test('an intent becomes a plan, and the plan takes effect when it is confirmed', async () => {
  await withApi(async (api, ownKey) => {
    const plan = await api.call(
      'POST',
      '/v1/intents',
      ownKey,
      toBody(createTestIntent('dobrescu')),
    );
    assert.equal(plan.status, 201, plan.text);
    const before = await api.call('GET', '/v1/intent', ownKey);
    assert.equal(before.body.memberRevision, '0');
    const path = `/v1/plans/${String(plan.body.id)}`;
    const confirmed = await api.call('POST', `${path}/confirm`, ownKey);
    assert.equal(confirmed.body.state, 'PLAN_STATE_CONFIRMED');
    assert.equal((await api.call('POST', `${path}/confirm`, ownKey)).status, 200);
    assert.equal((await api.call('GET', '/v1/intent', ownKey)).body.memberRevision, '1');
    assert.equal((await api.call('DELETE', path, ownKey)).body.name, 'PlanAlreadyDecided');
    const drain = { target: '127.0.0.2:9001', action: 'drain' };
    const drained = await api.call('POST', '/v1/targets', ownKey, drain);
    assert.equal(drained.status, 201, drained.text);
    assert.match(drained.text, /"duringSlots":4,"afterSlots":4/);
  });
});

test('error responses contain the result code, its name and the run state', async () => {
  await withApi(async (api, ownKey) => {
    const broken = await api.call(
      'POST',
      '/v1/intents',
      ownKey,
      '{"member": "dobrescu", "sevices": []}',
    );
    assert.equal(broken.status, 400);
    assert.equal(broken.body.code, ResultCode.MalformedIntent);
    assert.match(String(broken.body.message), /services/);
    const floor = createTestIntent('dobrescu', { floorSlots: 9 });
    const tooHigh = await api.call('POST', '/v1/intents', ownKey, toBody(floor));
    assert.equal(tooHigh.body.runState ?? tooHigh.text, 'not-run');
    assert.equal((await api.call('GET', '/v1/plans/none', ownKey)).body.name, 'PlanNotFound');
    assert.equal((await api.call('GET', '/v2/plans', ownKey)).status, 404);
    assert.equal((await api.call('DELETE', '/v1/intent', ownKey)).status, 405);
    api.platform.table.faults.isUnavailable = true;
    const out = await api.call('GET', '/v1/audit', ownKey);
    assert.equal(out.status, 503);
    assert.ok(Number(out.body.retryAfterMs) > 0);
  });
});

/*
 * Guards against operators who read or change another member's data by naming that member in the
 * query, in an intent or in a key's path, if the member is taken from the request instead of the key.
 */
test("every attempt to access another member's data is rejected and audited without its name", async () => {
  await withApi(async (api, ownKey, otherKey) => {
    const plan = await api.call(
      'POST',
      '/v1/intents',
      otherKey,
      toBody(createTestIntent('donautal')),
    );
    const otherKeyRow = (await api.keys.list('donautal'))[0];
    const attempts: readonly (readonly [string, string, unknown?])[] = [
      ['GET', '/v1/intent?member=donautal'],
      ['POST', '/v1/intents', toBody(createTestIntent('donautal'))],
      ['GET', '/v1/keys?member=donautal'],
      ['DELETE', `/v1/keys/${otherKeyRow?.id ?? ''}?member=donautal`],
      ['GET', '/v1/audit?member=donautal'],
      ['GET', '/v1/status?member=donautal'],
      ['POST', '/v1/keys', { member: '@fleet' }],
    ];
    for (const [method, path, body] of attempts) {
      const result = await api.call(method, path, ownKey, body);
      assert.equal(result.status, 403, `${method} ${path} ${result.text}`);
      assert.doesNotMatch(result.text, /donautal/);
    }
    const path = `/v1/plans/${String(plan.body.id)}`;
    assert.equal((await api.call('GET', path, ownKey)).body.name, 'PlanNotFound');
    assert.equal((await api.call('POST', `${path}/confirm`, ownKey)).body.name, 'PlanNotFound');
    const log = await api.call('GET', '/v1/audit', ownKey);
    const entries = log.body.entries as { readonly code: number }[];
    assert.equal(
      entries.filter((entry) => entry.code === ResultCode.Forbidden).length,
      attempts.length,
    );
    assert.doesNotMatch(log.text, /donautal/);
    const otherLog = await api.call('GET', '/v1/audit', otherKey);
    assert.doesNotMatch(otherLog.text, /dobrescu|5002/);
  });
});

test('the rejection of a taken host name or address does not disclose who uses it', async () => {
  await withApi(async (api, ownKey, otherKey) => {
    const first = createTestIntent('donautal', { host: 'desk.example' });
    const plan = await api.call('POST', '/v1/intents', otherKey, toBody(first));
    await api.call('POST', `/v1/plans/${String(plan.body.id)}/confirm`, otherKey);
    const sameHost = createTestIntent('dobrescu', {
      host: 'desk.example',
      targets: ['127.0.0.9:1'],
      floorSlots: 4,
    });
    const host = await api.call('POST', '/v1/intents', ownKey, toBody(sameHost));
    assert.equal(host.body.message, 'the host name "desk.example" is taken');
    const target = await api.call(
      'POST',
      '/v1/intents',
      ownKey,
      toBody(createTestIntent('dobrescu')),
    );
    assert.equal(target.body.message, 'the target address "127.0.0.1:9001" is taken');
  });
});

test('status contains only shards of the operator’s member, and no revision of the fleet', async () => {
  await withApi(async (api, ownKey) => {
    const shards = ['dobrescu', 'donautal'].map((member) => ({ member, service: 'booking' }));
    const node = create(GetNodeStatusResponseSchema, {
      node: '127.0.0.1:1',
      fleetRevision: 70n,
      shards,
    });
    api.status.found = { nodes: [node], silentNodes: ['127.0.0.2:1'] };
    const result = await api.call('GET', '/v1/status', ownKey);
    assert.doesNotMatch(result.text, /donautal|70/);
    assert.match(result.text, /"inForce":true/);
    assert.equal(api.invariants.getViolationCount(InvariantName.MemberIsolation), 1);
  });
});

test('wrong keys are rejected and rate limited, and revoked keys are rejected within seconds', async () => {
  await withApi(async (api, ownKey) => {
    const created = await api.call('POST', '/v1/keys', ownKey, { note: 'night shift' });
    const key = String(created.body.key);
    const info = created.body.info as { readonly id: string };
    assert.equal((await api.call('GET', '/v1/intent', key)).status, 200);
    assert.doesNotMatch(
      [...api.platform.table.getRows().values()].map((row) => row.value).join(),
      new RegExp(key.slice(-43)),
    );
    assert.equal((await api.call('DELETE', `/v1/keys/${info.id}`, ownKey)).status, 200);
    assert.equal((await api.call('GET', '/v1/intent', key)).status, 401);
    const rotated = await api.call('POST', `/v1/keys/${info.id}/rotate`, ownKey, { overlapS: 60 });
    assert.equal((await api.call('GET', '/v1/intent', String(rotated.body.key))).status, 200);
    assert.equal(
      (await api.call('GET', '/v1/intent', key)).status,
      401,
      'rotation does not restore a revoked key',
    );
    const forged = `${ownKey.slice(0, -43)}${'A'.repeat(43)}`;
    const statuses: number[] = [];
    for (let count = 0; count < 25; count += 1) {
      statuses.push((await api.call('GET', '/v1/intent', forged)).status);
    }
    assert.equal(statuses[0], 401);
    assert.equal(statuses.at(-1), 429);
  });
});

test('the first key of the fleet is created once, by a client that presents the secret', async () => {
  await withApi(
    async (api, ownKey) => {
      assert.equal((await api.call('POST', '/v1/bootstrap', 'wrong')).status, 403);
      const first = await api.call('POST', '/v1/bootstrap', 'fleet-secret');
      assert.equal(first.status, 201, first.text);
      assert.equal((await api.call('POST', '/v1/bootstrap', 'fleet-secret')).status, 403);
      const fleet = String(first.body.key);
      const member = await api.call('POST', '/v1/keys', fleet, { member: 'new-firm' });
      assert.match(String(member.body.key), /^pmx_new-firm_/);
      assert.equal((await api.call('GET', '/v1/intent?member=dobrescu', fleet)).status, 403);
      assert.equal((await api.call('GET', '/v1/intent', fleet)).status, 403);
      assert.equal((await api.call('GET', '/v1/status', ownKey)).status, 200);
    },
    { bootstrapSecret: 'fleet-secret' },
  );
});

/*
 * Guards against a client that creates the fleet's first key by guessing the secret, with thousands of
 * attempts a second, before the fleet's operators do: wrong attempts must be rate limited.
 */
test('guessing the secret for the first key is rate limited and audited', async () => {
  await withApi(
    async (api) => {
      const statuses: number[] = [];
      for (let count = 0; count < 25; count += 1) {
        statuses.push((await api.call('POST', '/v1/bootstrap', `guess-${count}`)).status);
      }
      assert.equal(statuses[0], 403);
      assert.equal(statuses.at(-1), 429);
      const rows = [...api.platform.table.getRows().keys()];
      assert.ok(rows.some((key) => key.startsWith('audit/@fleet/')));
    },
    { bootstrapSecret: 'fleet-secret' },
  );
});

test("one member's flood of requests and large intents do not affect other members", async () => {
  await withApi(
    async (api, ownKey, otherKey) => {
      const huge = await api.call('POST', '/v1/intents', ownKey, `"${'x'.repeat(3000)}"`);
      assert.equal(huge.status, 413);
      const flood = Array.from({ length: 30 }, () => api.call('GET', '/v1/intent', ownKey));
      const statuses = (await Promise.all(flood)).map((result) => result.status);
      assert.ok(statuses.includes(429));
      assert.equal((await api.call('GET', '/v1/intent', otherKey)).status, 200);
    },
    { limits: { requestsPerSecond: 1, requestBurst: 5, intentBytes: 2000 } },
  );
});

test('claims of the operator’s member are shown and settled, with an entry in the audit log', async () => {
  await withApi(async (api, ownKey) => {
    assert.equal((await api.call('GET', '/v1/claims/order-2', ownKey)).status, 404);
    assert.match((await api.call('GET', '/v1/claims/order-1', ownKey)).text, /unknown/);
    const settle = { outcome: 'ran', note: 'asked the depot' };
    const settled = await api.call('POST', '/v1/claims/order-1/settle', ownKey, settle);
    assert.equal(settled.status, 200, settled.text);
    assert.equal(api.claims.settled[0]?.member, 'dobrescu');
    assert.match((await api.call('GET', '/v1/audit', ownKey)).text, /RAN: asked the depot/);
  });
});

test('the documentation of the API lists exactly the operations that exist', async () => {
  await withApi((api) => {
    const page = readFileSync(new URL('../../../../../docs/ADMIN-API.md', import.meta.url), 'utf8');
    const listed = [...page.matchAll(/^\| `([A-Z]+ \/v1[^`]*)`/gm)].map((match) => match[1]);
    assert.deepEqual(listed.sort(), [...api.operations].sort());
    return Promise.resolve();
  });
});

/*
 * Guards against internal errors in the log when an operator interrupts a command: the connection ends
 * in the middle of a request's body, and the failed read is handled as a fault of the node.
 */
test('a disconnect of an operator is counted, and no error is logged', async () => {
  const lines: unknown[] = [];
  const logger = { ...createSilentLogger(), error: (line: unknown) => lines.push(line) };
  await withApi(
    async (api, ownKey) => {
      const { hostname, port } = new URL(api.url);
      const socket = connect({ host: hostname, port: Number(port) });
      socket.write(`POST /v1/intents HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${ownKey}\r\n`);
      socket.write('expect: 100-continue\r\ncontent-length: 100\r\n\r\n');
      await once(socket, 'data');
      socket.write('{');
      socket.destroy();
      const isCounted = () => api.getCounts().get(ResultCode.CallerGone) === 1;
      while (!isCounted()) await new Promise((resolve) => setImmediate(resolve));
      assert.deepEqual(lines, []);
    },
    { logger: logger as never },
  );
});
