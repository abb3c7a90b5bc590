import assert from 'node:assert/strict';
import { test } from 'node:test';
import { checkMessageText, IntentSchema } from '@parsleymux/schema';
import { parseTimeout } from './callerRequest.js';

function readRoute(deadline: object) {
  const route = { name: 'r', host: 'h', service: 's', ...deadline };
  const text = JSON.stringify({ member: 'm', routes: [route] });
  const parsed = checkMessageText(IntentSchema, text, 'intent.json').routes[0];
  assert.ok(parsed !== undefined);
  return parsed;
}

// Symptom: the setting timing.defaultDeadlineMs changes nothing. Sequence: an intent leaves the
// deadline of a route out; reading it fills in 10 s. Cause: the schema had a default of its own.
test('the time of a request is its caller’s word, else its route’s, else the node’s', () => {
  assert.equal(parseTimeout('77', readRoute({ deadlineMs: 500 }), 1234), 77);
  assert.equal(parseTimeout(undefined, readRoute({ deadlineMs: 500 }), 1234), 500);
  assert.equal(parseTimeout(undefined, readRoute({}), 1234), 1234);
});
