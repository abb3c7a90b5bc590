/** Conversion between table changes and their protobuf messages. */
import { create } from '@bufbuild/protobuf';
import type { FollowedChanges, FollowedRow } from '@parsleymux/schema';
import { FollowedChangesSchema } from '@parsleymux/schema';
import { toUint32 } from '../../grants/common/integerFields.js';
import type { ITableChange, ITableChanges } from './authority.js';
import type { FollowedTable } from './followedTable.js';

/** Older freshness proofs are not sent, in ms, because no lease is that long. */
const MAX_PROOF_AGE_MS = 3_600_000;

/**
 * Encodes changes. Values are sent as JSON: they are few and small, and readable in traces. With a `patch`, it
 * is sent in place of all values.
 *
 * @example
 * encodeChanges('targets', 40, { version: 42, changes });
 */
export function encodeChanges(
  table: string,
  after: number,
  content: ITableChanges<unknown>,
  patch?: Uint8Array,
): FollowedChanges {
  const version = BigInt(content.version);
  const rows = content.changes.map(({ isMissing: missing = false, key, value }) => {
    if (value === undefined) return { key, version };
    if (patch !== undefined) return { key, version, patch, missing };
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
  const ageMs = toUint32(table.getAgeMs());
  const proofAgeMs = table.getProofAgeMs();
  if (proofAgeMs > MAX_PROOF_AGE_MS) return { ageMs };
  return { ageMs, proofAgeMs: toUint32(Math.ceil(proofAgeMs)) };
}

/** Decoded changes, and the version after which they are complete. */
export interface IDecodedChanges {
  readonly after: number;
  readonly content: ITableChanges<unknown>;
}

/**
 * Decodes the changes of a message. `applyPatch` returns the value that results from a patch, or undefined if
 * the patch doesn't fit; then the changes can't be decoded and the result is undefined.
 *
 * @example
 * const decoded = decodeChanges(message, (patch) => history.applyPatch(patch));
 */
export function decodeChanges(
  message: FollowedChanges,
  applyPatch: (patch: Uint8Array) => unknown = () => undefined,
): IDecodedChanges | undefined {
  const changes: ITableChange<unknown>[] = [];
  for (const row of message.rows) {
    const { key, missing: isMissing, patch } = row;
    const value = patch === undefined ? decodeValue(row) : applyPatch(patch);
    if (patch !== undefined && value === undefined) return undefined;
    changes.push({ key, isMissing, value });
  }
  const { after, era, retained: isRetained, version } = message;
  return { after: Number(after), content: { era, isRetained, version: Number(version), changes } };
}

function decodeValue({ value }: FollowedRow): unknown {
  return value === undefined ? undefined : JSON.parse(Buffer.from(value).toString());
}
