/** Formats Markdown tables. */

/**
 * Formats a table; vertical bars in cells are escaped.
 *
 * @example
 * formatTable(['code', 'name'], [['0', 'Ok']]);
 */
export function formatTable(
  columns: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const lines = [columns, columns.map(() => '---'), ...rows];
  return lines.map((cells) => `| ${cells.map(formatCell).join(' | ')} |`).join('\n');
}

function formatCell(text: string): string {
  return text.replaceAll('|', '\\|');
}
