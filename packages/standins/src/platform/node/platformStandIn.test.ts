import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock } from '@parsleymux/base';
import type { IHttpPlatform } from '@parsleymux/store';
import { PlatformError, PlatformFailure, VmState, openHttpPlatform } from '@parsleymux/store';
import { request } from 'undici';
import { PlatformStandIn } from './platformStandIn.js';
import type { IPlatformStandInOptions } from './platformStandIn.js';

async function withPlatform(
  options: IPlatformStandInOptions,
  use: (standIn: PlatformStandIn, client: IHttpPlatform) => Promise<void>,
): Promise<void> {
  const standIn = new PlatformStandIn(options);
  await standIn.start();
  const client = openHttpPlatform({ url: standIn.getUrl(), timeoutMs: 300 });
  try {
    await use(standIn, client);
  } finally {
    await client.dispose();
    await standIn.dispose();
  }
}

const insert = (key: string, value = 'v') => ({
  conditions: [{ key, version: 0 }],
  writes: [{ key, value }],
});

function hasFailure(failure: string) {
  return (error: unknown) => error instanceof PlatformError && error.failure === failure;
}

test('the table, objects and VM list work with the client that nodes use', async () => {
  await withPlatform({ faults: { vmLagMs: 0 } }, async (standIn, { table, objects, vms }) => {
    assert.equal((await table.transact(insert('a'))).committed, true);
    assert.equal((await table.transact(insert('a'))).committed, false);
    assert.deepEqual(await table.read(['a', 'b']), [{ key: 'a', value: 'v', version: 1 }]);
    assert.equal((await table.scan({ prefix: 'a' })).length, 1);
    await objects.put('x/1', Buffer.from('bytes'));
    assert.equal(Buffer.from((await objects.get('x/1')) ?? []).toString(), 'bytes');
    assert.equal(await objects.get('x/2'), undefined);
    assert.deepEqual(await objects.list('x/'), ['x/1']);
    const vm = { address: '127.0.0.1:1', failureDomain: 'north', state: VmState.Live };
    standIn.registerVm(vm);
    assert.deepEqual(await vms.list(), [vm]);
    const { reads, writes, rowsWritten, conflicts } = standIn.getCounters();
    assert.deepEqual([reads, writes, rowsWritten, conflicts], [6, 3, 1, 1]);
  });
});

// A write takes effect, but the writer cannot learn its outcome: the connection breaks before the
// response, or the direction of the response is partitioned.
test('after a lost response or a one-way cut, the write is applied and its outcome unknown', async () => {
  await withPlatform({ faults: { loseNextAnswers: 1 } }, async (standIn, { table }) => {
    await assert.rejects(table.transact(insert('a')), hasFailure(PlatformFailure.Unknown));
    assert.equal((await table.read(['a'])).length, 1);
    await standIn.setFaults({ oneWay: true });
    await assert.rejects(table.transact(insert('b')), hasFailure(PlatformFailure.Unknown));
    await standIn.clearFaults();
    assert.equal((await table.read(['b'])).length, 1);
  });
});

test('an outage refuses connections or responds 503, while the control interface works', async () => {
  await withPlatform({}, async (standIn, { table }) => {
    await standIn.setFaults({ outage: 'refused' });
    await assert.rejects(table.transact(insert('a')), hasFailure(PlatformFailure.NotSent));
    const url = `http://${standIn.getControlAddress()}/control/faults`;
    const response = await request(url, { method: 'POST', body: '{"outage":"unavailable"}' });
    await response.body.dump();
    await assert.rejects(table.transact(insert('a')), hasFailure(PlatformFailure.Refused));
    const misspelled = await request(url, { method: 'POST', body: '{"outtage":"none"}' });
    await misspelled.body.dump();
    assert.equal(misspelled.statusCode, 400);
    await standIn.clearFaults();
    assert.deepEqual(await table.read(['a']), []);
  });
});

test('stale reads and the lagging VM list return old state; transactions use current state', async () => {
  const clock = new ManualClock();
  await withPlatform(
    { clock, faults: { staleMs: 500, vmLagMs: 2000 } },
    async (standIn, client) => {
      await client.table.transact(insert('a'));
      const vm = { address: '127.0.0.1:1', failureDomain: 'north', state: VmState.Live };
      standIn.registerVm(vm);
      await clock.advanceBy(499);
      assert.deepEqual(await client.table.read(['a']), []);
      assert.equal((await client.table.transact(insert('a'))).committed, false);
      await clock.advanceBy(1);
      assert.equal((await client.table.read(['a'])).length, 1);
      assert.deepEqual(await client.vms.list(), []);
      await clock.advanceBy(1500);
      assert.deepEqual(await client.vms.list(), [vm]);
    },
  );
});

test('writes above the rate limit are rejected and not applied', async () => {
  const clock = new ManualClock();
  await withPlatform({ clock, faults: { writesPerSecond: 2 } }, async (standIn, { table }) => {
    await table.transact(insert('a'));
    await table.transact(insert('b'));
    await assert.rejects(table.transact(insert('c')), hasFailure(PlatformFailure.Refused));
    await clock.advanceBy(500);
    assert.equal((await table.transact(insert('c'))).committed, true);
    assert.equal(standIn.getCounters().refused, 1);
  });
});

test('long responses are compressed for clients that accept it, and decoded without loss', async () => {
  const list = Array.from({ length: 2100 }, (_, index) => ({
    address: `10.${index % 7}.${index >> 8}.${index & 255}:7002`,
    failureDomain: `domain-${index % 10}`,
    state: VmState.Live,
  }));
  await withPlatform({ faults: { vmLagMs: 0 }, vms: list }, async (standIn, { vms, objects }) => {
    assert.deepEqual(await vms.list(), list);
    const sent = standIn.getCounters().bytesSent;
    assert.ok(sent * 5 < JSON.stringify(list).length, `${sent} bytes`);
    const bytes = Buffer.alloc(5000, 'abc');
    await objects.put('x/long', bytes);
    assert.deepEqual(Buffer.from((await objects.get('x/long')) ?? []), bytes);
  });
});
