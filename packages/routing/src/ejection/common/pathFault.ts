/**
 * A target that is silent or slow here may be well, and the path to it broken. An observer over
 * another path tells the two apart: if the target answers there well and in time, the path is to
 * blame, and ejecting the target for everyone would waste its slots.
 */
import type { IObservation } from '../../detection/common/targetObserver.js';
import type { ISuspicion } from '../../detection/common/failureDetector.js';
import type { TargetHandle } from '../../target/common/targetHandle.js';
import type { IEjectionEnvironment } from './ejectionEnvironment.js';

/** One answer may be luck when only some requests fail. */
const OBSERVATIONS = 3;
const MIN_IN_TIME = 2;
const DEFAULT_TIMEOUT_MS = 1000;
const TIMEOUT_FACTOR = 3;
/** An observer's own path may add this much to a latency. */
const PATH_ALLOWANCE_MS = 10;

/**
 * True when the observations clear the target; false too when no observer could be asked. Against
 * failures every observation must have succeeded; against slowness most must have been in time,
 * since one answer in ten of a healthy target is over the limit.
 */
export async function isPathFault(
  environment: IEjectionEnvironment,
  handle: TargetHandle,
  suspicion: ISuspicion,
  signal: AbortSignal,
): Promise<boolean> {
  const sample = environment.sampler.get();
  // The health endpoint answers for targets that fail at their work: it can't clear one.
  if (!sample.isRealRequest) return false;
  const limitMs = environment.detector.getSlowLimit(sample.route, handle.address);
  const timeoutMs = limitMs === undefined ? DEFAULT_TIMEOUT_MS : limitMs * TIMEOUT_FACTOR;
  const observations = await Promise.all(
    Array.from({ length: OBSERVATIONS }, () => {
      return environment.observe(handle, sample, timeoutMs, signal);
    }),
  );
  const succeeded = observations.filter((observation) => observation?.succeeded === true);
  const inTime = succeeded.filter((observation) => isInTime(observation, limitMs));
  const isFault =
    succeeded.length === OBSERVATIONS && (!suspicion.isSlow || inTime.length >= MIN_IN_TIME);
  if (isFault) environment.countPathFault();
  return isFault;
}

function isInTime(observation: IObservation | undefined, limitMs: number | undefined): boolean {
  if (observation === undefined) return false;
  return limitMs === undefined || observation.latencyMs <= limitMs + PATH_ALLOWANCE_MS;
}
