import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { test } from 'node:test';
import { isReloadCaught } from '../../processes/node/caughtSignals.js';
import { Program } from '../../processes/node/programs.js';

test('SIGHUP during the start does not end the process', async () => {
  // The settings file may change while a process still loads its program and settings. If the handler for
  // SIGHUP is installed only after the settings are read, the signal to reload them kills the process.
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
  // Only a process that survives SIGHUP can be ended by SIGTERM.
  child.kill('SIGTERM');
  const [, signal] = await ended;
  assert.equal(signal, 'SIGTERM');
  child.stdin.destroy();
});
