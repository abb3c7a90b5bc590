import assert from 'node:assert/strict';
import { test } from 'node:test';
import { makeSchedule } from '../../prove/common/faultSchedule.js';
import { formatBreakModule, listBreakModules } from '../../prove/node/breakModules.js';
import { SOAK_FAULT_KINDS } from '../common/soakFaultKind.js';
import { runSoak } from './soakRun.js';

const BREAKS = new URL('../breaks/node/', import.meta.url);
const SECONDS = 8;

/** Makes a run with the checks that hold on a machine of any speed, without those with time bounds. */
async function listViolations(seed: number): Promise<readonly string[]> {
  const schedule = makeSchedule({
    seed,
    seconds: SECONDS,
    spacingMs: 600,
    kinds: SOAK_FAULT_KINDS,
  });
  const { findings } = await runSoak({
    seed,
    seconds: SECONDS,
    schedule,
    nodeCount: 4,
    targetsPerService: 4,
    isCheckingBounds: false,
  });
  return findings
    .list()
    .filter(({ violations }) => violations > 0)
    .map(({ name, details }) => `${name}: ${details.join('; ')}`);
}

test('a short run under faults violates no guarantee', async () => {
  assert.deepEqual(await listViolations(1), []);
});

test('every break finds the method that it replaces', async () => {
  // Breaks name the methods that they replace in strings. If a method is renamed without its break, a
  // run that should fail passes.
  const names = listBreakModules(BREAKS);
  assert.ok(names.length >= 9);
  for (const name of names) await import(formatBreakModule(name, BREAKS));
});
