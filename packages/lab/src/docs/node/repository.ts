/** Locates files of the repository and generates the pages of docs/. */
import { readFile } from 'node:fs/promises';
import { format, resolveConfig } from 'prettier';
import type { IPage } from '../common/pages.js';
import { renderPages } from '../common/pages.js';

const ROOT = new URL('../../../../../', import.meta.url);
const PROTO_FOLDER = 'packages/schema/proto/parsleymux';

/**
 * Returns the URL of a file, given its path relative to the root of the repository.
 *
 * @example
 * const text = await readFile(getRepositoryUrl('docs/NAMING.md'), 'utf8');
 */
export function getRepositoryUrl(path: string): URL {
  return new URL(path, ROOT);
}

/**
 * Renders all generated pages, formatted with Prettier as they are committed.
 *
 * @example
 * for (const { path, text } of await makePages()) await writeFile(path, text);
 */
export async function makePages(): Promise<readonly IPage[]> {
  const [settings, config] = await Promise.all([
    readFile(getRepositoryUrl(`${PROTO_FOLDER}/settings/v1/settings.proto`), 'utf8'),
    readFile(getRepositoryUrl(`${PROTO_FOLDER}/config/v1/config.proto`), 'utf8'),
  ]);
  const options = await resolveConfig(getRepositoryUrl('docs/x.md'));
  return Promise.all(
    renderPages({ settings, config }).map(async ({ path, text }) => {
      return { path, text: await format(text, { ...options, parser: 'markdown' }) };
    }),
  );
}
