/**
 * Retries and hedges come from one budget that only successes fill. When everything fails, no
 * success fills it, so retries can't multiply the load that made everything fail.
 */

/** Options of a {@link RetryBudget}. */
export interface IRetryBudgetOptions {
  /** Tokens gained by each success. Default 0.1. */
  readonly share?: number;
  /** Most tokens that are saved up. Default 20. */
  readonly capacity?: number;
  /** Tokens at the start, so that a service with few requests can retry at all. Default 2. */
  readonly initialTokens?: number;
}

/**
 * Tokens for retries.
 *
 * @example
 * const budget = new RetryBudget({ share: 0.1 });
 * budget.recordSuccess();
 * if (budget.spend()) retry();
 */
export class RetryBudget {
  private readonly share: number;
  private readonly capacity: number;
  private tokens: number;

  constructor(options: IRetryBudgetOptions = {}) {
    this.share = options.share ?? 0.1;
    this.capacity = options.capacity ?? 20;
    this.tokens = options.initialTokens ?? 2;
  }

  /** A request succeeded. */
  recordSuccess(): void {
    this.tokens = Math.min(this.capacity, this.tokens + this.share);
  }

  /** Takes one token. False when none is left. */
  spend(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
