/** Stands between the arrival of a non-idempotent request at its home and its dispatch. */
import type { MuxError } from '@parsleymux/base';
import type { IResponse, IRoutedRequest } from '../../request/common/request.js';

/** The attempt that the guard decides on. */
export interface IGuardedAttempt {
  readonly request: IRoutedRequest;
  /** The refusal that would follow at once, for overload or lack of time; undefined when none. */
  estimateRefusal(): MuxError | undefined;
  /**
   * Queues and dispatches, once at most. Rejects with a MuxError whose run state is the truth:
   * NotRun only if no byte left or the target said so.
   */
  run(signal: AbortSignal): Promise<IResponse>;
}

/** Lets a non-idempotent request run at most once across the whole fleet. */
export abstract class DispatchGuard {
  /** Gives the answer of the one execution, be it this one or an earlier. */
  abstract execute(attempt: IGuardedAttempt, signal: AbortSignal): Promise<IResponse>;
}
