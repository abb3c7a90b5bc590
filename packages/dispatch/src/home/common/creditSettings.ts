/** Settings of the policy of expected credit, each with the load that it answers. */
import type { IPlacementWeights } from './placementCost.js';
import { DEFAULT_PLACEMENT_WEIGHTS } from './placementCost.js';

/**
 * In credit of one request answered in time. None of them is a threshold on load or health: these
 * are learnt. Changing one by a half or by two is compared in docs/DECIDING.md.
 */
export interface IExpectedCreditSettings {
  readonly weights: IPlacementWeights;
  /**
   * Credit of a late answer. Callers agreed on a third to a half of a whole credit for it, and
   * count the share that is served at all besides, by orders of magnitude; together that makes an
   * answer at all worth about twice as much as its being in time. Default 0.7.
   */
  readonly lateCredit: number;
  /**
   * A slot now is taken if it is worse than waiting by no more than this: a slot that stays idle
   * while requests wait for better ones helps nobody. Default 0.15.
   */
  readonly waitMargin: number;
  /**
   * How much of the cost of distance is credited to a doubtful target nearby, while nobody waits:
   * fewer bytes cross, and a few more requests fail. Default 0.5.
   */
  readonly nearTrials: number;
  /**
   * What a retry costs besides its time: part of an allowance that all requests of the service
   * share, and often a new connection. Default 0.2.
   */
  readonly retryCost: number;
  /**
   * What a refusal is worth: its caller knows that nothing has run, and some come back in the time
   * that they have. Default 0.15.
   */
  readonly refusalCredit: number;
  /**
   * Likely wait up to which a new request joins the queue, as a share of its objective. Sound slots
   * may get fewer while it waits; refused only then, it would have been held for nothing. Refusals
   * after more than an eighth of the objective: 3.1% of the requests of the heaviest simulated
   * load without it and with refusals worth 0.4, 0.75% with both; lost in all 5.2% and 4.7%.
   * Default 1.5.
   */
  readonly longestWait: number;
  /**
   * Credit that a request which can't be repeated may lose by trying a doubted target, for each whole
   * share of the sound targets that is missing in use: less lets services fall below their floor, more
   * loses bookings for nothing. Default 3.
   */
  readonly trialLoss: number;
  /** Whether what a probe tells the waiting requests counts for it. Default true. */
  readonly valuesProbes: boolean;
  /** Whether targets without requests are used while many requests fail. Default true. */
  readonly keepsFloor: boolean;
  /** Whether requests that can still be in time go before those that can't. Default true. */
  readonly servesInTimeFirst: boolean;
  /** Whether hedges are kept to slots that nobody waits for. Default true. */
  readonly boundsHedges: boolean;
}

export const DEFAULT_CREDIT_SETTINGS: IExpectedCreditSettings = {
  weights: DEFAULT_PLACEMENT_WEIGHTS,
  lateCredit: 0.7,
  waitMargin: 0.15,
  nearTrials: 0.5,
  retryCost: 0.2,
  refusalCredit: 0.15,
  longestWait: 1.5,
  trialLoss: 3,
  valuesProbes: true,
  keepsFloor: true,
  servesInTimeFirst: true,
  boundsHedges: true,
};
