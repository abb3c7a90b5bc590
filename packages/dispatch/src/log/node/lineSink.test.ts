import assert from 'node:assert/strict';
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { ManualClock } from '@parsleymux/base';
import { LineSink } from './lineSink.js';

const LINES_PER_S = 1000;
const SECONDS = 10;
/** What the sink promises: its burst, and its rate for the time that passes. */
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

test('ten times the usual lines stay within the budget, and failures are kept first', async (t) => {
  // Symptom: a node is busy writing its log when it has most to do. Sequence: load grows tenfold and
  // each request writes a line. Cause: nothing bounded the lines, or failures were dropped alike.
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
