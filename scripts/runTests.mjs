import { existsSync, readFileSync, readdirSync } from 'node:fs';
import { join } from 'node:path';
import { run } from 'node:test';
import { spec } from 'node:test/reporters';

/** Tests that start processes share the cores; a higher concurrency only slows them down. */
const TEST_CONCURRENCY = 4;
/** A test file that hangs fails after this time instead of blocking the run. */
const TEST_TIMEOUT_MS = 240_000;

/** Reads the names of tests that may fail. They are printed; any other failing test fails the run. */
function readKnownFailures() {
  if (!existsSync('KNOWN-RED.txt')) return [];
  const lines = readFileSync('KNOWN-RED.txt', 'utf8').split('\n');
  return lines
    .map((line) => line.trim())
    .filter((line) => line !== '' && !line.startsWith('#'))
    .map((line) => line.split(';')[0].trim());
}

function listTestFiles(directory) {
  const found = [];
  for (const entry of readdirSync(directory, { withFileTypes: true })) {
    const path = join(directory, entry.name);
    if (entry.isDirectory() && entry.name !== 'node_modules') found.push(...listTestFiles(path));
    if (entry.isFile() && entry.name.endsWith('.test.js')) found.push(path);
  }
  return found;
}

const filters = process.argv.slice(2);
const knownFailures = readKnownFailures();
const files = [...readdirSync('packages').map((name) => join('packages', name)), 'platform']
  .map((path) => join(path, 'dist'))
  .filter((path) => existsSync(path))
  .flatMap(listTestFiles)
  .filter((path) => filters.length === 0 || filters.some((filter) => path.includes(filter)))
  .sort();

let passed = 0;
const expectedFailures = [];
const failed = [];
const stream = run({ files, concurrency: TEST_CONCURRENCY, timeout: TEST_TIMEOUT_MS });
stream.on('test:pass', (event) => {
  if (event.details.type !== 'suite' && event.nesting >= 0) passed += 1;
});
stream.on('test:fail', (event) => {
  if (event.details.error?.failureType === 'subtestsFailed') return;
  (knownFailures.includes(event.name) ? expectedFailures : failed).push(event.name);
});
stream.on('end', () => {
  for (const name of expectedFailures) console.log(`known red: ${name}`);
  for (const name of failed) console.log(`failed: ${name}`);
  console.log(`${passed} passed, ${failed.length} failed`);
  process.exit(failed.length === 0 && passed > 0 ? 0 : 1);
});
stream.compose(new spec()).pipe(process.stdout);
