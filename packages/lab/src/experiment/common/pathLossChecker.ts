/** Compares how nodes that have lost their path to the targets serve first tries with how the others do. */
import type { IScenario } from './scenario.js';

/** Time from the beginning of the loss from which it is checked, in ms. */
const SETTLE_MS = 3000;
/** Lowest share served at the affected nodes, relative to the others. */
const MIN_RELATIVE_SHARE = 2 / 3;
/** First tries that may fail at the affected nodes, and the share of all first tries in addition. */
const MAX_FAILED = 10;
const MAX_FAILED_SHARE = 1 / 50;

interface IFirstTry {
  readonly atMs: number;
  readonly isAffected: boolean;
  readonly isServed: boolean;
}

/** First tries at the affected nodes and at the others, and those of them that were served. */
export interface IPathLossCounts {
  readonly affected: number;
  readonly affectedServed: number;
  readonly others: number;
  readonly othersServed: number;
}

/**
 * Records the first tries of a run's requests.
 *
 * @example
 * checker.recordFirstTry(nowMs, node.transport.hasLostPath, true);
 */
export class PathLossChecker {
  private readonly firstTries: IFirstTry[] = [];

  constructor(private readonly scenario: IScenario) {}

  recordFirstTry(atMs: number, isAffected: boolean, isServed: boolean): void {
    this.firstTries.push({ atMs, isAffected, isServed });
  }

  /** Counts from `settleMs` after the beginning of each loss to its end. */
  count(settleMs = SETTLE_MS): IPathLossCounts {
    const losses = this.scenario.events.filter(({ kind }) => kind === 'path-loss');
    const during = this.firstTries.filter(({ atMs }) => {
      return losses.some((loss) => atMs >= loss.atMs + settleMs && atMs < loss.atMs + loss.forMs);
    });
    const affected = during.filter(({ isAffected }) => isAffected);
    const others = during.filter(({ isAffected }) => !isAffected);
    const countServed = (tries: readonly IFirstTry[]) => {
      return tries.filter(({ isServed }) => isServed).length;
    };
    return {
      affected: affected.length,
      affectedServed: countServed(affected),
      others: others.length,
      othersServed: countServed(others),
    };
  }

  /** Describes the violation; undefined if there is none. */
  findViolation(): string | undefined {
    const { affected, affectedServed, others, othersServed } = this.count();
    const failed = affected - affectedServed;
    const isFailing = failed > MAX_FAILED + MAX_FAILED_SHARE * (affected + others);
    const isWorse = affectedServed * others < MIN_RELATIVE_SHARE * othersServed * affected;
    if (!isFailing || !isWorse) return undefined;
    return `nodes without a path served ${affectedServed} of ${affected} first tries, the others ${othersServed} of ${others}`;
  }
}
