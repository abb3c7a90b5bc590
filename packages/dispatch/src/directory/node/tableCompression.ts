/** Compression of tables that nodes send each other. */
import { constants, gunzipSync, gzipSync } from 'node:zlib';

const OPTIONS = { level: constants.Z_BEST_SPEED };

/** Compressed rows by the rows that a server sends to several peers. */
const compressedRows = new WeakMap<Uint8Array, Uint8Array>();

/**
 * Compresses the two parts of a response; the rows only once for all peers that get the same.
 *
 * @example
 * const result = await tableServer.serve(request, encodeCompressed, signal);
 */
export function encodeCompressed(rows: Uint8Array, ages: Uint8Array): Uint8Array {
  const compressed = compressedRows.get(rows) ?? gzipSync(rows, OPTIONS);
  compressedRows.set(rows, compressed);
  // Concatenated members are decompressed as one.
  return Buffer.concat([compressed, gzipSync(ages, OPTIONS)]);
}

/** Reverses {@link encodeCompressed}. */
export function decodeCompressed(bytes: Uint8Array): Uint8Array {
  return gunzipSync(bytes);
}

/** Joins the two parts for peers that accept no compression. */
export function encodePlain(rows: Uint8Array, ages: Uint8Array): Uint8Array {
  // Concatenated protobuf messages are parsed as one message with the fields of both.
  return Buffer.concat([rows, ages]);
}
