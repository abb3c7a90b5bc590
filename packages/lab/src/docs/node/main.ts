/** Writes the generated pages to docs/ and prints their paths. */
import { writeFile } from 'node:fs/promises';
import { getRepositoryUrl, makePages } from './repository.js';

for (const page of await makePages()) {
  await writeFile(getRepositoryUrl(page.path), page.text);
  console.log(page.path);
}
