/** A guard without at-most-once protection, for tests and replays that do not cover it. */
import type { IResponse } from '../../request/common/request.js';
import type { IGuardedAttempt } from './dispatchGuard.js';
import { DispatchGuard } from './dispatchGuard.js';

/**
 * Runs every attempt immediately.
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
