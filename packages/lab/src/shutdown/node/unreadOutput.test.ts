import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { test } from 'node:test';

const LINE_SINK = new URL('../../../../dispatch/dist/log/node/lineSink.js', import.meta.url);

/** Fills its standard output, which nobody reads, and says on standard error that it goes on. */
const BLOCKED_WRITER = `
  import { LineSink } from ${JSON.stringify(LINE_SINK.href)};
  const clock = { getMonotonicTime: () => performance.now() };
  const sink = new LineSink(1, clock);
  for (let index = 0; index < 300; index += 1) sink.write('x'.repeat(4000), true);
  setImmediate(() => {
    process.stderr.write(JSON.stringify({ dropped: sink.dropped }));
    process.exit(0);
  });
`;

test('a standard output that nobody reads stops neither the work nor the end of a process', async () => {
  // Symptom: a node answers nobody. Sequence: the reader of its log hangs, the pipe fills up. Cause:
  // a write to a full pipe waits, and the whole process with it.
  const child = spawn(process.execPath, ['--input-type=module', '--eval', BLOCKED_WRITER], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  const said: string[] = [];
  child.stderr.on('data', (chunk: Buffer) => said.push(chunk.toString()));
  const [code] = (await once(child, 'exit')) as [number | null];
  assert.equal(code, 0);
  const { dropped } = JSON.parse(said.join('')) as { readonly dropped: number };
  assert.ok(dropped > 0);
});
