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
  run: (api: IApiFixture, own: string, rival: string) => Promise<void>,
  options: Parameters<typeof startApiFixture>[0] = {},
): Promise<void> {
  const api = await startApiFixture(options);
  try {
    const own = await api.keys.create({ member: 'dobrescu', note: '', operator: 'test' });
    const rival = await api.keys.create({ member: 'donautal', note: '', operator: 'test' });
    await run(api, own.key, rival.key);
  } finally {
    await api.dispose();
  }
}

function toBody(intent: Intent) {
  return toJson(IntentSchema, intent);
}

test('an intent becomes a plan, and the plan takes effect when it is confirmed', async () => {
  await withApi(async (api, own) => {
    const plan = await api.call('POST', '/v1/intents', own, toBody(createTestIntent('dobrescu')));
    assert.equal(plan.status, 201, plan.text);
    const before = await api.call('GET', '/v1/intent', own);
    assert.equal(before.body.memberRevision, '0');
    const path = `/v1/plans/${String(plan.body.id)}`;
    const confirmed = await api.call('POST', `${path}/confirm`, own);
    assert.equal(confirmed.body.state, 'PLAN_STATE_CONFIRMED');
    assert.equal((await api.call('POST', `${path}/confirm`, own)).status, 200);
    assert.equal((await api.call('GET', '/v1/intent', own)).body.memberRevision, '1');
    assert.equal((await api.call('DELETE', path, own)).body.name, 'PlanAlreadyDecided');
    const drain = { target: '127.0.0.2:9001', action: 'drain' };
    const drained = await api.call('POST', '/v1/targets', own, drain);
    assert.equal(drained.status, 201, drained.text);
    assert.match(drained.text, /"duringSlots":4,"afterSlots":4/);
  });
});

test('refusals carry a number, a name and the truth about what was done', async () => {
  await withApi(async (api, own) => {
    const broken = await api.call(
      'POST',
      '/v1/intents',
      own,
      '{"member": "dobrescu", "sevices": []}',
    );
    assert.equal(broken.status, 400);
    assert.equal(broken.body.code, ResultCode.MalformedIntent);
    assert.match(String(broken.body.message), /services/);
    const floor = createTestIntent('dobrescu', { floorSlots: 9 });
    const tooHigh = await api.call('POST', '/v1/intents', own, toBody(floor));
    assert.equal(tooHigh.body.runState ?? tooHigh.text, 'not-run');
    assert.equal((await api.call('GET', '/v1/plans/none', own)).body.name, 'PlanNotFound');
    assert.equal((await api.call('GET', '/v2/plans', own)).status, 404);
    assert.equal((await api.call('DELETE', '/v1/intent', own)).status, 405);
    api.platform.table.faults.isUnavailable = true;
    const out = await api.call('GET', '/v1/audit', own);
    assert.equal(out.status, 503);
    assert.ok(Number(out.body.retryAfterMs) > 0);
  });
});

/*
 * Symptom: an operator learns or changes what is another member's.
 * Sequence: the operator names the other member in the query, in an intent, in a key's path.
 * Cause: taking the member from the request instead of from the key.
 */
test("every attempt at another member's things is refused and audited, without naming the rival", async () => {
  await withApi(async (api, own, rival) => {
    const plan = await api.call('POST', '/v1/intents', rival, toBody(createTestIntent('donautal')));
    const rivalKey = (await api.keys.list('donautal'))[0];
    const attempts: readonly (readonly [string, string, unknown?])[] = [
      ['GET', '/v1/intent?member=donautal'],
      ['POST', '/v1/intents', toBody(createTestIntent('donautal'))],
      ['GET', '/v1/keys?member=donautal'],
      ['DELETE', `/v1/keys/${rivalKey?.id ?? ''}?member=donautal`],
      ['GET', '/v1/audit?member=donautal'],
      ['GET', '/v1/status?member=donautal'],
      ['POST', '/v1/keys', { member: '@fleet' }],
    ];
    for (const [method, path, body] of attempts) {
      const result = await api.call(method, path, own, body);
      assert.equal(result.status, 403, `${method} ${path} ${result.text}`);
      assert.doesNotMatch(result.text, /donautal/);
    }
    const path = `/v1/plans/${String(plan.body.id)}`;
    assert.equal((await api.call('GET', path, own)).body.name, 'PlanNotFound');
    assert.equal((await api.call('POST', `${path}/confirm`, own)).body.name, 'PlanNotFound');
    const log = await api.call('GET', '/v1/audit', own);
    const entries = log.body.entries as { readonly code: number }[];
    assert.equal(
      entries.filter((entry) => entry.code === ResultCode.Forbidden).length,
      attempts.length,
    );
    assert.doesNotMatch(log.text, /donautal/);
    const rivalLog = await api.call('GET', '/v1/audit', rival);
    assert.doesNotMatch(rivalLog.text, /dobrescu|5002/);
  });
});

test('a member that asks for a taken host name or address learns only that it is taken', async () => {
  await withApi(async (api, own, rival) => {
    const first = createTestIntent('donautal', { host: 'desk.example' });
    const plan = await api.call('POST', '/v1/intents', rival, toBody(first));
    await api.call('POST', `/v1/plans/${String(plan.body.id)}/confirm`, rival);
    const sameHost = createTestIntent('dobrescu', {
      host: 'desk.example',
      targets: ['127.0.0.9:1'],
      floorSlots: 4,
    });
    const host = await api.call('POST', '/v1/intents', own, toBody(sameHost));
    assert.equal(host.body.message, 'the host name "desk.example" is taken');
    const target = await api.call('POST', '/v1/intents', own, toBody(createTestIntent('dobrescu')));
    assert.equal(target.body.message, 'the target address "127.0.0.1:9001" is taken');
  });
});

test('status shows own shards only, and no count of what others change', async () => {
  await withApi(async (api, own) => {
    const shards = ['dobrescu', 'donautal'].map((member) => ({ member, service: 'booking' }));
    const node = create(GetNodeStatusResponseSchema, {
      node: '127.0.0.1:1',
      fleetRevision: 70n,
      shards,
    });
    api.status.found = { nodes: [node], silentNodes: ['127.0.0.2:1'] };
    const result = await api.call('GET', '/v1/status', own);
    assert.doesNotMatch(result.text, /donautal|70/);
    assert.match(result.text, /"inForce":true/);
    assert.equal(api.invariants.getViolations(InvariantName.MemberIsolation), 1);
  });
});

test('keys: wrong ones are refused and slowed down, revoked ones end within seconds', async () => {
  await withApi(async (api, own) => {
    const created = await api.call('POST', '/v1/keys', own, { note: 'night shift' });
    const key = String(created.body.key);
    const info = created.body.info as { readonly id: string };
    assert.equal((await api.call('GET', '/v1/intent', key)).status, 200);
    assert.doesNotMatch(
      [...api.platform.table.getRows().values()].map((row) => row.value).join(),
      new RegExp(key.slice(-43)),
    );
    assert.equal((await api.call('DELETE', `/v1/keys/${info.id}`, own)).status, 200);
    assert.equal((await api.call('GET', '/v1/intent', key)).status, 401);
    const rotated = await api.call('POST', `/v1/keys/${info.id}/rotate`, own, { overlapS: 60 });
    assert.equal((await api.call('GET', '/v1/intent', String(rotated.body.key))).status, 200);
    assert.equal(
      (await api.call('GET', '/v1/intent', key)).status,
      401,
      'rotation revives nothing',
    );
    const forged = `${own.slice(0, -43)}${'A'.repeat(43)}`;
    const statuses: number[] = [];
    for (let count = 0; count < 25; count += 1) {
      statuses.push((await api.call('GET', '/v1/intent', forged)).status);
    }
    assert.equal(statuses[0], 401);
    assert.equal(statuses.at(-1), 429);
  });
});

test('the first key of the fleet is made once, by whoever proves the secret', async () => {
  await withApi(
    async (api, own) => {
      assert.equal((await api.call('POST', '/v1/bootstrap', 'wrong')).status, 403);
      const first = await api.call('POST', '/v1/bootstrap', 'fleet-secret');
      assert.equal(first.status, 201, first.text);
      assert.equal((await api.call('POST', '/v1/bootstrap', 'fleet-secret')).status, 403);
      const fleet = String(first.body.key);
      const member = await api.call('POST', '/v1/keys', fleet, { member: 'new-firm' });
      assert.match(String(member.body.key), /^pmx_new-firm_/);
      assert.equal((await api.call('GET', '/v1/intent?member=dobrescu', fleet)).status, 403);
      assert.equal((await api.call('GET', '/v1/intent', fleet)).status, 403);
      assert.equal((await api.call('GET', '/v1/status', own)).status, 200);
    },
    { bootstrapSecret: 'fleet-secret' },
  );
});

/*
 * Symptom: somebody makes the fleet's first key without having been given its secret.
 * Sequence: a client tries secrets, thousands a second, before the fleet's operators come.
 * Cause: no limit on wrong tries.
 */
test('guessing the secret for the first key is slowed down and audited', async () => {
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

test("one member's flood and its huge intents leave the other's requests alone", async () => {
  await withApi(
    async (api, own, rival) => {
      const huge = await api.call('POST', '/v1/intents', own, `"${'x'.repeat(3000)}"`);
      assert.equal(huge.status, 413);
      const flood = Array.from({ length: 30 }, () => api.call('GET', '/v1/intent', own));
      const statuses = (await Promise.all(flood)).map((result) => result.status);
      assert.ok(statuses.includes(429));
      assert.equal((await api.call('GET', '/v1/intent', rival)).status, 200);
    },
    { limits: { requestsPerSecond: 1, requestBurst: 5, intentBytes: 2000 } },
  );
});

test('claims are shown and settled for the own member, with a line in the audit log', async () => {
  await withApi(async (api, own) => {
    assert.equal((await api.call('GET', '/v1/claims/order-2', own)).status, 404);
    assert.match((await api.call('GET', '/v1/claims/order-1', own)).text, /unknown/);
    const settle = { outcome: 'ran', note: 'asked the depot' };
    const settled = await api.call('POST', '/v1/claims/order-1/settle', own, settle);
    assert.equal(settled.status, 200, settled.text);
    assert.equal(api.claims.settled[0]?.member, 'dobrescu');
    assert.match((await api.call('GET', '/v1/audit', own)).text, /RAN: asked the depot/);
  });
});

test('the page of the API lists every operation, and no other', async () => {
  await withApi((api) => {
    const page = readFileSync(new URL('../../../../../docs/ADMIN-API.md', import.meta.url), 'utf8');
    const listed = [...page.matchAll(/^\| `([A-Z]+ \/v1[^`]*)`/gm)].map((match) => match[1]);
    assert.deepEqual(listed.sort(), [...api.operations].sort());
    return Promise.resolve();
  });
});

// Symptom: the log has errors of the program whenever an operator interrupts a command. Sequence:
// the connection ends in the middle of a request's body. Cause: the broken read was taken for a
// fault of ours.
test('an operator that hangs up is counted, and no error is logged', async () => {
  const lines: unknown[] = [];
  const logger = { ...createSilentLogger(), error: (line: unknown) => lines.push(line) };
  await withApi(
    async (api, own) => {
      const { hostname, port } = new URL(api.url);
      const socket = connect({ host: hostname, port: Number(port) });
      socket.write(`POST /v1/intents HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${own}\r\n`);
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
