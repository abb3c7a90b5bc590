/** Stories for people: one line of text for each line of a log. */
import type { ILogLine } from '../../explain/common/logLine.js';

/** Fields that stand elsewhere in the text. */
const COLUMN_FIELDS: ReadonlySet<string> = new Set([
  'time',
  'node',
  'message',
  'level',
  'attempts',
]);

/**
 * Time, node and message in columns, then the fields, then a line for each attempt.
 *
 * @example
 * process.stdout.write(formatTimeline(timeline));
 */
export function formatTimeline(lines: readonly ILogLine[]): string {
  const nodeWidth = Math.max(0, ...lines.map(({ node }) => node.length));
  const messageWidth = Math.max(0, ...lines.map(({ message }) => message.length));
  return lines
    .flatMap((line) => {
      const clock = line.time.slice(11, 23);
      const head = `${clock}  ${line.node.padEnd(nodeWidth)}  ${line.message.padEnd(messageWidth)}`;
      return [`${head}  ${formatFields(line)}`.trimEnd(), ...formatAttempts(line)];
    })
    .join('\n');
}

function formatFields({ fields }: ILogLine): string {
  return Object.entries(fields)
    .filter(([name]) => !COLUMN_FIELDS.has(name))
    .map(([name, value]) => `${name}=${formatValue(value)}`)
    .join(' ');
}

function formatValue(value: unknown): string {
  return typeof value === 'string' && value !== '' ? value : JSON.stringify(value);
}

function formatAttempts({ fields }: ILogLine): readonly string[] {
  if (!Array.isArray(fields.attempts)) return [];
  return (fields.attempts as Record<string, unknown>[]).map((attempt, index) => {
    const parts = Object.entries(attempt).map(([name, value]) => `${name}=${formatValue(value)}`);
    return `    attempt ${index + 1}: ${parts.join(' ')}`;
  });
}
