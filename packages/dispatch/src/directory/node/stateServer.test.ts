import assert from 'node:assert/strict';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import {
  ManualClock,
  closeServerImmediately,
  createSilentLogger,
  listenOn,
} from '@parsleymux/base';
import { CatalogHistory } from '../common/catalogHistory.js';
import { FollowedTable } from '../common/followedTable.js';
import { TableEncoder } from '../common/tableEncoder.js';
import { TableFetcher } from '../common/tableFetcher.js';
import { HttpTableTransport, createStateServer } from './stateServer.js';

test('a table that is encoded once for all peers is sent to each with its current age', async () => {
  const clock = new ManualClock();
  const table = new FollowedTable<string>({ name: 't', clock, isSame: (a, b) => a === b });
  table.setAll({ version: 7, changes: [{ key: 'a', value: 'ready' }] }, 0);
  const encoder = new TableEncoder({ history: new CatalogHistory(), catalogTable: 'catalog' });
  const server = createStateServer({ clock, tables: [table as FollowedTable<unknown>], encoder });
  await listenOn(server, '127.0.0.1:0');
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const fetcher = new TableFetcher({
    clock,
    log: createSilentLogger(),
    encoder,
    self: '127.0.0.1:1',
    transport: new HttpTableTransport(),
  });
  const fetchCopy = async () => {
    const copy = new FollowedTable<unknown>({ name: 't', clock, isSame: (a, b) => a === b });
    await fetcher.fetch(copy, { stateAddress: address });
    return copy;
  };
  await clock.advanceBy(1000);
  const early = await fetchCopy();
  assert.equal(early.freshMs, 0);
  assert.equal(early.version, 7);
  assert.equal(early.get('a'), 'ready');
  table.apply(7, { version: 8, changes: [{ key: 'a', value: 'leaving' }] }, 900);
  await clock.advanceBy(500);
  const late = await fetchCopy();
  assert.equal(late.freshMs, 900);
  assert.equal(late.get('a'), 'leaving');
  await closeServerImmediately(server);
});
