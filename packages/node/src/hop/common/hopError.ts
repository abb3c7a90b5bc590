/** Why a home gave no answer over the hop. */
import VError from 'verror';

/** What is known of a request that got no answer from the home. */
export const HopFailure = {
  /** No connection: the request was not delivered. */
  NotDelivered: 'not-delivered',
  /** No heartbeat in time, or the connection broke: the request may have been delivered. */
  Lost: 'lost',
  /** The home says that it is leaving and did not take the request. */
  ShuttingDown: 'leaving',
  /** The home's configuration is older than the entry's and it did not take the request. */
  Behind: 'behind',
} as const;

export type HopFailure = (typeof HopFailure)[keyof typeof HopFailure];

/**
 * An exchange over the hop that brought no answer of a home.
 *
 * @example
 * throw new HopError(HopFailure.Lost, 'no heartbeat');
 */
export class HopError extends VError {
  readonly failure: HopFailure;

  constructor(failure: HopFailure, message: string, cause?: unknown) {
    super(cause instanceof Error ? { cause } : {}, '%s', message);
    this.name = 'HopError';
    this.failure = failure;
  }

  /** Whether the home may have taken the request. */
  isPossiblyDelivered(): boolean {
    return this.failure === HopFailure.Lost;
  }
}
