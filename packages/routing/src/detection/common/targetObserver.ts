/** Observes a target over another node's network path, to tell a target fault from a path fault. */

/** An idempotent request that an observer sends to the target. */
export interface IObservationRequest {
  readonly member: string;
  readonly service: string;
  readonly target: string;
  readonly method: string;
  readonly path: string;
  /** Time limit of the exchange at the observer, in ms. */
  readonly timeoutMs: number;
}

/** Result of an observation. */
export interface IObservation {
  readonly succeeded: boolean;
  readonly status: number;
  /** Time from dispatch to response at the observer, in ms. */
  readonly latencyMs: number;
}

/** Sends observations through other nodes, preferably in another failure domain. */
export abstract class TargetObserver {
  /** Returns undefined when no observer is available. */
  abstract observe(
    request: IObservationRequest,
    signal: AbortSignal,
  ): Promise<IObservation | undefined>;
}

/** Used without other nodes: health decisions rely on evidence of the home alone. */
export class UnavailableObserver extends TargetObserver {
  override observe(): Promise<undefined> {
    return Promise.resolve(undefined);
  }
}
