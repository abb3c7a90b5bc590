/** Tries an ejected target with copies of idempotent requests until its fault would have been observed. */
import type { Clock } from '@parsleymux/base';
import type { FailureDetector } from '../../detection/common/failureDetector.js';
import type { TargetHandle } from '../../target/common/targetHandle.js';
import type { CopySender } from './copySender.js';
import type { RequestSampler } from './requestSampler.js';

const MIN_COPIES = 5;
const MAX_COPIES = 60;
/** Maximum probability that a trial misses a fault of the earlier severity. */
const MAX_MISS_PROBABILITY = 0.05;
const COPY_INTERVAL_MS = 50;
/** Share of slow copies above which a trial fails; a healthy target has one in ten above its peers' limit. */
const MAX_SLOW_SHARE = 0.6;
const DEFAULT_TIMEOUT_MS = 1000;
const SLOW_TIMEOUT_FACTOR = 4;

/** Options of {@link runTrial}. */
export interface ITrialOptions {
  readonly clock: Clock;
  readonly sender: CopySender;
  readonly sampler: RequestSampler;
  readonly detector: FailureDetector;
  readonly handle: TargetHandle;
  /** Share of requests that failed or were slow when the target was suspected, from 0 to 1. */
  readonly failureShare: number;
  readonly signal: AbortSignal;
}

/** Number of copies that reveal a fault in `failureShare` of requests with a probability of 95%. */
export function countTrialCopies(failureShare: number): number {
  const share = Math.min(0.99, Math.max(0.01, failureShare));
  const copies = Math.ceil(Math.log(MAX_MISS_PROBABILITY) / Math.log(1 - share));
  return Math.min(MAX_COPIES, Math.max(MIN_COPIES, copies));
}

/** Result of a trial. */
export interface ITrialResult {
  /** All copies succeeded, and few enough were slow. */
  readonly hasPassed: boolean;
  /** Number of copies that succeeded before the trial ended. */
  readonly succeededCopies: number;
}

/** Sends copies in sequence until one fails, too many are slow, or enough have succeeded. */
export async function runTrial(options: ITrialOptions): Promise<ITrialResult> {
  const copies = countTrialCopies(options.failureShare);
  let slow = 0;
  let sent = 0;
  while (sent < copies) {
    await options.clock.sleep(COPY_INTERVAL_MS, options.signal);
    const outcome = await runCopy(options);
    if (outcome === 'bad') return { hasPassed: false, succeededCopies: sent };
    if (outcome !== 'no-slot') sent += 1;
    if (outcome === 'slow') slow += 1;
    if (slow > MAX_SLOW_SHARE * copies) return { hasPassed: false, succeededCopies: sent };
  }
  return { hasPassed: true, succeededCopies: sent };
}

type CopyOutcome = 'good' | 'slow' | 'bad' | 'no-slot';

async function runCopy(options: ITrialOptions): Promise<CopyOutcome> {
  const { handle, detector, signal } = options;
  const sample = options.sampler.get();
  const limitMs = detector.getSlowLimit(sample.route, handle.address);
  const timeoutMs = limitMs === undefined ? DEFAULT_TIMEOUT_MS : limitMs * SLOW_TIMEOUT_FACTOR;
  const result = await options.sender.send({ handle, sample, timeoutMs, signal });
  if (result === undefined) return 'no-slot';
  if (!result.succeeded || result.draining) return 'bad';
  return limitMs !== undefined && result.latencyMs > limitMs ? 'slow' : 'good';
}
