import assert from 'node:assert/strict';
import { readFile } from 'node:fs/promises';
import { test } from 'node:test';
import { getRepositoryUrl } from './repository.js';

interface INamingOption {
  readonly selector?: string;
  readonly custom?: { readonly regex: string };
}

interface ILintModule {
  readonly default: readonly { readonly rules?: Readonly<Record<string, unknown>> }[];
}

async function readLintedVerbs(): Promise<readonly string[]> {
  const { default: config } = (await import(
    getRepositoryUrl('eslint.config.mjs').href
  )) as ILintModule;
  const options = config.flatMap(({ rules }) => {
    const rule = rules?.['@typescript-eslint/naming-convention'];
    return Array.isArray(rule) ? (rule as INamingOption[]) : [];
  });
  const regex = options.find(({ selector }) => selector === 'function')?.custom?.regex ?? '';
  return /\(([a-z|]+)\)/.exec(regex)?.[1]?.split('|') ?? [];
}

test('docs/NAMING.md lists the verbs of the linter in order, each with a meaning', async () => {
  const page = await readFile(getRepositoryUrl('docs/NAMING.md'), 'utf8');
  const rows = [...page.matchAll(/^\| ([a-z]+) +\| (.*?) *\|$/gm)].filter(
    ([, verb]) => verb !== 'verb',
  );
  const verbs = await readLintedVerbs();
  assert.ok(verbs.length > 0);
  assert.deepEqual(
    rows.map(([, verb]) => verb),
    verbs,
    'docs/NAMING.md and VERBS of eslint.config.mjs differ',
  );
  assert.deepEqual(verbs, [...verbs].sort());
  assert.ok(rows.every(([, , meaning]) => meaning !== ''));
});
