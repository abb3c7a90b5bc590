import assert from 'node:assert/strict';
import { test } from 'node:test';
import { computeFingerprint } from './requestFingerprint.js';

const CONTENT = {
  caller: '10.9.0.4',
  method: 'POST',
  host: 'orders.example',
  path: '/orders/7?page=2',
  body: new TextEncoder().encode('a side of beef'),
};

test('copies of a request have one fingerprint', () => {
  const copy = { ...CONTENT, body: new TextEncoder().encode('a side of beef') };
  assert.equal(computeFingerprint(copy), computeFingerprint(CONTENT));
});

test('a request that differs in any part has another fingerprint', () => {
  const others = [
    { ...CONTENT, caller: '10.9.0.5' },
    { ...CONTENT, method: 'PUT' },
    { ...CONTENT, host: 'cuts.example' },
    { ...CONTENT, path: '/orders/7?page=3' },
    { ...CONTENT, body: new Uint8Array() },
  ];
  const fingerprints = [CONTENT, ...others].map(computeFingerprint);
  assert.equal(new Set(fingerprints).size, fingerprints.length);
});

test('no part can be moved over the border to the next one', () => {
  const left = computeFingerprint({ ...CONTENT, host: 'a","b', path: '/' });
  const right = computeFingerprint({ ...CONTENT, host: 'a', path: 'b","/' });
  assert.notEqual(left, right);
});
