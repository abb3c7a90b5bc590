/** Request copies that are sent to a suspect to collect more evidence. */
import type { Clock } from '@parsleymux/base';
import type { FailureDetector, IEvidence } from '../../detection/common/failureDetector.js';
import { Evidence } from '../../detection/common/failureDetector.js';
import type { TargetHandle } from '../../target/common/targetHandle.js';
import type { CopySender, ICopyResult } from './copySender.js';
import type { RequestSampler } from './requestSampler.js';

const DEFAULT_TIMEOUT_MS = 1000;
/** A copy counts as silent after this multiple of the 0.9 quantile of the peers' latencies. */
const TIMEOUT_FACTOR = 3;

/** Options of {@link sendEvidenceCopy}. */
export interface IEvidenceCopyOptions {
  readonly clock: Clock;
  readonly detector: FailureDetector;
  readonly sender: CopySender;
  readonly sampler: RequestSampler;
  readonly handle: TargetHandle;
  readonly signal: AbortSignal;
}

/** Sends one copy and records its outcome in the detector. Does nothing without a real request to copy. */
export async function sendEvidenceCopy(options: IEvidenceCopyOptions): Promise<void> {
  const { detector, handle, signal } = options;
  const sample = options.sampler.get();
  if (!sample.isRealRequest) return;
  const limitMs = detector.getSlowLimit(sample.route, handle.address);
  const timeoutMs = limitMs === undefined ? DEFAULT_TIMEOUT_MS : limitMs * TIMEOUT_FACTOR;
  const result = await options.sender.send({ handle, sample, timeoutMs, signal });
  if (result === undefined) return;
  const target = handle.address;
  const atMs = options.clock.getMonotonicTime();
  detector.recordEvidence({ target, route: sample.route, atMs, ...toKind(result) });
}

function toKind(result: ICopyResult): Pick<IEvidence, 'kind' | 'latencyMs'> {
  if (result.succeeded) return { kind: Evidence.Success, latencyMs: result.latencyMs };
  return { kind: result.hasResponded ? Evidence.Failure : Evidence.Silence };
}
