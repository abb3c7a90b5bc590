import assert from 'node:assert/strict';
import { test } from 'node:test';
import { create, toBinary } from '@bufbuild/protobuf';
import { ResultCode } from '@parsleymux/base';
import type { DatagramBody } from './datagramChannel.js';
import { DatagramSchema, QuarantineSchema } from '@parsleymux/schema';
import { makeGrantRequest, makeTarget } from '@parsleymux/scheduling/testing';
import { encodeRecord } from '../../quarantine/common/quarantineMessages.js';
import { encodeAsk, encodeDecision } from './grantMessages.js';
import { encodeHandover } from './handoverMessages.js';

/** Numbers that settings, rates and differences of times can have and that integer fields can't hold. */
const OTHER_NUMBERS = [0.5, 512.5, -0.5, -1, 2 ** 32, 2 ** 53, 1e300, Infinity, -Infinity, NaN];
const MAX_BYTES = 936;
const FINGERPRINT = '00ff';

function assertEncodable(body: DatagramBody): void {
  assert.doesNotThrow(() => toBinary(DatagramSchema, create(DatagramSchema, { body })), body.case);
}

test('requests for grants and decisions can be encoded whatever numbers they contain', () => {
  // Guards against the end of the process at a fraction in the configuration or in a time.
  for (const number of OTHER_NUMBERS) {
    const request = makeGrantRequest({
      attempt: number,
      priority: number,
      remainingMs: number,
      objectiveMs: number,
      limits: [{ targetId: 't1', bornMs: 1, ratePerS: number, ageMs: number }],
    });
    assertEncodable({ case: 'ask', value: encodeAsk(request, 1n, 1) });
    const ask = { id: 1n, incarnation: 1, catalogVersion: 1n };
    const code = ResultCode.NoTarget;
    const refusal = { kind: 'refused', code, retryAfterMs: number } as const;
    assertEncodable({ case: 'decision', value: encodeDecision(ask, refusal) });
    const target = makeTarget('t1');
    const granted = {
      kind: 'granted',
      target,
      suspicion: number,
      needsFreshConnection: false,
    } as const;
    assertEncodable({ case: 'decision', value: encodeDecision(ask, granted) });
  }
});

test('the state that homes hand over can be encoded whatever numbers it contains', () => {
  // Guards against the end of a home's process at a rate, a time or a priority that isn't a whole number.
  const header = { service: 'booking', startedMs: 1, sequence: 1n, isLast: false };
  for (const number of OTHER_NUMBERS) {
    const digest = {
      places: [{ lane: '', key: FINGERPRINT, inMs: number, ageMs: number }],
      leads: [{ tenant: 'north', priority: number, lead: number }],
      speeds: [{ targetId: 't1', bornMs: 1, logFactor: number, weight: number, ageMs: number }],
    };
    const value = encodeHandover(header, digest, MAX_BYTES);
    assert.deepEqual([value.places.length, value.leads.length, value.speeds.length], [1, 1, 1]);
    assertEncodable({ case: 'handover', value });
  }
});

test('crash histories can be encoded whatever numbers they contain', () => {
  // Guards against the end of the process at a record of the store with other numbers.
  for (const number of OTHER_NUMBERS) {
    const record = encodeRecord({
      fingerprint: FINGERPRINT,
      crashes: [{ target: 't1', ageMs: number }],
      trials: number,
      holdMs: number,
      clearedAgeMs: number,
    });
    const value = create(QuarantineSchema, { records: [record] });
    assertEncodable({ case: 'quarantine', value });
  }
});
