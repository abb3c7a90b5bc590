/** A second opinion on a target over another node's network path. */

/** What is to be tried, by an idempotent request. */
export interface IObservationRequest {
  readonly member: string;
  readonly service: string;
  readonly target: string;
  readonly method: string;
  readonly path: string;
  readonly timeoutMs: number;
}

/** What the observer saw; undefined when no observer could be asked. */
export interface IObservation {
  readonly succeeded: boolean;
  readonly status: number;
  /** From dispatch to answer at the observer. */
  readonly latencyMs: number;
}

/** Asks other nodes, preferably in another failure domain. */
export abstract class TargetObserver {
  abstract observe(
    request: IObservationRequest,
    signal: AbortSignal,
  ): Promise<IObservation | undefined>;
}

/** No other node to ask: every verdict rests on what the home itself saw. */
export class UnavailableObserver extends TargetObserver {
  override observe(): Promise<undefined> {
    return Promise.resolve(undefined);
  }
}
