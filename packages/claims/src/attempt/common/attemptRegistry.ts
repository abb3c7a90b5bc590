/**
 * The attempts for which this process holds claims. An attempt is registered before its claim is
 * sent and removed once its row contains the outcome. If a row is still running and its attempt is
 * not registered at the claimer's address, the process that held the attempt has terminated.
 */
import type { InvariantRegistry, MuxError } from '@parsleymux/base';
import { InvariantName } from '@parsleymux/base';
import type { ICompleteResponse } from '../../claim/common/responseCodec.js';

/** How an attempt ended. */
export const AttemptEnd = {
  Finished: 'finished',
  NotRun: 'not-run',
  /** Executed; the response is not recorded. */
  RanNotKept: 'ran-not-kept',
  Unknown: 'unknown',
} as const;

export type AttemptEnd = (typeof AttemptEnd)[keyof typeof AttemptEnd];

/** Outcome of an attempt. */
export interface IAttemptOutcome {
  readonly end: AttemptEnd;
  /** Present when finished. */
  readonly response?: ICompleteResponse;
  /** The error that the first caller received instead of a response. */
  readonly error?: MuxError;
}

/** Options of an {@link Attempt}. */
export interface IAttemptOptions {
  readonly rowKey: string;
  readonly token: string;
  readonly digest: string;
  readonly invariants: InvariantRegistry;
}

/** One attempt of this process to run a request under a claim. */
export class Attempt {
  readonly rowKey: string;
  readonly token: string;
  readonly digest: string;
  /** Resolves when the attempt has ended. */
  readonly ended: Promise<IAttemptOutcome>;
  private readonly invariants: InvariantRegistry;
  private settle: (outcome: IAttemptOutcome) => void = () => undefined;
  private isClaimed = false;
  private dispatches = 0;
  private outcome: IAttemptOutcome | undefined;

  constructor(options: IAttemptOptions) {
    this.rowKey = options.rowKey;
    this.token = options.token;
    this.digest = options.digest;
    this.invariants = options.invariants;
    this.ended = new Promise((resolve) => {
      this.settle = resolve;
    });
  }

  /** Returns the outcome, or undefined while the attempt is running. */
  getOutcome(): IAttemptOutcome | undefined {
    return this.outcome;
  }

  /** Records that the store has confirmed this attempt's token in the row. */
  recordClaim(): void {
    this.isClaimed = true;
  }

  /** Records that the request is about to be sent to the home for dispatch. */
  recordDispatch(): void {
    this.dispatches += 1;
    this.invariants.check(
      InvariantName.AtMostOnce,
      this.isClaimed && this.dispatches === 1 && this.outcome === undefined,
      () => `attempt ${this.token}: dispatch ${this.dispatches}, claimed ${this.isClaimed}`,
    );
  }

  /**
   * Ends the attempt. `isConfirmed` is true if the home confirmed the outcome. Without that, an
   * attempt that was dispatched must never be reported as not run.
   */
  end(outcome: IAttemptOutcome, isConfirmed: boolean): void {
    if (outcome.end === AttemptEnd.NotRun) {
      this.invariants.check(
        InvariantName.TruthfulRefusal,
        this.dispatches === 0 || isConfirmed,
        () => `attempt ${this.token}: not run after dispatch`,
      );
    }
    this.outcome ??= outcome;
    this.settle(this.outcome);
  }
}

/**
 * Finds attempts by token and by row.
 *
 * @example
 * registry.add(attempt);
 * registry.find(token)?.ended;
 */
export class AttemptRegistry {
  private readonly byToken = new Map<string, Attempt>();
  private readonly byRow = new Map<string, Attempt>();

  /** Adds an attempt. Called before its claim is written, so that peers can look it up by its token. */
  add(attempt: Attempt): void {
    this.byToken.set(attempt.token, attempt);
    this.byRow.set(attempt.rowKey, attempt);
  }

  /** Removes an attempt whose row contains its outcome or that never had a row. */
  remove(attempt: Attempt): void {
    this.byToken.delete(attempt.token);
    if (this.byRow.get(attempt.rowKey) === attempt) this.byRow.delete(attempt.rowKey);
  }

  /** Returns the attempt with this token, unless it was removed. */
  find(token: string): Attempt | undefined {
    return this.byToken.get(token);
  }

  /** Returns the latest attempt of this process for a row. */
  findByRow(rowKey: string): Attempt | undefined {
    return this.byRow.get(rowKey);
  }
}
