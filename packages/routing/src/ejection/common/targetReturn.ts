/** Returns an ejected, cold or locally unreachable target to service: wait, trial, warm-up and ledger. */
import type { FailureDetector, ISuspicion } from '../../detection/common/failureDetector.js';
import { HealthStatus } from '../../target/common/targetHandle.js';
import type { TargetHandle } from '../../target/common/targetHandle.js';
import { EjectionBackoff } from './ejectionBackoff.js';
import type { IEjectionEnvironment } from './ejectionEnvironment.js';
import type { ITrialResult } from './trial.js';
import { runTrial } from './trial.js';

/** Interval between attempts to change the ledger while it is unavailable or refuses, in ms. */
export const RETRY_LEDGER_MS = 5000;

/** Shares of its slots that a target may use in the successive steps of its warm-up. */
const WARM_UP_FACTORS: readonly number[] = [0.25, 0.5, 1];
const WARM_UP_STEP_MS = 2000;
/** Time after its start in which a target is not suspected of slowness, in ms. */
const COLD_MS = 10_000;
const WAIT_SLICE_MS = 1000;
const RELAPSE_SLICE_MS = 100;

/** Options of a {@link TargetReturn}. */
export interface ITargetReturnOptions {
  readonly environment: IEjectionEnvironment;
  /** Suspicions of targets, by address, that were suspected again before their return was complete. */
  readonly relapsed: ReadonlyMap<string, ISuspicion>;
  /** Aborted when the home is closed. */
  readonly signal: AbortSignal;
}

/** Steps of the return to service. */
export class TargetReturn {
  private readonly environment: IEjectionEnvironment;
  private readonly detector: FailureDetector;
  private readonly relapsed: ReadonlyMap<string, ISuspicion>;
  private readonly signal: AbortSignal;
  private readonly backoffs = new Map<string, EjectionBackoff>();

  constructor(options: ITargetReturnOptions) {
    this.environment = options.environment;
    this.detector = options.environment.detector;
    this.relapsed = options.relapsed;
    this.signal = options.signal;
  }

  /** Waits until the ejection time of the target has elapsed. */
  async waitForEjectionEnd(handle: TargetHandle): Promise<void> {
    const endMs = this.getNow() + this.getBackoff(handle).takeNextDuration(this.getNow());
    while (this.getNow() < endMs) {
      await this.sleep(Math.min(WAIT_SLICE_MS, endMs - this.getNow()));
      // Another node ended the ejection: the ledger counts its slots as available, so they must be.
      if (!this.listEjected().has(handle.address)) return;
    }
  }

  /** True when the target passes its trial, or when the detector requires none. */
  async hasRecovered(handle: TargetHandle, failureShare: number): Promise<boolean> {
    if (!this.detector.traits.requiresTrial) return true;
    return (await this.runTargetTrial(handle, failureShare)).hasPassed;
  }

  /** Tries the target with request copies. */
  async runTargetTrial(handle: TargetHandle, failureShare: number): Promise<ITrialResult> {
    const { clock, sender, sampler } = this.environment;
    const before = handle.standing;
    if (before === HealthStatus.Ejected)
      this.setHealthStatus(handle, HealthStatus.Trial, handle.evidence);
    const result = await runTrial({
      clock,
      sender,
      sampler,
      detector: this.detector,
      handle,
      failureShare,
      signal: this.signal,
    });
    this.environment.countTrial(result.hasPassed);
    return result;
  }

  /** Increases the load of the target gradually, then lets it serve fully unless it relapsed. */
  async runWarmUp(handle: TargetHandle): Promise<void> {
    if (!this.detector.traits.requiresTrial) {
      this.serve(handle);
      return;
    }
    this.detector.setCold(handle.address, true);
    this.setHealthStatus(handle, HealthStatus.Cold, 'has just started or returned');
    const endMs = this.getNow() + COLD_MS;
    for (const factor of WARM_UP_FACTORS) {
      handle.warmUpFactor = factor;
      this.environment.pool.serveWaiting();
      const stepEndMs = this.getNow() + WARM_UP_STEP_MS;
      await this.sleepUnlessRelapsed(handle, stepEndMs);
    }
    await this.sleepUnlessRelapsed(handle, endMs);
    handle.warmUpFactor = 1;
    this.detector.setCold(handle.address, false);
    if (!this.relapsed.has(handle.address)) this.serve(handle);
  }

  /** Lets the target serve without restrictions. */
  serve(handle: TargetHandle): void {
    // The target may meanwhile have reported that it is draining.
    if (handle.standing === HealthStatus.Draining) return;
    handle.isLocallyUnreachable = false;
    // Evidence that was recorded while the target was excluded must not count after its return.
    this.detector.reset(handle.address);
    this.getBackoff(handle).recordReturn(this.getNow());
    this.setHealthStatus(handle, HealthStatus.Serving, '');
  }

  /**
   * Ends the ejection in the ledger, and retries until that succeeds. The target serves meanwhile,
   * since serving an ejected target never violates the floor.
   */
  async returnInLedger(handle: TargetHandle): Promise<void> {
    while (this.isConfigured(handle)) {
      try {
        await this.environment.returnTarget(handle, this.signal);
        return;
      } catch {
        await this.sleep(RETRY_LEDGER_MS);
      }
    }
  }

  /** Addresses of the targets that are ejected in the ledger, as last read. */
  listEjected(): ReadonlySet<string> {
    return this.environment.listEjected();
  }

  /** False once the configuration no longer contains the target or has replaced it. */
  isConfigured(handle: TargetHandle): boolean {
    return this.environment.pool.handles.get(handle.address) === handle;
  }

  private getBackoff(handle: TargetHandle): EjectionBackoff {
    let backoff = this.backoffs.get(handle.address);
    if (backoff === undefined) {
      backoff = new EjectionBackoff(this.detector.traits.ejectionMs);
      this.backoffs.set(handle.address, backoff);
    }
    return backoff;
  }

  /** Changes the health status of the target and reports the change. */
  setHealthStatus(handle: TargetHandle, standing: HealthStatus, reason: string): void {
    handle.setHealthStatus(standing, reason, this.getNow());
    this.environment.notifyHealthStatus(handle);
  }

  /** The current instant on the monotonic clock, in ms. */
  getNow(): number {
    return this.environment.clock.getMonotonicTime();
  }

  private async sleepUnlessRelapsed(handle: TargetHandle, endMs: number): Promise<void> {
    while (this.getNow() < endMs && !this.relapsed.has(handle.address)) {
      await this.sleep(Math.min(RELAPSE_SLICE_MS, endMs - this.getNow()));
    }
  }

  /** Sleeps for `durationMs`. Rejects when the home is closed. */
  sleep(durationMs: number): Promise<void> {
    return this.environment.clock.sleep(durationMs, this.signal);
  }
}
