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

// Guards against a schema default for the deadline of a route: it would be filled in when an intent
// omits the deadline, so that the setting timing.defaultDeadlineMs would have no effect.
test('the timeout of a request comes from its caller, else its route, else the settings of the node', () => {
  assert.equal(parseTimeout('77', readRoute({ deadlineMs: 500 }), 1234), 77);
  assert.equal(parseTimeout(undefined, readRoute({ deadlineMs: 500 }), 1234), 500);
  assert.equal(parseTimeout(undefined, readRoute({}), 1234), 1234);
});
