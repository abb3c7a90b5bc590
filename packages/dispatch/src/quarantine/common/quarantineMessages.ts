/** Translation between cases and the messages that carry them. */
import { create } from '@bufbuild/protobuf';
import type { CrashRecord } from '@parsleymux/schema';
import { CrashRecordSchema } from '@parsleymux/schema';
import type { ICrashHistoryRecord } from './crashHistory.js';

const MAX_UINT32 = 0xffff_ffff;

/**
 * @example
 * encodeFingerprint('00ff'); // two bytes
 */
export function encodeFingerprint(fingerprint: string): Uint8Array {
  return Buffer.from(fingerprint, 'hex');
}

/** As text, as it stands in logs. */
export function decodeFingerprint(bytes: Uint8Array): string {
  return Buffer.from(bytes).toString('hex');
}

/** The message of one case. */
export function encodeRecord(record: ICrashHistoryRecord): CrashRecord {
  const { clearedAgeMs, crashes, fingerprint, holdMs, trials } = record;
  return create(CrashRecordSchema, {
    fingerprint: encodeFingerprint(fingerprint),
    crashes: crashes.map(({ ageMs, target }) => ({ target, ageMs: toUint32Ms(ageMs) })),
    trials,
    holdMs: toUint32Ms(holdMs),
    ...(clearedAgeMs === undefined ? {} : { clearedAgeMs: toUint32Ms(clearedAgeMs) }),
  });
}

/** What a message says of one case. */
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

function toUint32Ms(ms: number): number {
  return Math.min(MAX_UINT32, Math.max(0, Math.round(ms)));
}
