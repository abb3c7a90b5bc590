/** Conversion between table changes and their protobuf messages. */
import { create } from '@bufbuild/protobuf';
import type { FollowedChanges } from '@parsleymux/schema';
import { FollowedChangesSchema } from '@parsleymux/schema';
import type { ITableChanges } from './authority.js';
import type { FollowedTable } from './followedTable.js';

/** Older freshness proofs are not sent, in ms, because no lease is that long. */
const MAX_PROOF_AGE_MS = 3_600_000;

/**
 * Encodes changes. Values are sent as JSON: they are few and small, and readable in traces.
 *
 * @example
 * encodeChanges('targets', 40, { version: 42, changes });
 */
export function encodeChanges(
  table: string,
  after: number,
  content: ITableChanges<unknown>,
): FollowedChanges {
  const version = BigInt(content.version);
  const rows = content.changes.map(({ isMissing: missing = false, key, value }) => {
    if (value === undefined) return { key, version };
    return { key, version, value: Buffer.from(JSON.stringify(value)), missing };
  });
  const { era = 0, isRetained: retained = false } = content;
  return create(FollowedChangesSchema, {
    table,
    after: BigInt(after),
    version,
    era,
    retained,
    rows,
  });
}

/** Encodes the age of a copy and of its freshness proof. */
export function encodeAges(
  table: FollowedTable<unknown>,
): Pick<FollowedChanges, 'ageMs' | 'proofAgeMs'> {
  const ageMs = Math.max(0, Math.round(table.getAgeMs()));
  const proofAgeMs = table.getProofAgeMs();
  if (proofAgeMs > MAX_PROOF_AGE_MS) return { ageMs };
  return { ageMs, proofAgeMs: Math.max(0, Math.ceil(proofAgeMs)) };
}

/** Decodes the changes of a message and the version after which they are complete. */
export function decodeChanges(message: FollowedChanges): {
  readonly after: number;
  readonly content: ITableChanges<unknown>;
} {
  const changes = message.rows.map(({ key, missing: isMissing, value }) => ({
    key,
    isMissing,
    value: value === undefined ? undefined : (JSON.parse(Buffer.from(value).toString()) as unknown),
  }));
  const { after, era, retained: isRetained, version } = message;
  return { after: Number(after), content: { era, isRetained, version: Number(version), changes } };
}
