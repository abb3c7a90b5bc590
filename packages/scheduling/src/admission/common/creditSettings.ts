/** Settings of the expected-credit policy, with the reason of each. */
import type { IPlacementWeights } from '../../capacity/common/placementCost.js';
import { DEFAULT_PLACEMENT_WEIGHTS } from '../../capacity/common/placementCost.js';

/**
 * In units of the credit of one request that meets its objective. None of them is a threshold on load or
 * health: those are estimated. docs/DECIDING.md compares the effects of halving and doubling each.
 */
export interface IExpectedCreditSettings {
  readonly weights: IPlacementWeights;
  /**
   * Credit of a late response. Callers value it at a third to a half of the full credit, and in
   * addition measure the share of requests served at all in orders of magnitude. Together this makes
   * any response worth about twice as much as meeting the objective. Default 0.7.
   */
  readonly lateCredit: number;
  /**
   * Maximum expected loss for which a free slot is still preferred to waiting: a slot that idles
   * while requests wait for better ones is wasted. Default 0.15.
   */
  readonly waitMargin: number;
  /**
   * Share of the distance cost that is credited to a suspected target in the same failure domain while
   * the queue is empty: saves transfer between domains at the cost of a few failures. Default 0.5.
   */
  readonly nearTrials: number;
  /**
   * Cost of a retry in addition to its time: it uses the retry allowance that all requests of the
   * service share, and often a new connection. Default 0.2.
   */
  readonly retryCost: number;
  /**
   * Credit of a rejection: its caller knows that the request has not run, and some callers retry within
   * their deadline. Default 0.15.
   */
  readonly refusalCredit: number;
  /**
   * Maximum expected wait for which a new request is queued, as a share of its objective. Healthy slots
   * may become fewer while it waits, and a late rejection would have delayed the caller for nothing.
   * Default 1.5.
   */
  readonly longestWait: number;
  /**
   * Credit that a request that can't be retried may lose by probing a suspected target, multiplied by the
   * share of healthy targets that is missing in use. Lower values let services fall below their
   * floor; higher ones lose requests needlessly. Default 3.
   */
  readonly trialLoss: number;
  /** Whether the benefit of a probe to the queued requests is credited to it. Default true. */
  readonly valuesProbes: boolean;
  /** Whether the floor on the targets in use is enforced. Default true. */
  readonly keepsFloor: boolean;
  /** Whether requests that can still meet their objective precede those that can't. Default true. */
  readonly servesInTimeFirst: boolean;
  /** Whether hedges get slots only while the queue is empty. Default true. */
  readonly boundsHedges: boolean;
  /** Whether second attempts may be refused while it is certain that no attempt has run. Default false. */
  readonly refusesUnrunRetries: boolean;
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
  refusesUnrunRetries: false,
};
