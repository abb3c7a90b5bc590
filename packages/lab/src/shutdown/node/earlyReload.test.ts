import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { test } from 'node:test';
import { isReloadCaught } from '../../processes/node/caughtSignals.js';
import { Program } from '../../processes/node/programs.js';

test('a reload that is asked for during the start does not end the process', async () => {
  // Symptom: a process that was just started is gone, killed by SIGHUP. Sequence: the settings file
  // changes while the process still loads its program and settings. Cause: the handler was
  // installed only after the settings were read.
  const child = spawn(process.execPath, [Program.PlatformNode, '/dev/stdin'], {
    stdio: ['pipe', 'ignore', 'ignore'],
  });
  const ended = once(child, 'exit') as Promise<[number | null, NodeJS.Signals | null]>;
  await once(child, 'spawn');
  const endMs = performance.now() + 20_000;
  while (!isReloadCaught(child.pid ?? -1) && performance.now() < endMs) {
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  child.kill('SIGHUP');
  // Only a process that outlived it can be asked to end.
  child.kill('SIGTERM');
  const [, signal] = await ended;
  assert.equal(signal, 'SIGTERM');
  child.stdin.destroy();
});
