/** Services that the home provides to its ejection controller. */
import type { Clock } from '@parsleymux/base';
import type { FailureDetector } from '../../detection/common/failureDetector.js';
import type { IObservation } from '../../detection/common/targetObserver.js';
import type { EjectionDecision } from '../../ledger/common/ejectionLedger.js';
import type { SlotPool } from '../../home/common/slotPool.js';
import type { TargetHandle } from '../../target/common/targetHandle.js';
import type { CopySender } from './copySender.js';
import type { IRequestSample, RequestSampler } from './requestSampler.js';

/** Targets, ledger, observer and counters of one service. */
export interface IEjectionEnvironment {
  readonly clock: Clock;
  readonly pool: SlotPool;
  readonly detector: FailureDetector;
  readonly sender: CopySender;
  readonly sampler: RequestSampler;
  requestEjection(
    handle: TargetHandle,
    otherwiseUnhealthy: readonly string[],
    signal: AbortSignal,
  ): Promise<EjectionDecision>;
  returnTarget(handle: TargetHandle, signal: AbortSignal): Promise<void>;
  listEjected(): ReadonlySet<string>;
  observe(
    handle: TargetHandle,
    sample: IRequestSample,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<IObservation | undefined>;
  notifyHealthStatus(handle: TargetHandle): void;
  countTrial(isWell: boolean): void;
  countPathFault(): void;
}
