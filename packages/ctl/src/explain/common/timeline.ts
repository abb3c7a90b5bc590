/** Selects the log lines that explain the result of one request, or the health status of one target. */
import type { ILogLine } from './logLine.js';
import { sortLines } from './logLine.js';

/** How far before the end of a request changes of its targets and nodes are included, in ms. */
const LOOKBACK_MS = 20_000;
/** Messages of changes of a target's estimated health. */
const HEALTH_MESSAGES: ReadonlySet<string> = new Set(['target doubted', 'target trusted']);
/** Messages of changes of a node and its dependencies. */
const NODE_MESSAGES: ReadonlySet<string> = new Set([
  'started',
  'stopping',
  'store lost',
  'store regained',
  'home is silent',
  'settings changed',
  'configuration in force',
]);

/**
 * Finds the lines of a request, and preceding lines about the health of the targets that it was sent
 * to and about the nodes that handled it.
 *
 * @example
 * const timeline = findRequestTimeline(lines, '9c41d07be2a35f68');
 */
export function findRequestTimeline(
  lines: readonly ILogLine[],
  request: string,
): readonly ILogLine[] {
  const requestLines = lines.filter(({ fields }) => fields.request === request);
  const first = requestLines[0];
  if (first === undefined) return [];
  const endMs = Math.max(...requestLines.map(({ time }) => Date.parse(time)));
  const targets = new Set(requestLines.flatMap((line) => listTargets(line)));
  const nodes = new Set(requestLines.map(({ node }) => node));
  const before = lines.filter((line) => {
    const ageMs = endMs - Date.parse(line.time);
    if (requestLines.includes(line) || ageMs < 0 || ageMs > LOOKBACK_MS) return false;
    return isAboutTargets(line, targets) || isAboutNode(line, nodes);
  });
  return sortLines([...pickNewestOfEach(before), ...requestLines]);
}

/**
 * Finds the changes of a target's health, as each node recorded them, and the failed attempts on it.
 *
 * @example
 * const timeline = findTargetTimeline(lines, 'i-7f3a91c2');
 */
export function findTargetTimeline(
  lines: readonly ILogLine[],
  target: string,
): readonly ILogLine[] {
  const targets = new Set([target]);
  return sortLines(
    lines.filter((line) => isAboutTargets(line, targets) || hasFailureAt(line, target)),
  );
}

/** Lists the targets that a line of a request names. */
function listTargets({ fields }: ILogLine): readonly string[] {
  const attempts = Array.isArray(fields.attempts) ? (fields.attempts as unknown[]) : [];
  const tried = attempts.map((attempt) => String((attempt as Record<string, unknown>).target));
  return typeof fields.target === 'string' ? [...tried, fields.target] : tried;
}

function isAboutTargets({ fields, message }: ILogLine, targets: ReadonlySet<string>): boolean {
  if (HEALTH_MESSAGES.has(message)) return targets.has(String(fields.target));
  if (message !== 'targets changed' || !Array.isArray(fields.targets)) return false;
  const changed = (fields.targets as unknown[]).map((entry) => String(entry).split(' ')[0]);
  return changed.some((id) => id !== undefined && targets.has(id));
}

function isAboutNode({ message, node }: ILogLine, nodes: ReadonlySet<string>): boolean {
  return nodes.has(node) && NODE_MESSAGES.has(message);
}

function hasFailureAt(line: ILogLine, target: string): boolean {
  if (line.message !== 'request' || !Array.isArray(line.fields.attempts)) return false;
  const attempts = line.fields.attempts as Record<string, unknown>[];
  return attempts.some((attempt) => {
    return attempt.target === target && attempt.outcome !== 'succeeded';
  });
}

/**
 * Picks the newest of the lines with the same message and subject: several nodes write one each, and
 * the newest is the most relevant.
 */
function pickNewestOfEach(lines: readonly ILogLine[]): readonly ILogLine[] {
  const newest = new Map<string, ILogLine>();
  for (const line of sortLines(lines)) {
    const subject = line.fields.target ?? line.fields.targets ?? line.node;
    newest.set(`${line.message} ${JSON.stringify(subject)}`, line);
  }
  return [...newest.values()];
}
