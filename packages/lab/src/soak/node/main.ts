/**
 * `npm run soak -- --seed N --seconds S`: runs nodes for the users' platform as processes, injects
 * faults from outside and checks the guarantees of the users' documentation. Exits 1 on any violation.
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { parseFaultKinds } from '../../prove/common/faultKindList.js';
import { makeSchedule } from '../../prove/common/faultSchedule.js';
import { formatBreakModule, listBreakModules } from '../../prove/node/breakModules.js';
import type { SoakFaultKind } from '../common/soakFaultKind.js';
import {
  FIFTH_FAULT_KINDS,
  FIRST_FAULT_KINDS,
  FOURTH_FAULT_KINDS,
  SECOND_FAULT_KINDS,
  SIXTH_FAULT_KINDS,
  SOAK_FAULT_KINDS,
  THIRD_FAULT_KINDS,
} from '../common/soakFaultKind.js';
import { REGRESSION_SEEDS } from '../common/regressionSeeds.js';
import { runSoak } from './soakRun.js';

const BREAKS = new URL('../breaks/node/', import.meta.url);
/** The break that acts in the targets instead of the nodes. */
const LAX_TARGETS = 'laxTargets';
const USAGE = `npm run soak -- [--seed N] [--runs COUNT] [--seconds S] [--spacing MS] [--nodes COUNT]
  [--targets COUNT] [--only KIND,KIND] [--break NAME] [--logs DIRECTORY] [--regressions] [--second] [--third]
  [--fourth] [--fifth] [--sixth] [--processors LIST] [--callers COUNT]
  [--added-routes COUNT]
--sixth: without the newest fault kind, to replay seeds that failed before it was added; --fifth, --fourth, --third
and --second: also without the kinds added before that
--processors: the processors that all nodes share, such as 0,1; --callers: callers for each node
--added-routes: routes that every third configuration has more
kinds: ${SOAK_FAULT_KINDS.join(', ')}
breaks: ${[LAX_TARGETS, ...listBreakModules(BREAKS)].join(', ')}`;

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    runs: { type: 'string', default: '1' },
    seconds: { type: 'string', default: '20' },
    spacing: { type: 'string', default: '700' },
    nodes: { type: 'string', default: '6' },
    targets: { type: 'string', default: '5' },
    only: { type: 'string', default: '' },
    break: { type: 'string', default: '' },
    logs: { type: 'string', default: 'out/soak' },
    regressions: { type: 'boolean', default: false },
    second: { type: 'boolean', default: false },
    third: { type: 'boolean', default: false },
    fourth: { type: 'boolean', default: false },
    fifth: { type: 'boolean', default: false },
    sixth: { type: 'boolean', default: false },
    processors: { type: 'string' },
    callers: { type: 'string' },
    'added-routes': { type: 'string' },
    help: { type: 'boolean', default: false },
  },
});

function makeBreakOptions(name: string): { breakModule?: string; hasLaxTargets?: boolean } {
  if (name === '') return {};
  if (name === LAX_TARGETS) return { hasLaxTargets: true };
  if (!listBreakModules(BREAKS).includes(name))
    throw new Error(`there is no break "${name}"\n${USAGE}`);
  return { breakModule: formatBreakModule(name, BREAKS) };
}

function storeLogs(seed: number, logs: ReadonlyMap<string, readonly string[]>): void {
  const directory = join(values.logs, `seed-${seed}`);
  mkdirSync(directory, { recursive: true });
  for (const [node, lines] of logs) writeFileSync(join(directory, `${node}.log`), lines.join('\n'));
  console.log(`logs are in ${directory}`);
}

function getKinds(): readonly SoakFaultKind[] {
  if (values.regressions) return FIRST_FAULT_KINDS;
  if (values.second) return SECOND_FAULT_KINDS;
  if (values.third) return THIRD_FAULT_KINDS;
  if (values.fourth) return FOURTH_FAULT_KINDS;
  if (values.fifth) return FIFTH_FAULT_KINDS;
  return values.sixth ? SIXTH_FAULT_KINDS : SOAK_FAULT_KINDS;
}

function parseCount(text: string | undefined): number | undefined {
  return text === undefined ? undefined : Number(text);
}

async function runSeed(seed: number, seconds: number): Promise<boolean> {
  const allKinds = getKinds();
  const kinds = parseFaultKinds(values.only, allKinds);
  const schedule = makeSchedule({ seed, seconds, spacingMs: Number(values.spacing), kinds });
  console.log(`\nseed ${seed}, ${seconds} s, ${schedule.length} faults`);
  const { findings, requests, served } = await runSoak({
    seed,
    seconds,
    schedule,
    nodeCount: Number(values.nodes),
    targetsPerService: Number(values.targets),
    processors: values.processors,
    callersPerNode: parseCount(values.callers),
    addedRoutes: parseCount(values['added-routes']),
    isCheckingBounds: true,
    storeLogs: (logs) => {
      storeLogs(seed, logs);
    },
    ...makeBreakOptions(values.break),
  });
  const result = findings.hasViolations() ? 'VIOLATIONS' : 'no violations';
  console.log(`seed ${seed}: ${requests} requests, ${served} served, ${result}`);
  return !findings.hasViolations();
}

function listRuns(): readonly { readonly seed: number; readonly seconds: number }[] {
  if (values.regressions) return REGRESSION_SEEDS;
  const first = Number(values.seed);
  const seconds = Number(values.seconds);
  return Array.from({ length: Number(values.runs) }, (_, index) => ({
    seed: first + index,
    seconds,
  }));
}

async function runCommand(): Promise<number> {
  const failed: number[] = [];
  for (const { seed, seconds } of listRuns()) {
    if (!(await runSeed(seed, seconds))) failed.push(seed);
  }
  if (failed.length > 0) console.log(`\nseeds with violations: ${failed.join(', ')}`);
  return failed.length > 0 ? 1 : 0;
}

if (values.help) {
  console.log(USAGE);
} else {
  process.exit(
    await runCommand().catch((error: unknown) => {
      console.error(error);
      return 1;
    }),
  );
}
