import assert from 'node:assert/strict';
import { test } from 'node:test';
import { formatBreakModule, listBreakModules } from './breakModules.js';

// Breaks name the methods that they replace in strings. If a method is renamed without its break, a
// run that should fail passes.
test('every break finds the method that it replaces', async () => {
  const names = listBreakModules();
  assert.ok(names.length >= 10);
  for (const name of names) await import(formatBreakModule(name));
});
