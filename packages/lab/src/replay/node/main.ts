/** `npm run replay -- TRACE [--policy NAME] [--seed N] [--json]`; see docs/TRACES.md. */
import { existsSync, readFileSync } from 'node:fs';
import { Builtins, Cli, Command, Option, UsageError } from 'clipanion';
import type { IExpectedOutcome, ITrace } from '../../trace/common/trace.js';
import { parseTrace } from '../../trace/common/traceFormat.js';
import { buildTrace, listTraceNames } from '../../trace/common/traceGenerator.js';
import { checkOutcome } from '../common/outcomeCheck.js';
import type { PolicyName } from '../common/policies.js';
import { createPolicyDetector, isPolicyName, POLICY_NAMES } from '../common/policies.js';
import type { IReplayResult } from '../common/replayResult.js';
import { replayTrace } from '../common/replayTrace.js';

const OUTCOME_DIRECTORY = new URL('../../../traces/', import.meta.url);
const DEFAULT_POLICY = 'sequential';
const DEFAULT_SEED = '1';
const ALL = 'all';
const VIOLATION_EXIT_CODE = 1;

interface IReplayReport extends IReplayResult {
  readonly broken: readonly string[];
}

class ReplayCommand extends Command {
  static override readonly paths = [Command.Default];
  static override readonly usage = Command.Usage({
    description: 'Replays a trace against the routing code and checks its expected outcome.',
    details: `A trace is a file of JSON lines, the name of a built-in trace, or "all".\n\n${listTraceNames().join(', ')}`,
    examples: [['One target fails a fifth of its requests', '$0 dobrescu-fail-20 --seed 2']],
  });

  readonly trace = Option.String();
  readonly policy = Option.String('--policy', DEFAULT_POLICY, {
    description: `One of ${POLICY_NAMES.join(', ')}.`,
  });
  readonly seed = Option.String('--seed', DEFAULT_SEED, {
    description: 'Seed of the random numbers.',
  });
  readonly json = Option.Boolean('--json', false, {
    description: 'Print one JSON object for each trace.',
  });

  override async execute(): Promise<number> {
    if (!isPolicyName(this.policy)) throw new UsageError(`policy "${this.policy}" does not exist`);
    const names = this.trace === ALL ? listTraceNames() : [this.trace];
    let hasViolations = false;
    for (const name of names) {
      const report = await runReplay(name, this.policy, Number(this.seed));
      this.context.stdout.write(this.json ? `${JSON.stringify(report)}\n` : formatReport(report));
      hasViolations ||= report.broken.length > 0;
    }
    return hasViolations ? VIOLATION_EXIT_CODE : 0;
  }
}

async function runReplay(name: string, policy: PolicyName, seed: number): Promise<IReplayReport> {
  const trace = loadTrace(name, seed);
  const { detection } = trace.header.service;
  const createDetector = () => createPolicyDetector(policy, detection);
  const result = await replayTrace(trace, { policy, seed, createDetector });
  return { ...result, broken: checkOutcome(result, loadOutcome(name, trace)) };
}

function loadTrace(name: string, seed: number): ITrace {
  if (existsSync(name)) return parseTrace(readFileSync(name, 'utf8'));
  if (!listTraceNames().includes(name)) throw new UsageError(`trace "${name}" does not exist`);
  return buildTrace(name, seed);
}

/** Loads the outcome file next to the trace, or else the built-in one for the trace's name. */
function loadOutcome(name: string, trace: ITrace): IExpectedOutcome {
  const adjacent = name.replace(/\.jsonl$/, '.outcome.json');
  const builtIn = new URL(`${trace.header.name}.outcome.json`, OUTCOME_DIRECTORY);
  const path = [adjacent, builtIn].find((candidate) => candidate !== name && existsSync(candidate));
  return path === undefined ? {} : (JSON.parse(readFileSync(path, 'utf8')) as IExpectedOutcome);
}

function formatReport(report: IReplayReport): string {
  const detections = report.detectionMs.map((timeMs) => timeMs?.toFixed(0) ?? 'never').join(', ');
  const lines = [
    `${report.trace} (${report.policy}, seed ${report.seed}): ${report.broken.length === 0 ? 'as expected' : 'NOT AS EXPECTED'}`,
    `  requests ${report.requests}, errors ${(100 * report.errorShare).toFixed(3)}%`,
    `  latency p50 ${report.p50Ms.toFixed(0)} ms, p99 ${report.p99Ms.toFixed(0)} ms`,
    `  detection ${detections === '' ? 'not required' : `${detections} ms`}`,
    `  false ejections ${report.falseEjections}, slots over the floor ${report.slotsOverFloor}`,
    `  attempts per request ${report.amplification.toFixed(3)}`,
    ...report.broken.map((line) => `  VIOLATED: ${line}`),
  ];
  return `${lines.join('\n')}\n`;
}

const cli = new Cli({ binaryLabel: 'parsleymux replays', binaryName: 'npm run replay --' });
cli.register(ReplayCommand);
cli.register(Builtins.HelpCommand);
await cli.runExit(process.argv.slice(2));
