import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createTestIntent } from '../../testing/intents.js';
import { IntentValidator } from './intentValidator.js';
import { findAddressProblem } from './targetAddress.js';

test('a usual intent has no problem, and each mistake is found where it is', () => {
  const validator = new IntentValidator();
  assert.deepEqual(validator.validate(createTestIntent('dobrescu')), []);
  const intent = createTestIntent('dobrescu', { floorSlots: 9 });
  intent.routes.push({ ...intent.routes[0]!, service: 'none', keyHeader: '' });
  intent.services[0]!.targets.push(intent.services[0]!.targets[0]!);
  const paths = validator.validate(intent).map((problem) => problem.path);
  assert.deepEqual(paths, [
    'services[0].targets[2].address',
    'routes[1].name',
    'routes[1].service',
    'routes[1].keyHeader',
    'routes[1]',
  ]);
});

/*
 * Symptom: a member's requests arrive at the platform's table, at a node's administration port,
 * or at a rival's target.
 * Sequence: its intent names that address, plainly or in another spelling.
 * Cause: sending requests from inside the fleet's network to whatever an intent names.
 */
test('addresses that are no targets, and second spellings of those that are, are refused', () => {
  const rules = { reserved: new Set(['10.0.0.9:7900']), allowLoopback: false };
  const refused = [
    '10.0.0.9:7900',
    '10.9:7900',
    '0xa000009:7900',
    '10.0.0.9:07900',
    '[::ffff:10.0.0.9]:7900',
    '[::ffff:a00:9]:7900',
    '[64:ff9b::a00:9]:7900',
    '0.0.0.0:7900',
    '127.0.0.1:7003',
    '[::1]:7003',
    '[0:0:0:0:0:0:0:1]:7003',
    '[::]:7003',
    '169.254.169.254:80',
    'cafe:80',
    'dead.beef:80',
    '10.0.0.1:0',
    '10.0.0.1:70000',
    '10.0.0.1',
    '224.0.0.1:80',
    '[fe80::1]:80',
  ];
  for (const address of refused) assert.ok(findAddressProblem(address, rules), address);
  for (const address of ['10.0.0.1:80', '[2001:db8::1]:9001', '192.168.1.1:65535']) {
    assert.equal(findAddressProblem(address, rules), undefined);
  }
});

test('loopback targets are for fleets whose nodes are on loopback themselves', () => {
  const intent = createTestIntent('dobrescu');
  const local = new IntentValidator({ listReservedAddresses: () => ['127.0.0.1:7003'] });
  assert.equal(local.validate(intent).length, 0);
  const remote = new IntentValidator({ listReservedAddresses: () => ['10.0.0.1:7003'] });
  assert.equal(remote.validate(intent).length, 2);
});
