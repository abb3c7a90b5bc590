/** Markdown tables. */

/**
 * Writes a table; bars within cells are escaped.
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
