import assert from 'node:assert/strict';
import { readFile } from 'node:fs/promises';
import { test } from 'node:test';
import { getRepositoryUrl, makePages } from './repository.js';

test('the committed pages match the code', async () => {
  for (const page of await makePages()) {
    const committed = await readFile(getRepositoryUrl(page.path), 'utf8');
    assert.equal(committed, page.text, `${page.path}: run npm run generate:docs`);
  }
});
