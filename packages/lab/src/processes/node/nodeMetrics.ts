/** Reads the invariants' counters from the nodes' metrics. */
import type { NodeProcess } from './nodeProcess.js';

const VIOLATION_LINE = /^parsleymux_invariant_violations_total\{([^}]*)\}\s+([0-9.e+]+)/;
const CHECK_LINE = /^parsleymux_invariant_checks_total\{([^}]*)\}\s+([0-9.e+]+)/;
const NAME_LABEL = /name="([^"]*)"/;

/** One invariant's count, summed over nodes. */
export interface IInvariantCount {
  readonly name: string;
  readonly count: number;
}

/**
 * Counters of one metrics page.
 *
 * @example
 * const violations = parseInvariantCounts(page, 'violations');
 */
export function parseInvariantCounts(
  page: string,
  kind: 'checks' | 'violations',
): IInvariantCount[] {
  const pattern = kind === 'checks' ? CHECK_LINE : VIOLATION_LINE;
  return page.split('\n').flatMap((line) => {
    const [, labels = '', count] = pattern.exec(line) ?? [];
    const name = NAME_LABEL.exec(labels)?.[1];
    return name === undefined ? [] : [{ name, count: Number(count) }];
  });
}

/**
 * Sum of a counter over all its labels; 0 when the page has none of that name.
 *
 * @example
 * const refused = parseCounter(page, 'parsleymux_config_dropped_total');
 */
export function parseCounter(page: string, name: string): number {
  const lines = page.split('\n').filter((line) => {
    return line.startsWith(`${name} `) || line.startsWith(`${name}{`);
  });
  return lines.reduce((sum, line) => sum + Number(line.slice(line.lastIndexOf(' ') + 1)), 0);
}

/**
 * Counts by name, added up.
 *
 * @example
 * const totals = mergeCounts([countsOfOneNode, countsOfAnother]);
 */
export function mergeCounts(lists: readonly (readonly IInvariantCount[])[]): IInvariantCount[] {
  const totals = new Map<string, number>();
  for (const { name, count } of lists.flat()) totals.set(name, (totals.get(name) ?? 0) + count);
  return [...totals].map(([name, count]) => ({ name, count }));
}

/**
 * Violations over the nodes that answer.
 *
 * @example
 * const violations = await readViolations(world.getNodes());
 */
export async function readViolations(
  nodes: readonly NodeProcess[],
): Promise<readonly IInvariantCount[]> {
  const pages = await Promise.all(nodes.map((node) => node.fetchMetrics()));
  return mergeCounts(pages.map((page) => parseInvariantCounts(page ?? '', 'violations')));
}
