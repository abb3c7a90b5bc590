/** The interface of planners that tell the caller of a refused request when to return. */
import type { ResultCode } from '@parsleymux/base';
import type { IServiceState } from '../../admission/common/grantPolicy.js';
import type { IGrantRequest } from '../../grants/common/grant.js';
import type { IPlannedReturn } from './plannedReturn.js';

/** A request that is about to be refused. */
export interface IRefusedRequest {
  readonly request: IGrantRequest;
  readonly code: ResultCode;
  /** Time since the grant was requested, in ms. */
  readonly waitedMs: number;
  /** Expected wait of the request if it were queued now, in ms. */
  readonly expectedWaitMs: number;
  /** Expected time until the next slot is released, in ms. */
  readonly slotMs: number;
}

/** Plans the returns of callers. */
export abstract class ReturnPlanner {
  /** Tells when the caller should return. */
  abstract planReturn(refused: IRefusedRequest, state: IServiceState): IPlannedReturn;

  /** Whether the caller was promised room and comes at its time. */
  abstract isDue(request: IGrantRequest, nowMs: number): boolean;

  /** Number of callers for whom room is reserved. */
  abstract countPromised(nowMs: number): number;

  /** Records that a request got a target or was queued. */
  abstract recordAccepted(request: IGrantRequest, nowMs: number): void;
}
