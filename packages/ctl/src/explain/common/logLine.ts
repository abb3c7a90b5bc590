/** Parses lines of the nodes' logs. */

/** One log line: a JSON object with these and other fields. */
export interface ILogLine {
  /** Time in ISO 8601, by the clock of the node that wrote the line. */
  readonly time: string;
  readonly node: string;
  readonly message: string;
  /** All fields of the object, including `time`, `node` and `message`. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/**
 * Parses one line; returns undefined if it is not a node's. Log collectors often add a prefix, so the
 * object may begin anywhere in the line.
 *
 * @example
 * const line = parseLogLine('{"time":"…","node":"n1","message":"request","request":"q1"}');
 */
export function parseLogLine(text: string): ILogLine | undefined {
  const start = text.indexOf('{');
  if (start === -1) return undefined;
  const fields = parseObject(text.slice(start));
  if (fields === undefined) return undefined;
  const { message, node, time } = fields;
  if (typeof time !== 'string' || typeof node !== 'string') return undefined;
  if (typeof message !== 'string') return undefined;
  return { time, node, message, fields };
}

function parseObject(text: string): Record<string, unknown> | undefined {
  try {
    const value: unknown = JSON.parse(text);
    return typeof value === 'object' && value !== null ? { ...value } : undefined;
  } catch {
    // Truncated lines are common in collected logs and are skipped.
    return undefined;
  }
}

/** Sorts lines by time. Clocks of nodes differ slightly, so adjacent lines may be swapped. */
export function sortLines(lines: readonly ILogLine[]): readonly ILogLine[] {
  return [...lines].sort((left, right) => Date.parse(left.time) - Date.parse(right.time));
}
