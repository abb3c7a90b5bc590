/** Runs scenarios for tests and lists the limits that they violated. */
import { readFileSync } from 'node:fs';
import { ExperimentRun } from '../common/experimentRun.js';
import type { IRunResult } from '../common/runRecorder.js';
import type { ILimitViolation } from '../common/fleetObserver.js';
import type { IScenario } from '../common/scenario.js';
import { parsePolicy } from '../policies/policySpec.js';

const SCENARIOS = new URL('../../../scenarios/', import.meta.url);

/** Runs a scenario once with the fleet's default policy. */
export function runScenario(name: string, seed: number): Promise<IRunResult> {
  const text = readFileSync(new URL(`${name}.json`, SCENARIOS), 'utf8');
  const scenario = JSON.parse(text) as IScenario;
  return new ExperimentRun(scenario, parsePolicy('expected-credit'), seed).run();
}

/** Descriptions of all violations of one limit over several seeds. */
export async function listViolations(
  name: string,
  limit: ILimitViolation['limit'],
  seeds: readonly number[],
): Promise<readonly string[]> {
  const found: string[] = [];
  for (const seed of seeds) {
    const { violations } = await runScenario(name, seed);
    const matching = violations.filter((violation) => violation.limit === limit);
    found.push(...matching.map(({ atMs, service, text }) => `${service}, ${atMs} ms: ${text}`));
  }
  return found;
}
