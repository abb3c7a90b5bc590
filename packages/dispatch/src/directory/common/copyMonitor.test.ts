import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock, createLogger } from '@parsleymux/base';
import { CopyMonitor } from './copyMonitor.js';
import { FollowedTable } from './followedTable.js';

const MAX_AGE_MS = 1500;

test('an outdated copy is logged once, and again when it is current', async () => {
  // Guards against a node that serves an old configuration without a line in its log.
  const clock = new ManualClock();
  const lines: string[] = [];
  const log = createLogger({ json: true, writeLine: (line) => lines.push(line) });
  const table = new FollowedTable<string>({ name: 't', clock, isSame: (a, b) => a === b });
  const monitor = new CopyMonitor({
    clock,
    log,
    tables: [table as FollowedTable<unknown>],
    getMaxAgeMs: () => MAX_AGE_MS,
    describeSources: () => ({ isFollower: false }),
  });
  const stop = new AbortController();
  const running = monitor.run(stop.signal);
  await clock.advanceBy(10_000);
  assert.equal(lines.length, 0);
  table.setAll({ version: 7, changes: [] }, clock.getMonotonicTime());
  await clock.advanceBy(MAX_AGE_MS - 1);
  assert.equal(lines.length, 0);
  await clock.advanceBy(3000);
  assert.equal(lines.length, 1);
  table.setAll({ version: 7, changes: [] }, clock.getMonotonicTime());
  await clock.advanceBy(1000);
  stop.abort();
  await running;
  const parsed = lines.map((line) => JSON.parse(line) as Readonly<Record<string, unknown>>);
  assert.deepEqual(
    parsed.map(({ message, table: name, version }) => [message, name, version]),
    [
      ['copy is outdated', 't', 7],
      ['copy is current again', 't', 7],
    ],
  );
});
