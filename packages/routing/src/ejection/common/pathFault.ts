/**
 * Distinguishes a target fault from a path fault. A target that appears silent or slow to this node
 * may be healthy behind a faulty network path. If it responds to an observer on another path in time,
 * the path is at fault, and ejecting the target for all nodes would waste its slots.
 */
import type { IObservation } from '../../detection/common/targetObserver.js';
import type { ISuspicion } from '../../detection/common/failureDetector.js';
import type { TargetHandle } from '../../target/common/targetHandle.js';
import type { IEjectionEnvironment } from './ejectionEnvironment.js';

/** Several observations, since a single one may succeed by chance when only some requests fail. */
const OBSERVATIONS = 3;
const MIN_IN_TIME = 2;
const DEFAULT_TIMEOUT_MS = 1000;
const TIMEOUT_FACTOR = 3;
/** Latency that the path of an observer may add, in ms. */
const PATH_ALLOWANCE_MS = 10;

/**
 * True when the observations show that the target is healthy; false also when no observer is
 * available. All observations must succeed. If slowness is suspected, most must also be in time; not
 * all, since one in ten responses of a healthy target exceeds the limit.
 */
export async function isPathFault(
  environment: IEjectionEnvironment,
  handle: TargetHandle,
  suspicion: ISuspicion,
  signal: AbortSignal,
): Promise<boolean> {
  const sample = environment.sampler.get();
  // A target that fails requests may still pass health checks, so they cannot show that it is healthy.
  if (!sample.isRealRequest) return false;
  const limitMs = environment.detector.getSlowLimit(sample.route, handle.address);
  const timeoutMs = limitMs === undefined ? DEFAULT_TIMEOUT_MS : limitMs * TIMEOUT_FACTOR;
  const observations = await Promise.all(
    Array.from({ length: OBSERVATIONS }, () => {
      return environment.observe(handle, sample, timeoutMs, signal);
    }),
  );
  const succeeded = observations.filter((observation) => observation?.succeeded === true);
  const timely = succeeded.filter((observation) => isInTime(observation, limitMs));
  const isFault =
    succeeded.length === OBSERVATIONS && (!suspicion.isSlow || timely.length >= MIN_IN_TIME);
  if (isFault) environment.countPathFault();
  return isFault;
}

function isInTime(observation: IObservation | undefined, limitMs: number | undefined): boolean {
  if (observation === undefined) return false;
  return limitMs === undefined || observation.latencyMs <= limitMs + PATH_ALLOWANCE_MS;
}
