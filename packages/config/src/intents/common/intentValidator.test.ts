import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createTestIntent } from '../../testing/intents.js';
import { IntentValidator } from './intentValidator.js';
import { findAddressProblem } from './targetAddress.js';

test('a valid intent has no problems, and each problem is reported with its path', () => {
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
 * Guards against a member's requests reaching the platform's table, a node's administration port or
 * another member's target. Nodes send requests from inside the fleet's network to the addresses in an
 * intent, which may name such an address directly or in another spelling.
 */
test('reserved addresses and non-canonical spellings of any address are rejected', () => {
  const rules = { reserved: new Set(['10.0.0.9:7900']), isLoopbackAllowed: false };
  const rejected = [
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
  for (const address of rejected) assert.ok(findAddressProblem(address, rules), address);
  for (const address of ['10.0.0.1:80', '[2001:db8::1]:9001', '192.168.1.1:65535']) {
    assert.equal(findAddressProblem(address, rules), undefined);
  }
});

test('loopback targets are valid only if all nodes have loopback addresses', () => {
  const intent = createTestIntent('dobrescu');
  const local = new IntentValidator({ listReservedAddresses: () => ['127.0.0.1:7003'] });
  assert.equal(local.validate(intent).length, 0);
  const remote = new IntentValidator({ listReservedAddresses: () => ['10.0.0.1:7003'] });
  assert.equal(remote.validate(intent).length, 2);
});
