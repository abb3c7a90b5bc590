/**
 * The attempts that this process holds claims for. An attempt is registered before its claim is
 * sent and stays until its row tells the outcome, so "this node knows nothing of the attempt"
 * is said only by a process that never had it: the one that had it is gone.
 */
import type { InvariantRegistry, MuxError } from '@parsleymux/base';
import { InvariantName } from '@parsleymux/base';
import type { ICompleteResponse } from '../../claim/common/responseCodec.js';

/** How an attempt ended. */
export const AttemptEnd = {
  Finished: 'finished',
  NotRun: 'not-run',
  /** Executed, and its answer is not kept. */
  RanNotKept: 'ran-not-kept',
  Unknown: 'unknown',
} as const;

export type AttemptEnd = (typeof AttemptEnd)[keyof typeof AttemptEnd];

/** What an attempt came to. */
export interface IAttemptOutcome {
  readonly end: AttemptEnd;
  /** Present when finished. */
  readonly response?: ICompleteResponse;
  /** What the first caller was told instead of an answer. */
  readonly error?: MuxError;
}

/** Options of an {@link Attempt}. */
export interface IAttemptOptions {
  readonly rowKey: string;
  readonly token: string;
  readonly digest: string;
  readonly invariants: InvariantRegistry;
}

/** One attempt of this process. */
export class Attempt {
  readonly rowKey: string;
  readonly token: string;
  readonly digest: string;
  /** Resolves once, when the attempt has ended. */
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

  /** How it ended; undefined while it runs. */
  getOutcome(): IAttemptOutcome | undefined {
    return this.outcome;
  }

  /** The store has proved that the row carries this attempt's token. */
  recordClaim(): void {
    this.isClaimed = true;
  }

  /** The request is about to be handed to the home for dispatch. */
  recordDispatch(): void {
    this.dispatches += 1;
    this.invariants.check(
      InvariantName.AtMostOnce,
      this.isClaimed && this.dispatches === 1 && this.outcome === undefined,
      () => `attempt ${this.token}: dispatch ${this.dispatches}, claimed ${this.isClaimed}`,
    );
  }

  /**
   * Ends the attempt. `isProved` says that the home vouched for what `end` claims; without it
   * an attempt that was dispatched must never be given out as not run.
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

  /** Adds an attempt before its claim is written, so that peers that ask by its token find it. */
  add(attempt: Attempt): void {
    this.byToken.set(attempt.token, attempt);
    this.byRow.set(attempt.rowKey, attempt);
  }

  /** Forgets an attempt whose row tells its outcome. */
  remove(attempt: Attempt): void {
    this.byToken.delete(attempt.token);
    if (this.byRow.get(attempt.rowKey) === attempt) this.byRow.delete(attempt.rowKey);
  }

  /** The attempt with this token, unless its row tells its outcome already. */
  find(token: string): Attempt | undefined {
    return this.byToken.get(token);
  }

  /** The newest attempt of this process under a row. */
  findByRow(rowKey: string): Attempt | undefined {
    return this.byRow.get(rowKey);
  }
}
