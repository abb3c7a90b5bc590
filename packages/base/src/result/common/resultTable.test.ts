import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MuxError } from '../../error/common/muxError.js';
import { ResultCode, RunState } from './resultCode.js';
import { getResultInfo, listResultInfos } from './resultTable.js';
import { formatRetryAfter, getDefaultRetryAfterMs } from './retryAfter.js';

test('every code has exactly one row, and numbers are unique', () => {
  const codes = Object.values(ResultCode);
  assert.equal(new Set(codes).size, codes.length);
  assert.deepEqual(
    listResultInfos().map(({ code }) => code),
    [...codes].sort((left, right) => left - right),
  );
});

test('every result whose action mentions Retry-After has a default retry delay', () => {
  for (const info of listResultInfos()) {
    if (!info.action.includes('Retry-After')) continue;
    assert.ok(getDefaultRetryAfterMs(info.code) !== undefined, info.name);
  }
});

test('every 429 and 503 result for callers has a default retry delay', () => {
  for (const info of listResultInfos()) {
    if (info.httpStatus !== 503 && info.httpStatus !== 429) continue;
    if (info.code === ResultCode.PeerBehind) continue;
    assert.ok(getDefaultRetryAfterMs(info.code) !== undefined, info.name);
  }
});

test('the Retry-After header is rounded up to whole seconds', () => {
  const make = (retryAfterMs?: number) =>
    new MuxError({
      code: ResultCode.QueueFull,
      message: 'full',
      runState: RunState.NotRun,
      ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
    });
  assert.equal(formatRetryAfter(make()), '1');
  assert.equal(formatRetryAfter(make(1)), '1');
  assert.equal(formatRetryAfter(make(1001)), '2');
});

test('an unknown code yields a generic row with the run state may-have-run', () => {
  const info = getResultInfo(8888 as ResultCode);
  assert.equal(info.runState, RunState.MayHaveRun);
  assert.equal(info.httpStatus, 500);
});
