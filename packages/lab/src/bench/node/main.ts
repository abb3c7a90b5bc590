/** `npm run bench -- NAME [--json] [--seed N] [--set name=value]`: runs one benchmark. */
import { existsSync, readdirSync } from 'node:fs';
import { availableParallelism, loadavg } from 'node:os';
import { fileURLToPath } from 'node:url';
import { Builtins, Cli, Command, Option, UsageError } from 'clipanion';
import type { Bench, IBenchOptions, IBenchReport } from '../common/bench.js';
import { formatReport } from '../common/formatReport.js';

const BENCH_DIRECTORY = new URL('../', import.meta.url);
const DEFAULT_SEED = '1';

class BenchCommand extends Command {
  static override readonly paths = [Command.Default];
  static override readonly usage = Command.Usage({
    description: 'Runs one benchmark and prints its results.',
    examples: [['The placement benchmark, as JSON', '$0 placement --json']],
  });

  readonly name = Option.String();
  readonly json = Option.Boolean('--json', false, { description: 'Print JSON.' });
  readonly seed = Option.String('--seed', DEFAULT_SEED, {
    description: 'Seed of the random number generators.',
  });
  readonly set = Option.Array('--set', [], { description: 'Sets an option of the benchmark.' });

  override async execute(): Promise<void> {
    const bench = await loadBench(this.name);
    const load = loadavg()[0] ?? 0;
    const report = await bench.run(this.makeOptions());
    this.context.stdout.write(this.json ? this.formatJson(report, load) : formatReport(report));
  }

  private makeOptions(): IBenchOptions {
    const values = new Map(this.set.map((pair) => parsePair(pair)));
    const log = (line: string) => this.context.stderr.write(`${line}\n`);
    return { seed: Number(this.seed), values, log };
  }

  private formatJson(report: IBenchReport, loadAtStart: number): string {
    const machine = { cores: availableParallelism(), node: process.version, loadAtStart };
    const output = { bench: this.name, seed: Number(this.seed), machine, ...report };
    return `${JSON.stringify(output, undefined, 2)}\n`;
  }
}

function parsePair(pair: string): readonly [string, string] {
  const index = pair.indexOf('=');
  if (index <= 0) throw new UsageError(`--set expects name=value, got "${pair}"`);
  return [pair.slice(0, index), pair.slice(index + 1)];
}

async function loadBench(name: string): Promise<Bench> {
  const names = listBenches();
  if (!names.includes(name)) {
    throw new UsageError(`unknown benchmark "${name}"; available: ${names.join(', ')}`);
  }
  const loaded = (await import(formatModule(name).href)) as { readonly bench: Bench };
  return loaded.bench;
}

function listBenches(): readonly string[] {
  return readdirSync(BENCH_DIRECTORY)
    .filter((name) => existsSync(fileURLToPath(formatModule(name))))
    .sort();
}

function formatModule(name: string): URL {
  return new URL(`${name}/node/bench.js`, BENCH_DIRECTORY);
}

const cli = new Cli({ binaryLabel: 'parsleymux benchmarks', binaryName: 'npm run bench --' });
cli.register(BenchCommand);
cli.register(Builtins.HelpCommand);
await cli.runExit(process.argv.slice(2));
