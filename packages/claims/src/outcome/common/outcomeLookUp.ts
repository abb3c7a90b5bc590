/** Looks up at the targets whether a key was executed, for routes that configure a look-up request. */
import type { IRoutedRequest } from '@parsleymux/routing';
import type { ICompleteResponse } from '../../claim/common/responseCodec.js';

/** Result of a look-up at the targets. */
export const LookUpResult = {
  Ran: 'ran',
  /** Not executed so far. A request that was sent may still be in flight. */
  NotRun: 'not-run',
  /** No usable response. */
  NoResponse: 'no-response',
} as const;

export type LookUpResult = (typeof LookUpResult)[keyof typeof LookUpResult];

/** Result of a look-up, with the response that the targets recorded if the key ran. */
export interface ITargetOutcome {
  readonly result: LookUpResult;
  readonly response?: ICompleteResponse;
}

/** Sends the look-up request of a route. */
export abstract class OutcomeLookUp {
  /** Never rejects: a failure is reported as {@link LookUpResult.NoResponse}. */
  abstract lookUp(request: IRoutedRequest, signal: AbortSignal): Promise<ITargetOutcome>;
}

/** Look-up for fleets whose routes configure no look-up request. */
export class NoOutcomeLookUp extends OutcomeLookUp {
  override lookUp(): Promise<ITargetOutcome> {
    return Promise.resolve({ result: LookUpResult.NoResponse });
  }
}
