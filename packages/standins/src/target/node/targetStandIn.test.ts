import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock } from '@parsleymux/base';
import { Pool } from 'undici';
import { ResponseFault, computeChecksum, verifyResponse } from '../common/standInResponse.js';
import type { ITargetStandInOptions } from './targetStandIn.js';
import { TargetStandIn } from './targetStandIn.js';

type UseTarget = (target: TargetStandIn, pool: Pool, clock: ManualClock) => Promise<void>;

async function withTarget(options: ITargetStandInOptions, use: UseTarget): Promise<void> {
  const clock = new ManualClock();
  const target = new TargetStandIn({ clock, serviceSigma: 0, meanServiceMs: 10, ...options });
  await target.start();
  const pool = new Pool(`http://${target.getAddress()}`, { connections: 8 });
  try {
    await use(target, pool, clock);
  } finally {
    await pool.destroy();
    await target.dispose();
  }
}

function send(
  pool: Pool,
  requestId: string,
  headers: Record<string, string> = {},
  signal?: AbortSignal,
) {
  return pool.request({
    method: 'POST',
    path: '/jobs',
    body: 'work',
    headers: { 'x-request-id': requestId, 'idempotency-key': `key-${requestId}`, ...headers },
    ...(signal === undefined ? {} : { signal }),
  });
}

/** Waits without the clock until socket events make the condition true. */
async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setImmediate(resolve));
}

test('a response is verifiable, counted by key, and found by look-up', async () => {
  await withTarget({ member: 'm', service: 's' }, async (target, pool, clock) => {
    const pending = send(pool, 'r1');
    await waitUntil(() => target.getRunning() === 1);
    const early = await pool.request({ method: 'GET', path: '/lookup/key-r1' });
    assert.equal(early.statusCode, 409);
    await early.body.dump();
    await clock.advanceBy(10);
    const response = await pending;
    const body = await response.body.bytes();
    const expected = {
      member: 'm',
      service: 's',
      requestId: 'r1',
      method: 'POST',
      path: '/jobs',
      requestChecksum: computeChecksum('work'),
    };
    assert.equal(verifyResponse(body, expected), ResponseFault.None);
    assert.equal(verifyResponse(body, { ...expected, requestId: 'r2' }), ResponseFault.Foreign);
    assert.equal(verifyResponse(body.subarray(0, 40), expected), ResponseFault.Partial);
    const found = await pool.request({ method: 'GET', path: '/lookup/key-r1' });
    assert.deepEqual(await found.body.bytes(), body);
    const missing = await pool.request({ method: 'GET', path: '/lookup/key-r2' });
    await missing.body.dump();
    assert.equal(missing.statusCode, 404);
    assert.equal(target.executions.find('key-r1').count, 1);
  });
});

test('requests beyond slots and queue, or while draining, are rejected as not run', async () => {
  await withTarget({ slots: 1, queueLimit: 1 }, async (target, pool, clock) => {
    const first = send(pool, 'r1');
    await waitUntil(() => target.getRunning() === 1);
    const second = send(pool, 'r2');
    await waitUntil(() => target.executions.find('key-r2').waiting === 1);
    const third = await send(pool, 'r3');
    assert.equal(third.statusCode, 503);
    assert.equal(third.headers['parsleymux-run-state'], 'not-run');
    await third.body.dump();
    await target.setFaults({ draining: true });
    const fourth = await send(pool, 'r4');
    assert.equal(fourth.headers['parsleymux-draining'], 'true');
    await fourth.body.dump();
    await clock.advanceBy(10);
    await (await first).body.dump();
    await waitUntil(() => target.executions.find('key-r2').count === 1);
    await clock.advanceBy(10);
    await (await second).body.dump();
    assert.deepEqual([target.getCounters().executed, target.getCounters().shed], [2, 2]);
  });
});

test('a timeout in the queue is reported as not run; a disconnect stops the execution', async () => {
  await withTarget({ slots: 1, queueLimit: 4 }, async (target, pool) => {
    const abort = new AbortController();
    const running = send(pool, 'r1', {}, abort.signal);
    await waitUntil(() => target.getRunning() === 1);
    const queued = await send(pool, 'r2', { 'parsleymux-timeout-ms': '1' });
    assert.equal(queued.statusCode, 504);
    assert.equal(queued.headers['parsleymux-run-state'], 'not-run');
    await queued.body.dump();
    abort.abort();
    await assert.rejects(running);
    await waitUntil(() => target.getCounters().cancelled === 1);
    assert.equal(target.getRunning(), 0);
    const late = await send(pool, 'r3', { 'parsleymux-timeout-ms': '1' });
    assert.equal(late.statusCode, 504);
    assert.equal(late.headers['parsleymux-run-state'], undefined);
    await late.body.dump();
  });
});

// Simulates a connection whose state a middlebox has dropped: neither end is notified, nothing
// that is sent on it arrives, and its caller waits indefinitely while new connections work.
test('requests on a silenced connection are discarded and not run, and new connections work', async () => {
  await withTarget({}, async (target, pool, clock) => {
    const single = new Pool(`http://${target.getAddress()}`, { connections: 1 });
    const first = send(single, 'r1');
    await waitUntil(() => target.getRunning() === 1);
    await clock.advanceBy(10);
    await (await first).body.dump();
    assert.equal(target.markConnectionsSilent(), 1);
    const abort = new AbortController();
    const swallowed = send(single, 'r2', {}, abort.signal);
    await waitUntil(() => target.getCounters().swallowed === 1);
    const fresh = send(pool, 'r3');
    await waitUntil(() => target.getRunning() === 1);
    await clock.advanceBy(10);
    assert.equal((await fresh).statusCode, 200);
    abort.abort();
    await assert.rejects(swallowed);
    await single.destroy();
    assert.equal(target.executions.find('key-r2').count, 0);
  });
});

test('responses can be slow, failed or truncated while the health probe stays green', async () => {
  await withTarget({}, async (target, pool, clock) => {
    await target.setFaults({ slowFactor: 5, failShare: 1, claimedLoad: 0 });
    const slow = send(pool, 'r1');
    await waitUntil(() => target.getRunning() === 1);
    await clock.advanceBy(49);
    assert.equal(target.getRunning(), 1);
    const health = await pool.request({ method: 'GET', path: '/health' });
    assert.equal(health.statusCode, 200);
    await health.body.dump();
    const load = await pool.request({ method: 'GET', path: '/load' });
    assert.deepEqual(await load.body.json(), { running: 0, slots: 4 });
    await clock.advanceBy(1);
    assert.equal((await slow).statusCode, 500);
    await (await slow).body.dump();
    await target.setFaults({ slowFactor: 1, failShare: 0, truncateShare: 1 });
    const truncated = send(pool, 'r2');
    await waitUntil(() => target.getRunning() === 1);
    await clock.advanceBy(10);
    await assert.rejects(async () => (await truncated).body.bytes());
  });
});

test('connections beyond the limit are closed, and a target that is down refuses connections', async () => {
  await withTarget({ maxConnections: 0 }, async (target, pool) => {
    await assert.rejects(send(pool, 'r1'));
    assert.ok(target.getCounters().connectionsRefused > 0);
    await target.setFaults({ down: true });
    await assert.rejects(send(pool, 'r2'), { code: 'ECONNREFUSED' });
  });
});
