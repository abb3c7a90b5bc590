/** Guards the dispatch of non-idempotent requests at their home. */
import type { MuxError } from '@parsleymux/base';
import type { IResponse, IRoutedRequest } from '../../request/common/request.js';

/** An attempt whose execution the guard controls. */
export interface IGuardedAttempt {
  readonly request: IRoutedRequest;
  /** The refusal that a run would meet now, due to overload or an expired deadline; undefined for none. */
  estimateRefusal(): MuxError | undefined;
  /**
   * Queues the request and dispatches it at most once. Rejects with a MuxError whose run state is
   * truthful: NotRun only if no byte was sent or the target reported that it did not run the request.
   */
  run(signal: AbortSignal): Promise<IResponse>;
}

/** Ensures that a non-idempotent request runs at most once in the whole fleet. */
export abstract class DispatchGuard {
  /** Returns the response of the single execution, which may be an earlier one. */
  abstract execute(attempt: IGuardedAttempt, signal: AbortSignal): Promise<IResponse>;
}
