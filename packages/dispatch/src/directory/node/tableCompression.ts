/** Compression of tables that nodes send each other. */
import { constants, gunzipSync, gzipSync } from 'node:zlib';
import type { ITableResponse } from '../common/tableServer.js';

/** Shorter responses aren't compressed, in bytes. */
const MIN_COMPRESSED_BYTES = 1024;
const OPTIONS = { level: constants.Z_BEST_SPEED };

/** Compressed rows by the rows that a server sends to several peers. */
const compressedRows = new WeakMap<Uint8Array, Uint8Array>();

/**
 * Compresses a response; the rows only once for all peers that get the same.
 *
 * @example
 * response.end(encodeCompressed(tableServer.encodeTable(request)));
 */
export function encodeCompressed({ ages, rows }: ITableResponse): Uint8Array {
  const compressed = compressedRows.get(rows) ?? gzipSync(rows, OPTIONS);
  compressedRows.set(rows, compressed);
  // Concatenated members are decompressed as one.
  return Buffer.concat([compressed, gzipSync(ages, OPTIONS)]);
}

/** Whether compressing a response pays. */
export function isWorthCompressing({ rows }: ITableResponse): boolean {
  return rows.length >= MIN_COMPRESSED_BYTES;
}

/** Reverses {@link encodeCompressed}. */
export function decodeCompressed(bytes: Uint8Array): Uint8Array {
  return gunzipSync(bytes);
}
