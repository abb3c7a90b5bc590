/** Conversion between crash histories and their protobuf messages. */
import { create } from '@bufbuild/protobuf';
import type { CrashRecord } from '@parsleymux/schema';
import { CrashRecordSchema } from '@parsleymux/schema';
import type { ICrashHistoryRecord } from '@parsleymux/scheduling';
import { toUint32 } from '../../grants/common/integerFields.js';

/**
 * Converts a fingerprint from its hexadecimal text to bytes.
 *
 * @example
 * encodeFingerprint('00ff'); // two bytes
 */
export function encodeFingerprint(fingerprint: string): Uint8Array {
  return Buffer.from(fingerprint, 'hex');
}

/** Converts a fingerprint to hexadecimal text, the form used in logs. */
export function decodeFingerprint(bytes: Uint8Array): string {
  return Buffer.from(bytes).toString('hex');
}

/** Encodes the crash history of one request. */
export function encodeRecord(record: ICrashHistoryRecord): CrashRecord {
  const { clearedAgeMs, crashes, fingerprint, holdMs, trials } = record;
  return create(CrashRecordSchema, {
    fingerprint: encodeFingerprint(fingerprint),
    crashes: crashes.map(({ ageMs, target }) => ({ target, ageMs: toUint32(ageMs) })),
    trials: toUint32(trials),
    holdMs: toUint32(holdMs),
    ...(clearedAgeMs === undefined ? {} : { clearedAgeMs: toUint32(clearedAgeMs) }),
  });
}

/** Decodes the crash history of one request. */
export function decodeRecord(message: CrashRecord): ICrashHistoryRecord {
  const { clearedAgeMs, crashes, fingerprint, holdMs, trials } = message;
  return {
    fingerprint: decodeFingerprint(fingerprint),
    crashes: crashes.map(({ ageMs, target }) => ({ target, ageMs })),
    trials,
    holdMs,
    clearedAgeMs,
  };
}
