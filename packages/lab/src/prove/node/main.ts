/**
 * `npm run prove -- --seed N --seconds S`: makes a long randomised run over real processes. Exits 1 on
 * any violation and prints the command that repeats the same schedule.
 */
import { parseArgs } from 'node:util';
import { parseFaultKinds } from '../common/faultKindList.js';
import { FAULT_KINDS, makeSchedule } from '../common/faultSchedule.js';
import { formatBreakModule, listBreakModules } from './breakModules.js';
import { OUTSIDE_BREAKS, parseOutsideBreak } from './brokenWorld.js';
import type { IProveRunOptions } from './proveRun.js';
import { runProve } from './proveRun.js';

const USAGE = `npm run prove -- [--seed N] [--seconds S] [--spacing MS] [--load FACTOR]
  [--only KIND,KIND] [--break NAME]
kinds: ${FAULT_KINDS.join(', ')}
breaks around the nodes: ${OUTSIDE_BREAKS.join(', ')}
breaks inside the nodes: ${listBreakModules().join(', ')}`;

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    seconds: { type: 'string', default: '30' },
    spacing: { type: 'string', default: '1500' },
    load: { type: 'string', default: '1' },
    only: { type: 'string', default: '' },
    break: { type: 'string', default: '' },
    help: { type: 'boolean', default: false },
  },
});

function makeBreakOptions(name: string): Partial<IProveRunOptions> {
  if (name === '') return {};
  const outsideBreak = parseOutsideBreak(name);
  if (outsideBreak !== undefined) return { outsideBreak };
  if (!listBreakModules().includes(name)) throw new Error(`there is no break "${name}"\n${USAGE}`);
  return { breakModule: formatBreakModule(name) };
}

async function runCommand(): Promise<number> {
  const seed = Number(values.seed);
  const seconds = Number(values.seconds);
  const kinds = parseFaultKinds(values.only, FAULT_KINDS);
  const schedule = makeSchedule({ seed, seconds, spacingMs: Number(values.spacing), kinds });
  console.log(`seed ${seed}, ${seconds} s, ${schedule.length} faults`);
  for (const { atMs, kind, durationMs, pick, size } of schedule) {
    console.log(`  ${atMs} ms ${kind} for ${durationMs} ms, pick ${pick}, size ${size.toFixed(2)}`);
  }
  const loadFactor = Number(values.load);
  const options = { seed, seconds, schedule, loadFactor, ...makeBreakOptions(values.break) };
  const isClean = await runProve(options);
  const again = process.argv.slice(2).join(' ');
  console.log(isClean ? '\nno violations' : `\nVIOLATIONS; again: npm run prove -- ${again}`);
  return isClean ? 0 : 1;
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
