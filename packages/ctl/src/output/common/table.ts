/** Formats tables and times as text. */

const GAP = '  ';

/**
 * Formats rows under a header, with columns as wide as their widest cell.
 *
 * @example
 * formatTable(['id', 'state'], [['p1', 'proposed']]);
 */
export function formatTable(
  header: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const all = [header, ...rows];
  const widths = header.map((_, column) =>
    Math.max(...all.map((row) => (row[column] ?? '').length)),
  );
  return all
    .map((row) =>
      row
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join(GAP)
        .trimEnd(),
    )
    .join('\n');
}

/**
 * Formats a time, in ms since the Unix epoch, in ISO 8601 to the second; "-" for 0, which is no time.
 *
 * @example
 * formatInstant(1700000000000n); // '2023-11-14T22:13:20Z'
 */
export function formatInstant(atMs: bigint): string {
  if (atMs === 0n) return '-';
  return new Date(Number(atMs)).toISOString().replace(/\.\d{3}Z$/, 'Z');
}
