/** The error of a call to the platform without a usable response. */
import VError from 'verror';
import type { PlatformFailure } from '../../table/common/tableService.js';

/**
 * Its `failure` states whether the call may have taken effect.
 *
 * @example
 * if (error instanceof PlatformError && error.failure === PlatformFailure.Unknown) await readBack();
 */
export class PlatformError extends VError {
  readonly failure: PlatformFailure;

  constructor(failure: PlatformFailure, message: string, cause?: unknown) {
    super(cause instanceof Error ? { cause } : {}, '%s', message);
    this.name = 'PlatformError';
    this.failure = failure;
  }
}
