/** Entry point of the `parsleyctl` command line. */
import { execute } from './cli/node/cli.js';

/**
 * Runs one command with the streams and the environment of the process. Returns the exit status.
 *
 * @example
 * process.exitCode = await runParsleyctl(['status', '--json']);
 */
export function runParsleyctl(words: readonly string[]): Promise<number> {
  return execute(words, {
    stdin: process.stdin,
    stdout: process.stdout,
    stderr: process.stderr,
    env: process.env,
    colorDepth: 1,
  });
}
