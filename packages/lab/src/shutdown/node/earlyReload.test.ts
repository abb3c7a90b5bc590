import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { Program } from '../../processes/node/programs.js';

/** Number of SIGHUP, whose bit in the kernel's mask is one less. */
const SIGHUP_BIT = 1n << 0n;

/** Whether the process has a handler for SIGHUP, as the kernel tells. */
function catchesReload(pid: number): boolean {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const mask = /^SigCgt:\s*([0-9a-f]+)/m.exec(status)?.[1] ?? '0';
  return (BigInt(`0x${mask}`) & SIGHUP_BIT) !== 0n;
}

test('a reload that is asked for during the start does not end the process', async () => {
  // Symptom: a process that was just started is gone, killed by SIGHUP. Sequence: the settings file
  // changes while the process still loads its program and settings. Cause: the handler was
  // installed only after the settings were read.
  const child = spawn(process.execPath, [Program.PlatformNode], {
    stdio: ['pipe', 'ignore', 'ignore'],
    env: { ...process.env, PARSLEYMUX_SETTINGS: '/dev/stdin' },
  });
  const ended = once(child, 'exit') as Promise<[number | null, NodeJS.Signals | null]>;
  await once(child, 'spawn');
  const endMs = performance.now() + 20_000;
  while (!catchesReload(child.pid ?? -1) && performance.now() < endMs) {
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  child.kill('SIGHUP');
  // Settings that make no sense end the process by itself.
  child.stdin.end('{');
  const [code, signal] = await ended;
  assert.equal(signal, null);
  assert.equal(code, 1);
});
