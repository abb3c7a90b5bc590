import assert from 'node:assert/strict';
import { test } from 'node:test';
import { PlatformProcess, startPlatform } from './platformProcess.js';
import { ProcessFleet } from './processFleet.js';
import { Program } from './programs.js';

function isAlive(pid: number): boolean {
  try {
    process.kill(pid, 0);
    return true;
  } catch {
    return false;
  }
}

test('a stand-in process accepts control requests and has ended after dispose', async () => {
  const fleet = new ProcessFleet();
  const platform = await startPlatform(fleet, { vmLagMs: 0 });
  assert.ok(platform instanceof PlatformProcess);
  await platform.setFaults({ delayMs: 1 });
  assert.equal((await platform.fetchCounters()).reads, 0);
  const pids = fleet.getRunning().map(({ pid }) => pid);
  assert.ok(pids.every(isAlive));
  await fleet.dispose();
  assert.deepEqual(pids.filter(isAlive), []);
});

// A process that a run paused with SIGSTOP must not stay behind: a stopped process handles no signal
// but SIGKILL and SIGCONT, so the SIGTERM at the end of the run is not enough.
test('a paused child ends with the fleet', async () => {
  const fleet = new ProcessFleet();
  await startPlatform(fleet, {});
  const [child] = fleet.getRunning();
  assert.ok(child !== undefined);
  child.sendSignal('SIGSTOP');
  assert.equal(child.isStopped(), true);
  await fleet.dispose();
  assert.equal(isAlive(child.pid), false);
});

test('waiting for a child that ends before it is ready rejects with its error output', async () => {
  const fleet = new ProcessFleet();
  const child = fleet.start({
    name: 'platform',
    script: Program.Platform,
    args: ['--config', '{"faults":{"delay":1}}'],
  });
  await assert.rejects(child.waitForReady(), /there is no fault "delay"/);
  await fleet.dispose();
});
