/** A guard that guards nothing, for tests and replays whose subject is not at-most-once. */
import type { IResponse } from '../../request/common/request.js';
import type { IGuardedAttempt } from './dispatchGuard.js';
import { DispatchGuard } from './dispatchGuard.js';

/**
 * Runs every attempt at once.
 *
 * @example
 * const home = new LocalHomeService({ ...services, guard: new PassThroughGuard() });
 */
export class PassThroughGuard extends DispatchGuard {
  override execute(attempt: IGuardedAttempt, signal: AbortSignal): Promise<IResponse> {
    const refusal = attempt.estimateRefusal();
    if (refusal !== undefined) return Promise.reject(refusal);
    return attempt.run(signal);
  }
}
