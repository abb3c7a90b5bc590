/** Where the documentation is, and how its pages are made. */
import { readFile } from 'node:fs/promises';
import { format, resolveConfig } from 'prettier';
import type { IPage } from '../common/pages.js';
import { renderPages } from '../common/pages.js';

const ROOT = new URL('../../../../../', import.meta.url);
const PROTO_FOLDER = 'packages/schema/proto/parsleymux';

/**
 * The place of a file, from its path in the repository.
 *
 * @example
 * const text = await readFile(getRepositoryUrl('docs/NAMING.md'), 'utf8');
 */
export function getRepositoryUrl(path: string): URL {
  return new URL(path, ROOT);
}

/**
 * Every generated page, formatted as the committed one must be.
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
