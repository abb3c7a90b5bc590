/** Runs the commands of docs/walkthrough.md in one shell. */
import { spawn } from 'node:child_process';
import { chmodSync, mkdirSync, writeFileSync } from 'node:fs';
import { delimiter, join } from 'node:path';
import { Program } from '../../processes/node/programs.js';
import type { IWalkthrough } from '../common/walkthroughText.js';

const SEPARATOR = '@@ end of step @@';
const TIMEOUT_MS = 120_000;

/** The exit code and output of the shell. */
export interface IWalkthroughResult {
  readonly exitCode: number | null;
  /** Standard output of each step, in order. */
  readonly outputs: readonly string[];
  readonly errors: string;
}

/** The environment of the commands. */
export interface IWalkthroughOptions {
  readonly directory: string;
  readonly adminUrl: string;
}

/**
 * Runs every step in one shell, which exits at the first command that fails.
 *
 * @example
 * const { outputs } = await runWalkthrough(walkthrough, { directory, adminUrl });
 */
export async function runWalkthrough(
  walkthrough: IWalkthrough,
  options: IWalkthroughOptions,
): Promise<IWalkthroughResult> {
  const { directory, adminUrl } = options;
  for (const [name, content] of walkthrough.files) writeFileSync(join(directory, name), content);
  const script = walkthrough.steps
    .map(({ commands }) => `${commands}\necho '${SEPARATOR}'`)
    .join('\n');
  const shell = spawn('bash', ['-e', '-o', 'pipefail', '-c', script], {
    cwd: directory,
    env: {
      ...process.env,
      PATH: `${writeLauncher(directory)}${delimiter}${process.env.PATH ?? ''}`,
      PARSLEYCTL_ADMIN: adminUrl,
    },
    stdio: ['ignore', 'pipe', 'pipe'],
    timeout: TIMEOUT_MS,
  });
  let output = '';
  let errors = '';
  shell.stdout.on('data', (chunk: Buffer) => (output += chunk.toString()));
  shell.stderr.on('data', (chunk: Buffer) => (errors += chunk.toString()));
  const exitCode = await new Promise<number | null>((resolve) => shell.once('close', resolve));
  return { exitCode, errors, outputs: output.split(`${SEPARATOR}\n`) };
}

/** Writes an executable `parsleyctl`, as an installed package provides, and returns its folder. */
function writeLauncher(directory: string): string {
  const folder = join(directory, 'bin');
  mkdirSync(folder);
  const launcher = join(folder, 'parsleyctl');
  writeFileSync(launcher, `#!/bin/sh\nexec "${process.execPath}" "${Program.Ctl}" "$@"\n`);
  chmodSync(launcher, 0o755);
  return folder;
}
