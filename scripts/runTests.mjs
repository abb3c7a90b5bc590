import { existsSync, readFileSync, readdirSync } from 'node:fs';
import { join } from 'node:path';
import { run } from 'node:test';
import { spec } from 'node:test/reporters';

/** Tests that start processes share the cores; a higher concurrency only slows them down. */
const TEST_CONCURRENCY = 4;
/** Tests that measure the memory of processes under load run after the others, one at a time. */
const EXCLUSIVE_PATH = '/clientLimits/';
/** A test file that hangs fails after this time instead of blocking the run. */
const TEST_TIMEOUT_MS = 240_000;
/** The same for a file of exclusive tests, each of which waits for a crowd of clients. */
const EXCLUSIVE_TIMEOUT_MS = 900_000;

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

/** Runs test files, and resolves when all have ended. */
function runFiles(paths, concurrency, timeout) {
  if (paths.length === 0) return Promise.resolve();
  const stream = run({ files: paths, concurrency, timeout });
  stream.on('test:pass', (event) => {
    if (event.details.type !== 'suite' && event.nesting >= 0) passed += 1;
  });
  stream.on('test:fail', (event) => {
    if (event.details.error?.failureType === 'subtestsFailed') return;
    (knownFailures.includes(event.name) ? expectedFailures : failed).push(event.name);
  });
  stream.compose(new spec()).pipe(process.stdout, { end: false });
  return new Promise((resolve) => stream.once('end', resolve));
}

const isExclusive = (path) => path.includes(EXCLUSIVE_PATH);
await runFiles(
  files.filter((path) => !isExclusive(path)),
  TEST_CONCURRENCY,
  TEST_TIMEOUT_MS,
);
await runFiles(files.filter(isExclusive), 1, EXCLUSIVE_TIMEOUT_MS);
for (const name of expectedFailures) console.log(`known red: ${name}`);
for (const name of failed) console.log(`failed: ${name}`);
console.log(`${passed} passed, ${failed.length} failed`);
process.exit(failed.length === 0 && passed > 0 ? 0 : 1);
