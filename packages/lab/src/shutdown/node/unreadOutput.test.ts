import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { test } from 'node:test';

const LINE_SINK = new URL('../../../../dispatch/dist/log/node/lineSink.js', import.meta.url);

/** Fills its unread standard output and reports on standard error how many lines were dropped. */
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

test('an unread standard output blocks neither the work nor the exit of a process', async () => {
  // If the reader of a node's log hangs, the pipe fills up. A blocking write to the full pipe would then
  // block the whole process, and the node would not respond to any request.
  const child = spawn(process.execPath, ['--input-type=module', '--eval', BLOCKED_WRITER], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  const errorOutput: string[] = [];
  child.stderr.on('data', (chunk: Buffer) => errorOutput.push(chunk.toString()));
  const [code] = (await once(child, 'exit')) as [number | null];
  assert.equal(code, 0);
  const { dropped } = JSON.parse(errorOutput.join('')) as { readonly dropped: number };
  assert.ok(dropped > 0);
});
