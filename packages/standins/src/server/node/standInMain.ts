/** Shared by the stand-ins' programs: reading the configuration, reporting readiness, stopping. */
import { fstatSync } from 'node:fs';
import { parseArgs } from 'node:util';
import type { IDisposable } from '@parsleymux/base';

/**
 * Parses the JSON value of `--config`; `{}` when absent.
 *
 * @example
 * const config = parseConfigArgument(process.argv.slice(2)) as ITargetConfig;
 */
export function parseConfigArgument(argv: readonly string[]): unknown {
  const { values } = parseArgs({ args: [...argv], options: { config: { type: 'string' } } });
  return JSON.parse(values.config ?? '{}') as unknown;
}

/**
 * Prints one line of JSON with the addresses to standard output, which reports readiness to the parent
 * process.
 *
 * @example
 * printReady({ control: target.getControlAddress() });
 */
export function printReady(ready: Readonly<Record<string, unknown>>): void {
  process.stdout.write(`${JSON.stringify(ready)}\n`);
}

/**
 * Disposes of the stand-in and exits on SIGTERM, on SIGINT, or when the parent process closes
 * standard input. A parent that is killed sends no signal; without watching the pipe, the stand-in
 * would keep running and hold its ports.
 *
 * @example
 * disposeOnStop(target);
 */
export function disposeOnStop(standIn: IDisposable): void {
  const stop = () => {
    void Promise.resolve(standIn.dispose()).finally(() => process.exit(0));
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
  const input = fstatSync(0);
  if (!input.isFIFO() && !input.isSocket()) return;
  process.stdin.once('end', stop);
  process.stdin.resume();
}
