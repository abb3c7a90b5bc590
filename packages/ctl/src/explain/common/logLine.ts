/** Lines of the nodes' logs, as far as their stories need them. */

/** One line: a JSON object with these fields and others beside them. */
export interface ILogLine {
  /** Instant in ISO 8601, by the clock of the node that wrote it. */
  readonly time: string;
  readonly node: string;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/**
 * Reads one line; undefined when it is none of a node's. Collectors often put words of their own in
 * front, so the object may begin anywhere in the line.
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
    // Lines that were cut off on their way are common in collected logs; they tell no story.
    return undefined;
  }
}

/** Sorts lines by time. Clocks of nodes differ a little, so neighbours may be swapped. */
export function sortLines(lines: readonly ILogLine[]): readonly ILogLine[] {
  return [...lines].sort((left, right) => Date.parse(left.time) - Date.parse(right.time));
}
