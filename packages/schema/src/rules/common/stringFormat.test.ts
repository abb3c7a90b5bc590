import assert from 'node:assert/strict';
import { test } from 'node:test';
import { StringFormat } from '../../gen/parsleymux/options/v1/options_pb.js';
import { hasFormat } from './stringFormat.js';

test('addresses are complete IP addresses with a valid port', () => {
  for (const text of ['127.0.0.1:0', '10.1.2.3:65535', '[::1]:80', '[fd00::1:2]:7002']) {
    assert.ok(hasFormat(text, StringFormat.ADDRESS), text);
  }
  for (const text of [
    '127.1:80',
    '300.0.0.1:80',
    '127.0.0.1:65536',
    '127.0.0.1',
    'host:80',
    '[:::]:80',
    '::1:80',
    ' 127.0.0.1:80',
    '',
  ]) {
    assert.ok(!hasFormat(text, StringFormat.ADDRESS), text);
  }
});

test('URLs use http or https', () => {
  assert.ok(hasFormat('https://127.0.0.1:7900/base', StringFormat.URL));
  for (const text of ['ftp://127.0.0.1', '127.0.0.1:7900', 'http://', 'http://[']) {
    assert.ok(!hasFormat(text, StringFormat.URL), text);
  }
});
