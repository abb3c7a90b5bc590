/**
 * Budget of retries and hedges, refilled by successes only. When all requests fail it is not refilled,
 * so retries cannot amplify the load that caused the failures.
 */

/** Options of a {@link RetryBudget}. */
export interface IRetryBudgetOptions {
  /** Tokens added by each success. Default 0.1. */
  readonly share?: number;
  /** Maximum number of tokens. Default 20. */
  readonly capacity?: number;
  /** Initial tokens, which allow a service with few requests to retry. Default 2. */
  readonly initialTokens?: number;
}

/**
 * Token bucket for retries and hedges.
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

  /** Adds the tokens of one success. */
  recordSuccess(): void {
    this.tokens = Math.min(this.capacity, this.tokens + this.share);
  }

  /** Spends one token. False when none is left. */
  spend(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
