import assert from 'node:assert/strict';
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { ManualClock } from '@parsleymux/base';
import { LineSink } from './lineSink.js';

const LINES_PER_S = 1000;
const SECONDS = 10;
/** The bound that the sink guarantees: its burst plus its rate for the elapsed time. */
const MAX_LINES = 400 + 100 * SECONDS;

async function readWhenSettled(path: string): Promise<readonly string[]> {
  let before = -1;
  for (;;) {
    const lines = readFileSync(path, 'utf8').split('\n').slice(0, -1);
    if (lines.length === before) return lines;
    before = lines.length;
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
}

test('ten times the usual lines stay within the limit, and failures have priority', async (t) => {
  // Guards against a log that adds to an overload: load grows tenfold, each request writes a line, and the
  // lines are not limited, or failures are dropped like other lines.
  const folder = mkdtempSync(join(tmpdir(), 'parsleymux-'));
  const path = join(folder, 'log');
  const descriptor = openSync(path, 'w');
  t.after(() => {
    closeSync(descriptor);
    rmSync(folder, { recursive: true });
  });
  const clock = new ManualClock();
  const sink = new LineSink(descriptor, clock);
  for (let index = 0; index < LINES_PER_S * SECONDS; index += 1) {
    await clock.advanceBy(1);
    const isImportant = index % 50 === 0;
    sink.write(`${isImportant ? 'failed' : 'served'} ${index}`, isImportant);
  }
  const lines = await readWhenSettled(path);
  const notices = lines.filter((line) => line.includes('log lines dropped')).length;
  assert.ok(lines.length - notices <= MAX_LINES, `${lines.length} lines were written`);
  const failures = lines.filter((line) => line.startsWith('failed')).length;
  assert.equal(failures, (LINES_PER_S * SECONDS) / 50);
  assert.equal(sink.dropped, LINES_PER_S * SECONDS - (lines.length - notices));
});
