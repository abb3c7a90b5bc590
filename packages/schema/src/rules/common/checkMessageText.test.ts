import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DetectionPreference, IntentSchema } from '../../gen/parsleymux/config/v1/config_pb.js';
import { parseSettings } from '../../settings/common/parseSettings.js';
import { checkMessageText } from './checkMessageText.js';
import type { IFieldProblem } from './settingsError.js';
import { SettingsError } from './settingsError.js';

const VALID = `{
  // comments and a trailing comma are allowed
  "failureDomain": "north",
  "peerAddress": "127.0.0.1:7002",
  "callerAddress": "127.0.0.1:7001",
  "adminAddress": "127.0.0.1:7003",
  "statusAddress": "[::1]:7004",
  "platformUrl": "http://127.0.0.1:7900",
}`;

function collectProblems(run: () => unknown): readonly IFieldProblem[] {
  try {
    run();
  } catch (error) {
    if (error instanceof SettingsError) return error.problems;
    throw error;
  }
  return [];
}

test('defaults are filled in, including those of absent messages', () => {
  const settings = parseSettings(VALID, 'node.jsonc');
  assert.equal(settings.timing?.configPollMs, 2000);
  assert.equal(settings.limits?.requestBodyBytes, 1048576);
  assert.equal(settings.logging?.level, 'info');
  assert.equal(settings.security?.callerTls, undefined);
});

test('all problems are reported together, each with file, position, field and hint', () => {
  const text = VALID.replace('"north"', '"North!"').replace(
    '"platformUrl": "http://127.0.0.1:7900",',
    '"timming": {},\n  "timing": { "configPollMs": 10, "vmListPollMs": "fast" },\n  "logging": [],',
  );
  const problems = collectProblems(() => parseSettings(text, 'node.jsonc'));
  assert.deepEqual(
    problems.map(({ file, line, column, field }) => ({ file, line, column, field })),
    [
      { file: 'node.jsonc', line: 1, column: 1, field: 'platformUrl' },
      { file: 'node.jsonc', line: 3, column: 20, field: 'failureDomain' },
      { file: 'node.jsonc', line: 8, column: 3, field: 'timming' },
      { file: 'node.jsonc', line: 9, column: 31, field: 'timing.configPollMs' },
      { file: 'node.jsonc', line: 9, column: 51, field: 'timing.vmListPollMs' },
      { file: 'node.jsonc', line: 10, column: 14, field: 'logging' },
    ],
  );
  assert.match(problems[2]?.hint ?? '', /did you mean "timing"\?/);
  assert.equal(problems[3]?.message, 'must be at least 50 ms, is 10');
});

test('syntax errors report their position', () => {
  const problems = collectProblems(() => parseSettings('{\n  "failureDomain" "north"\n}', 'x'));
  assert.ok(problems[0]);
  assert.equal(problems[0].line, 2);
  assert.match(problems[0].message, /colon expected/i);
});

test('an empty text, a non-object value and a duplicate field are rejected', () => {
  assert.equal(collectProblems(() => parseSettings('', 'x')).length, 1);
  assert.match(collectProblems(() => parseSettings('7', 'x'))[0]?.message ?? '', /object/);
  const twice = VALID.replace('"failureDomain": "north",', '$&\n$&');
  assert.equal(collectProblems(() => parseSettings(twice, 'x'))[0]?.message, 'is given twice');
});

test('a text that is nested too deeply for the stack is rejected', () => {
  // The parser recurses for each bracket, so an intent of a few hundred thousand opening brackets
  // must not crash the process with a stack overflow.
  const problems = collectProblems(() => parseSettings('['.repeat(300_000), 'x'));
  assert.ok(problems.length > 0);
});

test('intents support lists, long and short enum names, and required fields of list elements', () => {
  const text = `{
    "member": "dobrescu",
    "services": [
      { "name": "booking", "detection": "fast",
        "targets": [{ "address": "127.0.0.1:9001", "failureDomain": "north", "slots": 4 }] },
      { "name": "survey", "detection": "DETECTION_PREFERENCE_CAREFUL" }
    ],
    "routes": [{ "name": "jobs", "host": "booking.example", "service": "booking" }]
  }`;
  const intent = checkMessageText(IntentSchema, text, 'intent.jsonc');
  assert.equal(intent.services[0]?.detection, DetectionPreference.FAST);
  assert.equal(intent.services[1]?.detection, DetectionPreference.CAREFUL);
  assert.equal(intent.services[0].objective?.availability, 0.999);
  assert.equal(intent.services[0].targets[0]?.maxConnections, 400);
  assert.equal(intent.routes[0]?.pathPrefix, '/');

  const broken = text.replace('"slots": 4', '"slot": 4').replace('"fast"', '"fats"');
  const problems = collectProblems(() => checkMessageText(IntentSchema, broken, 'intent.jsonc'));
  assert.deepEqual(
    problems.map(({ field }) => field),
    ['services[0].detection', 'services[0].targets[0].slots', 'services[0].targets[0].slot'],
  );
});
