import assert from 'node:assert/strict';
import { test } from 'node:test';
import { VersionedTable } from './versionedTable.js';

const put = (key: string, value: string | null) => ({ conditions: [], writes: [{ key, value }] });

test('a transaction with one failed condition writes nothing and returns the conflicting row', () => {
  const table = new VersionedTable();
  table.transact(put('a', '1'), 0);
  const result = table.transact(
    {
      conditions: [
        { key: 'a', version: 0 },
        { key: 'b', version: 0 },
      ],
      writes: [{ key: 'b', value: '2' }],
    },
    1,
  );
  assert.deepEqual(result, {
    committed: false,
    conflicts: [{ key: 'a', value: '1', version: 1 }],
  });
  assert.deepEqual(table.read(['b'], 1), []);
});

// Guards against a paused writer that overwrites another row than it read: it reads version 1, the
// row is deleted and recreated, and its condition on version 1 holds if versions restart at 1.
test('a recreated row has a higher version than the deleted row', () => {
  const table = new VersionedTable();
  table.transact(put('a', 'old'), 0);
  table.transact(put('a', null), 1);
  table.transact(
    { conditions: [{ key: 'a', version: 0 }], writes: [{ key: 'a', value: 'new' }] },
    2,
  );
  const late = { conditions: [{ key: 'a', version: 1 }], writes: [{ key: 'a', value: 'late' }] };
  assert.equal(table.transact(late, 3).committed, false);
  assert.deepEqual(table.read(['a'], 3), [{ key: 'a', value: 'new', version: 2 }]);
});

test('reads as of an earlier instant return the values, versions and absences of that instant', () => {
  const table = new VersionedTable();
  table.transact(put('a', '1'), 10);
  table.transact(put('a', '2'), 20);
  assert.deepEqual(table.read(['a'], 9), []);
  assert.equal(table.read(['a'], 19)[0]?.value, '1');
  assert.equal(table.read(['a'], 20)[0]?.version, 2);
});

test('a scan returns rows with a prefix in key order, after a key and up to a limit', () => {
  const table = new VersionedTable();
  for (const key of ['p/3', 'q/1', 'p/1', 'p/2', 'o/9']) table.transact(put(key, key), 0);
  const keys = (rows: readonly { readonly key: string }[]) => rows.map((row) => row.key);
  assert.deepEqual(keys(table.scan({ prefix: 'p/' }, 0)), ['p/1', 'p/2', 'p/3']);
  assert.deepEqual(keys(table.scan({ prefix: 'p/', after: 'p/1', limit: 1 }, 0)), ['p/2']);
  table.transact(put('p/0', 'late'), 0);
  table.transact(put('p', 'without slash'), 0);
  assert.deepEqual(keys(table.scan({ prefix: 'p/', limit: 2 }, 0)), ['p/0', 'p/1']);
  assert.deepEqual(keys(table.scan({ prefix: 'p', after: 'o/9', limit: 2 }, 0)), ['p', 'p/0']);
});
