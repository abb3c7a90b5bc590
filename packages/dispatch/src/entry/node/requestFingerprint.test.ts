import assert from 'node:assert/strict';
import { test } from 'node:test';
import { computeFingerprints } from './requestFingerprint.js';

const CONTENT = {
  caller: 'key-4',
  method: 'POST',
  host: 'orders.example',
  path: '/orders/7?page=2',
  body: new TextEncoder().encode('a side of beef'),
};

test('identical requests have the same fingerprints', () => {
  const copy = { ...CONTENT, body: new TextEncoder().encode('a side of beef') };
  assert.deepEqual(computeFingerprints(copy), computeFingerprints(CONTENT));
});

test('requests that differ in any part except the query share no fingerprint', () => {
  const others = [
    { ...CONTENT, caller: 'key-5' },
    { ...CONTENT, caller: undefined },
    { ...CONTENT, method: 'PUT' },
    { ...CONTENT, host: 'cuts.example' },
    { ...CONTENT, path: '/orders/8?page=2' },
    { ...CONTENT, body: new Uint8Array() },
  ];
  const fingerprints = [CONTENT, ...others].flatMap(computeFingerprints);
  assert.equal(new Set(fingerprints).size, 2 * (1 + others.length));
});

test('requests that differ only in the query share one of two fingerprints', () => {
  const [exact, anyQuery] = computeFingerprints(CONTENT);
  const [otherExact, otherAny] = computeFingerprints({ ...CONTENT, path: '/orders/7?page=3' });
  assert.notEqual(exact, otherExact);
  assert.equal(anyQuery, otherAny);
  assert.deepEqual(computeFingerprints({ ...CONTENT, path: '/orders/7' }), [anyQuery]);
});

test('moving text from one part to the next changes the fingerprint', () => {
  const left = computeFingerprints({ ...CONTENT, host: 'a","b', path: '/' });
  const right = computeFingerprints({ ...CONTENT, host: 'a', path: 'b","/' });
  assert.notDeepEqual(left, right);
});
