/** The lines that explain what became of one request, or what was believed of one target. */
import type { ILogLine } from './logLine.js';
import { sortLines } from './logLine.js';

/** How far back news about a request's targets and nodes may explain it, in ms. */
const LOOKBACK_MS = 20_000;
const HEALTH_MESSAGES: ReadonlySet<string> = new Set(['target doubted', 'target trusted']);
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
 * Lines that name the request, and before them what was believed of the targets that it was sent
 * to, and what had happened to the nodes that dealt with it.
 *
 * @example
 * const timeline = findRequestTimeline(lines, '9c41d07be2a35f68');
 */
export function findRequestTimeline(
  lines: readonly ILogLine[],
  request: string,
): readonly ILogLine[] {
  const own = lines.filter(({ fields }) => fields.request === request);
  const first = own[0];
  if (first === undefined) return [];
  const endMs = Math.max(...own.map(({ time }) => Date.parse(time)));
  const targets = new Set(own.flatMap((line) => listTargets(line)));
  const nodes = new Set(own.map(({ node }) => node));
  const before = lines.filter((line) => {
    const ageMs = endMs - Date.parse(line.time);
    if (own.includes(line) || ageMs < 0 || ageMs > LOOKBACK_MS) return false;
    return isAboutTargets(line, targets) || isAboutNode(line, nodes);
  });
  return sortLines([...pickNewestOfEach(before), ...own]);
}

/**
 * Who believed what of a target, when and why.
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

/** Targets that a line of a request names. */
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

/** Of lines that say the same of the same thing, every node writes one; the newest explains most. */
function pickNewestOfEach(lines: readonly ILogLine[]): readonly ILogLine[] {
  const newest = new Map<string, ILogLine>();
  for (const line of sortLines(lines)) {
    const about = line.fields.target ?? line.fields.targets ?? line.node;
    newest.set(`${line.message} ${JSON.stringify(about)}`, line);
  }
  return [...newest.values()];
}
