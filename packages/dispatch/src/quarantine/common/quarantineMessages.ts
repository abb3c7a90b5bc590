/** Translation between cases and the messages that carry them. */
import { create } from '@bufbuild/protobuf';
import type { CrashRecord } from '@parsleymux/schema';
import { CrashRecordSchema } from '@parsleymux/schema';
import type { ICaseRecord } from './crashCase.js';

const MOST_MS = 0xffff_ffff;

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
export function encodeRecord(record: ICaseRecord): CrashRecord {
  const { clearedAgeMs, crashes, fingerprint, holdMs, trials } = record;
  return create(CrashRecordSchema, {
    fingerprint: encodeFingerprint(fingerprint),
    crashes: crashes.map(({ ageMs, target }) => ({ target, ageMs: toMs(ageMs) })),
    trials,
    holdMs: toMs(holdMs),
    ...(clearedAgeMs === undefined ? {} : { clearedAgeMs: toMs(clearedAgeMs) }),
  });
}

/** What a message says of one case. */
export function decodeRecord(message: CrashRecord): ICaseRecord {
  const { clearedAgeMs, crashes, fingerprint, holdMs, trials } = message;
  return {
    fingerprint: decodeFingerprint(fingerprint),
    crashes: crashes.map(({ ageMs, target }) => ({ target, ageMs })),
    trials,
    holdMs,
    clearedAgeMs,
  };
}

function toMs(ms: number): number {
  return Math.min(MOST_MS, Math.max(0, Math.round(ms)));
}
