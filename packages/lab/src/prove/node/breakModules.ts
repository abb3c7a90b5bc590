/** Modules that break one mechanism in the nodes that load them. */
import { readdirSync } from 'node:fs';

const DIRECTORY = new URL('../breaks/node/', import.meta.url);
const HELPER = 'wrapMethod';
const EXTENSION = '.js';

/** Names of the breaks, sorted. */
export function listBreakModules(): readonly string[] {
  return readdirSync(DIRECTORY)
    .filter((file) => file.endsWith(EXTENSION) && !file.endsWith(`.test${EXTENSION}`))
    .map((file) => file.slice(0, -EXTENSION.length))
    .filter((name) => name !== HELPER)
    .sort();
}

/** What Node's `--import` takes. */
export function formatBreakModule(name: string): string {
  return new URL(`${name}${EXTENSION}`, DIRECTORY).href;
}
