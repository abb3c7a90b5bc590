/** Lists the modules that disable one mechanism in the nodes that load them. */
import { readdirSync } from 'node:fs';

/** Directory of the breaks of `prove`. */
const DEFAULT_DIRECTORY = new URL('../breaks/node/', import.meta.url);
const HELPER = 'wrapMethod';
const EXTENSION = '.js';

/** Lists the names of the breaks in a directory, sorted. */
export function listBreakModules(directory: URL = DEFAULT_DIRECTORY): readonly string[] {
  return readdirSync(directory)
    .filter((file) => file.endsWith(EXTENSION) && !file.endsWith(`.test${EXTENSION}`))
    .map((file) => file.slice(0, -EXTENSION.length))
    .filter((name) => name !== HELPER)
    .sort();
}

/** Formats a break's URL for the `--import` option of Node.js. */
export function formatBreakModule(name: string, directory: URL = DEFAULT_DIRECTORY): string {
  return new URL(`${name}${EXTENSION}`, directory).href;
}
