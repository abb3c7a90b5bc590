/** What the stand-ins' programs have in common: configuration, the line that says ready, the end. */
import { fstatSync } from 'node:fs';
import { parseArgs } from 'node:util';
import type { IDisposable } from '@parsleymux/base';

/**
 * Reads the JSON object of `--config`; `{}` when absent.
 *
 * @example
 * const config = parseConfigArgument(process.argv.slice(2)) as ITargetConfig;
 */
export function parseConfigArgument(argv: readonly string[]): unknown {
  const { values } = parseArgs({ args: [...argv], options: { config: { type: 'string' } } });
  return JSON.parse(values.config ?? '{}') as unknown;
}

/**
 * Prints the one line on standard output that tells the starter the addresses.
 *
 * @example
 * printReady({ control: target.getControlAddress() });
 */
export function printReady(ready: Readonly<Record<string, unknown>>): void {
  process.stdout.write(`${JSON.stringify(ready)}\n`);
}

/**
 * Disposes of the stand-in and ends the process on SIGTERM, on SIGINT, or when the starter's end
 * of standard input closes. A starter that is killed sends no signal; without watching the pipe,
 * the stand-in would stay behind for ever, holding its ports.
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
