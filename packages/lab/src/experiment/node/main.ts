/** `npm run experiment -- SCENARIO --policy A --policy B --seeds N`; see docs/EXPERIMENTS.md. */
import { existsSync, readFileSync } from 'node:fs';
import { Builtins, Cli, Command, Option, UsageError } from 'clipanion';
import type { IComparedPolicy, IEstimate } from '../common/comparison.js';
import { METRIC_NAMES, comparePolicies } from '../common/comparison.js';
import type { IRunResult } from '../common/runRecorder.js';
import type { IScenario } from '../common/scenario.js';
import { POLICY_SPECS, parsePolicy } from '../policies/policySpec.js';
import { runExperiments } from './experimentPool.js';

const SCENARIO_DIRECTORY = new URL('../../../scenarios/', import.meta.url);
const DEFAULT_POLICIES: readonly string[] = ['free-slot', 'expected-credit'];
const DEFAULT_SEEDS = '20';
const DEFAULT_THREADS = '2';
const NAME_WIDTH = 44;
const CELL_WIDTH = 17;
const DECIMAL_PLACES = 4;

class ExperimentCommand extends Command {
  static override readonly paths = [Command.Default];
  static override readonly usage = Command.Usage({
    description:
      'Simulates a scenario under several policies with the same seeds and compares the results.',
    details: `A policy is ${POLICY_SPECS}. The first policy is the baseline of the comparison.`,
    examples: [
      [
        'Compare expected credit with and without the value of probes',
        '$0 three-services --policy expected-credit --policy expected-credit,valuesProbes=false',
      ],
    ],
  });

  readonly scenario = Option.String({ name: 'scenario' });
  readonly policies = Option.Array('--policy', {
    description: `A policy; repeat the option for each one. Default: ${DEFAULT_POLICIES.join(', ')}.`,
  });
  readonly seeds = Option.String('--seeds', DEFAULT_SEEDS, {
    description: 'Number of runs of each policy, with seeds from 1.',
  });
  readonly threads = Option.String('--threads', DEFAULT_THREADS, {
    description: 'Number of worker threads.',
  });
  readonly json = Option.Boolean('--json', false, {
    description: 'Print the report as one JSON object.',
  });

  override async execute(): Promise<number> {
    const policies = this.policies ?? DEFAULT_POLICIES;
    for (const policy of policies) parsePolicy(policy);
    const scenario = loadScenario(this.scenario);
    const count = Number(this.seeds);
    const seeds = Array.from({ length: count }, (_, index) => index + 1);
    const jobs = policies.flatMap((policy) => {
      return seeds.map((seed) => ({ scenario, policy, seed }));
    });
    const results = await runExperiments(jobs, Number(this.threads));
    const runs = policies.map((policy, index) => {
      return { policy, results: results.slice(index * count, (index + 1) * count) };
    });
    const compared = comparePolicies(runs);
    const violated = runs.flatMap((run) => listViolations(run.policy, run.results));
    const report = { scenario: scenario.name, seeds: count, policies: compared, broken: violated };
    const text = [formatTable(scenario.name, compared), ...violated.map((line) => `${line}\n`)];
    this.context.stdout.write(this.json ? `${JSON.stringify(report)}\n` : text.join(''));
    return 0;
  }
}

function loadScenario(name: string): IScenario {
  const bundled = new URL(`${name}.json`, SCENARIO_DIRECTORY);
  const path = existsSync(name) ? name : bundled;
  if (!existsSync(path)) throw new UsageError(`scenario "${name}" does not exist`);
  return JSON.parse(readFileSync(path, 'utf8')) as IScenario;
}

/** One line for each limit that a run violated for a service, with the first window. */
function listViolations(policy: string, runs: readonly IRunResult[]): readonly string[] {
  return runs.flatMap(({ violations }, index) => {
    const first = new Map(
      violations
        .toReversed()
        .map((violation) => [`${violation.limit} ${violation.service}`, violation]),
    );
    return [...first].map(([name, { atMs, text }]) => {
      return `violated: ${policy}, seed ${index + 1}, ${name} at ${atMs} ms: ${text}`;
    });
  });
}

function formatTable(name: string, policies: readonly IComparedPolicy[]): string {
  const head = METRIC_NAMES.map((metric) => metric.padStart(CELL_WIDTH)).join('');
  const lines = policies.flatMap(({ differences, figures, policy }) => {
    const formatRow = (label: string, row: typeof figures) => {
      const cells = METRIC_NAMES.map((metric) => formatEstimate(row[metric]));
      return label.padEnd(NAME_WIDTH) + cells.map((cell) => cell.padStart(CELL_WIDTH)).join('');
    };
    const rows = [formatRow(policy, figures)];
    if (differences !== undefined) rows.push(formatRow('  difference', differences));
    return rows;
  });
  return `${[name.padEnd(NAME_WIDTH) + head, ...lines].join('\n')}\n`;
}

function formatEstimate({ halfWidth, mean }: IEstimate): string {
  return `${mean.toFixed(DECIMAL_PLACES)} ±${halfWidth.toFixed(DECIMAL_PLACES)}`;
}

const cli = new Cli({ binaryLabel: 'Experiments', binaryName: 'npm run experiment --' });
cli.register(ExperimentCommand);
cli.register(Builtins.HelpCommand);
process.exitCode = await cli.run(process.argv.slice(2));
