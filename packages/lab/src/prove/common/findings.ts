/** Results of the checks that a run makes from outside the nodes, by name. */

/** Number of violations of a check whose details are kept. */
const MAX_DETAILS = 5;

/** Counts of one check, with details of its first violations. */
export interface ICheckCount {
  readonly name: string;
  readonly checks: number;
  readonly violations: number;
  readonly details: readonly string[];
}

interface IMutableCount {
  checks: number;
  violations: number;
  readonly details: string[];
}

/**
 * Counts checks and violations by name.
 *
 * @example
 * findings.check('recovers', share > 0.9, () => `only ${share}`);
 */
export class Findings {
  private readonly counts = new Map<string, IMutableCount>();

  check(name: string, holds: boolean, describe: () => string): void {
    const count = this.counts.get(name) ?? { checks: 0, violations: 0, details: [] };
    this.counts.set(name, count);
    count.checks += 1;
    if (holds) return;
    count.violations += 1;
    if (count.details.length < MAX_DETAILS) count.details.push(describe());
  }

  list(): readonly ICheckCount[] {
    return [...this.counts].map(([name, count]) => ({ name, ...count }));
  }

  hasViolations(): boolean {
    return this.list().some(({ violations }) => violations > 0);
  }
}
