/** Reasons why a hop got no response from the home. */
import VError from 'verror';

/** State of a request that got no response from the home. */
export const HopFailure = {
  /** No connection could be established: the request was not delivered. */
  NotDelivered: 'not-delivered',
  /** No heartbeat in time, or the connection broke: the request may have been delivered. */
  Lost: 'lost',
  /** The home is shutting down and did not accept the request. */
  ShuttingDown: 'leaving',
  /** The home's configuration is older than the entry's, and it did not accept the request. */
  Behind: 'behind',
} as const;

export type HopFailure = (typeof HopFailure)[keyof typeof HopFailure];

/**
 * An exchange over the hop that got no response from the home.
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

  /** Whether the home may have received the request. */
  isPossiblyDelivered(): boolean {
    return this.failure === HopFailure.Lost;
  }
}
