/** Asks the targets themselves whether a key was executed, where its route names a way to ask. */
import type { IRoutedRequest } from '@parsleymux/routing';
import type { ICompleteResponse } from '../../claim/common/responseCodec.js';

/** What the targets said. */
export const LookUpResult = {
  Ran: 'ran',
  /** No execution so far. One that was sent may still be on its way. */
  NotRun: 'not-run',
  /** No usable answer. */
  NoResponse: 'silent',
} as const;

export type LookUpResult = (typeof LookUpResult)[keyof typeof LookUpResult];

/** What the targets said, with the recorded answer when it ran. */
export interface ITargetOutcome {
  readonly result: LookUpResult;
  readonly response?: ICompleteResponse;
}

/** Sends a route's look-up request. */
export abstract class OutcomeLookUp {
  /** Never rejects: a failure is {@link LookUpResult.NoResponse}. */
  abstract lookUp(request: IRoutedRequest, signal: AbortSignal): Promise<ITargetOutcome>;
}

/** For fleets whose routes name no look-up. */
export class NoOutcomeLookUp extends OutcomeLookUp {
  override lookUp(): Promise<ITargetOutcome> {
    return Promise.resolve({ result: LookUpResult.NoResponse });
  }
}
