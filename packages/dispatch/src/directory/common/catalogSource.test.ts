import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock } from '@parsleymux/base';
import type { ICatalog } from '../../catalog/common/catalog.js';
import { makeCatalog, makeRoute } from '../../test/builders.js';
import type { ITenantRule } from '../../tenants/common/tenant.js';
import type { ITableChanges } from './authority.js';
import { AuthorityTable } from './authority.js';
import { CatalogSource } from './catalogSource.js';
import { NodeDirectory } from './nodeDirectory.js';

const NORTH: ITenantRule = { name: 'north', keys: ['n1'], burst: 0 };
const SOUTH: ITenantRule = { name: 'south', keys: ['s1'], burst: 0 };

/** Answers each read after a while with what the test has set. */
class SlowTable extends AuthorityTable<ICatalog> {
  override readonly malformedRows = 0;
  readonly calls: string[] = [];
  content: ITableChanges<ICatalog> = { version: 0, changes: [] };

  constructor(
    private readonly clock: ManualClock,
    private readonly delayMs: number,
  ) {
    super();
  }

  override async readAll(): Promise<ITableChanges<ICatalog>> {
    this.calls.push('all');
    await this.clock.sleep(this.delayMs);
    return this.content;
  }

  override async readChanges(after: number): Promise<ITableChanges<ICatalog>> {
    this.calls.push(`after ${after}`);
    await this.clock.sleep(this.delayMs);
    return this.content;
  }
}

function makeContent(version: number, tenants?: readonly ITenantRule[]): ITableChanges<ICatalog> {
  const value = { ...makeCatalog(version, [makeRoute()]), ...(tenants && { tenants }) };
  return { version, changes: [{ key: 'config', value }] };
}

function openBench() {
  const clock = new ManualClock();
  const directory = new NodeDirectory(clock);
  const table = new SlowTable(clock, 600);
  const source = new CatalogSource({ source: table, directory, clock });
  const { signal } = new AbortController();
  const read = async (content: ITableChanges<ICatalog>, after?: number) => {
    table.content = content;
    const reading =
      after === undefined ? source.readAll(signal) : source.readChanges(after, 600, signal);
    await clock.advanceBy(600);
    const taken = await reading;
    if (taken.isPartial !== true) directory.catalog.setAll(taken, clock.getMonotonicTime());
    return taken;
  };
  return { clock, directory, table, read };
}

test('tenants go to a table of their own, and the configuration says that it needs keys', async () => {
  const { directory, read } = openBench();
  const { changes } = await read(makeContent(3, [NORTH, SOUTH]));
  assert.equal(changes[0]?.value?.tenants, undefined);
  assert.equal(directory.getCatalog()?.requiresKeys, true);
  assert.equal(directory.tenantIndex.findByKey('s1')?.name, 'south');
  assert.ok(directory.hasCurrentTenants());
});

test('the change of one tenant is one change of the table', async () => {
  const { directory, read } = openBench();
  await read(makeContent(3, [NORTH, SOUTH]));
  const changed: string[] = [];
  directory.tenants.onDidChange((changes) => changed.push(...changes.map(({ key }) => key)));
  await read(makeContent(4, [NORTH, { ...SOUTH, keys: ['s2'] }]), 3);
  assert.deepEqual(changed, ['south']);
  assert.equal(directory.tenantIndex.findByKey('s1'), undefined);
  assert.equal(directory.tenantIndex.findByKey('s2')?.name, 'south');
  await read(makeContent(5), 4);
  assert.equal(directory.getCatalog()?.requiresKeys, false);
  assert.equal(directory.tenantIndex.size, 0);
});

test('a read proves the tenants as of the moment at which it was sent', async () => {
  // Guards against: a lease that is renewed by an answer which was held or under way for a long time.
  const { directory, read } = openBench();
  await read(makeContent(3, [NORTH]));
  assert.equal(directory.tenants.getProofAgeMs(), 600);
  await read({ version: 7, changes: [] }, 3);
  assert.equal(directory.tenants.getProofAgeMs(), 600);
});

test('a configuration that can’t be understood proves nothing', async () => {
  // Guards against: keys that the newest configuration has ended hold for ever because it can't be read.
  const { clock, directory, read } = openBench();
  await read(makeContent(3, [NORTH]));
  await read({ version: 4, changes: [], isPartial: true }, 3);
  await clock.advanceBy(1000);
  assert.equal(directory.tenants.getProofAgeMs(), 2200);
});

test('tenants that a peer has not passed on yet are read whole', async () => {
  // Guards against: a node that got the configuration from a peer takes older tenants for its own.
  const { directory, read, table } = openBench();
  await read(makeContent(3, [NORTH]));
  const catalog = { ...makeCatalog(5, [makeRoute()]), requiresKeys: true };
  directory.catalog.setAll({ version: 5, changes: [{ key: 'config', value: catalog }] }, 0);
  assert.equal(directory.hasCurrentTenants(), false);
  await read(makeContent(5, [SOUTH]), 5);
  assert.deepEqual(table.calls, ['all', 'all']);
  assert.equal(directory.tenantIndex.findByKey('n1'), undefined);
  assert.ok(directory.hasCurrentTenants());
});

test('a list of an older copy proves no key until the operator has had the time to write again', async () => {
  // Guards against a key that has ended and is served again on the strength of a fresh read of an old list.
  const { clock, directory, read } = openBench();
  await read({ ...makeContent(3, [NORTH, SOUTH]), era: 1 });
  const provenMs = directory.tenants.getProofAgeMs();
  await read({ ...makeContent(3, [NORTH, SOUTH]), era: 2, version: 2 });
  assert.equal(directory.tenants.getProofAgeMs(), provenMs + 600);
  await clock.advanceBy(2500);
  await read({ era: 2, version: 4, changes: [] }, 2);
  assert.equal(directory.tenants.getProofAgeMs(), 600);
});

test('tenants of an older configuration do not come back with it, and newer ones are taken', async () => {
  const { directory, read } = openBench();
  await read({ ...makeContent(5, [SOUTH]), era: 1 });
  await read({ ...makeContent(3, [NORTH, SOUTH]), era: 2 });
  assert.equal(directory.tenantIndex.findByKey('n1'), undefined);
  assert.equal(directory.getCatalog()?.version, 5);
  assert.ok(directory.hasCurrentTenants());
  const next = makeContent(6, [NORTH]);
  await read({ ...next, era: 2, version: 4 }, 3);
  assert.equal(directory.tenantIndex.findByKey('n1')?.name, 'north');
  assert.equal(directory.tenantIndex.findByKey('s1'), undefined);
});
