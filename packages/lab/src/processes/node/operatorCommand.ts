/** Runs `parsleyctl` as an operator would. */
import VError from 'verror';
import type { ProcessFleet } from './processFleet.js';
import { Program } from './programs.js';

/** Options of an {@link OperatorCommand}. */
export interface IOperatorCommandOptions {
  readonly fleet: ProcessFleet;
  /** Administration address of a node. */
  readonly admin: string;
  readonly key: string;
  /** CA file for the certificate of the administration API. Absent: plain HTTP. */
  readonly authorityFile?: string | undefined;
}

/** Result of one run of the command. */
export interface ICommandResult {
  readonly exitCode: number | null;
  /** The JSON on standard output, or undefined when the output is not JSON. */
  readonly output: unknown;
  readonly errors: string;
}

/**
 * An operator of one member.
 *
 * @example
 * const operator = new OperatorCommand({ fleet, admin, key });
 * const result = await operator.run(['plan', 'confirm', id]);
 */
export class OperatorCommand {
  constructor(private readonly options: IOperatorCommandOptions) {}

  /** Runs one command to its end. Does not throw on a nonzero exit code. */
  async run(args: readonly string[]): Promise<ICommandResult> {
    const { fleet, admin, key, authorityFile } = this.options;
    const access =
      authorityFile === undefined
        ? ['--admin', `http://${admin}`]
        : ['--admin', `https://${admin}`, '--ca', authorityFile];
    const child = fleet.start({
      name: `parsleyctl ${args.join(' ')}`,
      script: Program.Ctl,
      args: [...args, ...access, '--key', key, '--json'],
    });
    const { code } = await child.waitForEnd();
    const output = parseOutput(child.getOutputLines().join('\n'));
    return { exitCode: code, output, errors: child.getErrorLines().join('\n') };
  }

  /** Submits an intent file, confirms the resulting plan and returns the plan's id. */
  async applyIntent(file: string): Promise<string> {
    const plan = (await this.runOrThrow(['intent', 'submit', file])) as { readonly id: string };
    await this.runOrThrow(['plan', 'confirm', plan.id]);
    return plan.id;
  }

  private async runOrThrow(args: readonly string[]): Promise<unknown> {
    const { exitCode, output, errors } = await this.run(args);
    if (exitCode === 0) return output;
    throw new VError('parsleyctl %s exited %s:\n%s', args.join(' '), exitCode, errors);
  }
}

function parseOutput(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}
