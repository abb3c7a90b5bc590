/** Parses the nodes' metrics pages, in particular the counters of invariants. */
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
 * Parses the invariant counters of one metrics page.
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
 * Returns a counter's sum over all its labels, or 0 when the page has no counter of this name.
 *
 * @example
 * const dropped = parseCounter(page, 'parsleymux_config_dropped_total');
 */
export function parseCounter(page: string, name: string): number {
  const lines = page.split('\n').filter((line) => {
    return line.startsWith(`${name} `) || line.startsWith(`${name}{`);
  });
  return lines.reduce((sum, line) => sum + Number(line.slice(line.lastIndexOf(' ') + 1)), 0);
}

/**
 * Sums counts by name.
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
 * Returns the violations by invariant, summed over the nodes that respond.
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
