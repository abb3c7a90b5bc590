/** Formats log lines as readable text. */
import type { ILogLine } from '../../explain/common/logLine.js';

/** Fields that are shown elsewhere in the text, or omitted. */
const EXCLUDED_FIELDS: ReadonlySet<string> = new Set([
  'time',
  'node',
  'message',
  'level',
  'attempts',
]);

/**
 * Formats each log line: time, node and message in columns, then the other fields, then one line for
 * each attempt.
 *
 * @example
 * process.stdout.write(formatTimeline(timeline));
 */
export function formatTimeline(lines: readonly ILogLine[]): string {
  const nodeWidth = Math.max(0, ...lines.map(({ node }) => node.length));
  const messageWidth = Math.max(0, ...lines.map(({ message }) => message.length));
  return lines
    .flatMap((line) => {
      const timeOfDay = line.time.slice(11, 23);
      const head = `${timeOfDay}  ${line.node.padEnd(nodeWidth)}  ${line.message.padEnd(messageWidth)}`;
      return [`${head}  ${formatFields(line)}`.trimEnd(), ...formatAttempts(line)];
    })
    .join('\n');
}

function formatFields({ fields }: ILogLine): string {
  return Object.entries(fields)
    .filter(([name]) => !EXCLUDED_FIELDS.has(name))
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
