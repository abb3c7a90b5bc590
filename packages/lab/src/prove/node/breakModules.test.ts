import assert from 'node:assert/strict';
import { test } from 'node:test';
import { formatBreakModule, listBreakModules } from './breakModules.js';

// Symptom: a run that should fail passes. Sequence: a method of the product is renamed, and the
// break that replaces it finds nothing to replace. Cause: breaks reach into the product by name.
test('every break still finds what it breaks', async () => {
  const names = listBreakModules();
  assert.ok(names.length >= 10);
  for (const name of names) await import(formatBreakModule(name));
});
