/** Formats benchmark reports as text. */
import type { Cell, IBenchReport, IBenchTable } from './bench.js';

/**
 * Formats a report as Markdown tables followed by a list of notes.
 *
 * @example
 * process.stdout.write(formatReport(await bench.run(options)));
 */
export function formatReport(report: IBenchReport): string {
  const parts = report.tables.map(formatTable);
  const notes = report.notes.map((note) => `- ${note}`).join('\n');
  return `${[...parts, notes].join('\n\n')}\n`;
}

function formatTable(table: IBenchTable): string {
  const rows = [table.columns, ...table.rows].map((row) => row.map(String));
  const widths = table.columns.map((_, column) => {
    return Math.max(...rows.map((row) => row[column]?.length ?? 0));
  });
  const lines = rows.map((row) => formatRow(row, widths));
  const separator = `|${widths.map((width) => '-'.repeat(width + 2)).join('|')}|`;
  return [`### ${table.title}`, '', lines[0], separator, ...lines.slice(1)].join('\n');
}

function formatRow(row: readonly Cell[], widths: readonly number[]): string {
  const cells = row.map((cell, column) => String(cell).padEnd(widths[column] ?? 0));
  return `| ${cells.join(' | ')} |`;
}
