import assert from 'node:assert/strict';
import { test } from 'node:test';
import { makeSchedule } from '../../prove/common/faultSchedule.js';
import { formatBreakModule, listBreakModules } from '../../prove/node/breakModules.js';
import { SOAK_FAULT_KINDS } from '../common/soakFaultKind.js';
import { runSoak } from './soakRun.js';

const BREAKS = new URL('../breaks/node/', import.meta.url);
const SECONDS = 8;

/** Checks that hold on a computer of any speed; those with a bound of time are run by hand. */
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

test('a short run under faults keeps every promise', async () => {
  assert.deepEqual(await listViolations(1), []);
});

test('every break still finds what it turns off', async () => {
  // Symptom: a run that should fail passes. Sequence: a method of the product is renamed, and the
  // break that replaces it finds nothing to replace. Cause: breaks reach into the product by name.
  const names = listBreakModules(BREAKS);
  assert.ok(names.length >= 9);
  for (const name of names) await import(formatBreakModule(name, BREAKS));
});
