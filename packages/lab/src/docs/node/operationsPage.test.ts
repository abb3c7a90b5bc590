import assert from 'node:assert/strict';
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { test } from 'node:test';
import { listResultInfos } from '@parsleymux/base';
import { getRepositoryUrl } from './repository.js';

const METRIC_NAME = /'(parsleymux_[a-z_]+)'/g;
const page = readFileSync(getRepositoryUrl('docs/OPERATIONS.md'), 'utf8');

function listMetricNames(): ReadonlySet<string> {
  const packages = fileURLToPath(getRepositoryUrl('packages'));
  const files = readdirSync(packages).flatMap((name) => {
    const source = join(packages, name, 'src');
    const paths = readdirSync(source, { recursive: true, encoding: 'utf8' });
    return paths.filter((path) => path.endsWith('.ts')).map((path) => join(source, path));
  });
  const names = files
    .filter((path) => !path.endsWith('.test.ts') && !path.includes('/lab/src/'))
    .flatMap((path) => [...readFileSync(path, 'utf8').matchAll(METRIC_NAME)])
    .flatMap((match) => match[1] ?? []);
  return new Set(names);
}

test('docs/OPERATIONS.md lists every result code and every metric', () => {
  const missing = [
    ...listResultInfos().map(({ code, name }) => `${code} ${name}`),
    ...[...listMetricNames()].map((name) => `\`${name}\``),
  ].filter((wanted) => !page.includes(wanted));
  assert.deepEqual(missing, []);
  assert.ok(listMetricNames().size > 20);
});
