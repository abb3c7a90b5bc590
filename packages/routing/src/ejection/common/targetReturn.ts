/** How an ejected, cold or cut-off target comes back: waiting, trial, ramp, and the ledger. */
import type { FailureDetector, ISuspicion } from '../../detection/common/failureDetector.js';
import { Standing } from '../../target/common/targetHandle.js';
import type { TargetHandle } from '../../target/common/targetHandle.js';
import { EjectionBackoff } from './ejectionBackoff.js';
import type { IEjectionEnvironment } from './ejectionEnvironment.js';
import type { ITrialResult } from './trial.js';
import { runTrial } from './trial.js';

/** Time between two tries to change the ledger while it is out or refuses, in ms. */
export const RETRY_LEDGER_MS = 5000;

const WARM_UP_FACTORS: readonly number[] = [0.25, 0.5, 1];
const WARM_UP_STEP_MS = 2000;
/** Time after a start in which slowness is not held against a target. */
const COLD_MS = 10_000;
const WAIT_SLICE_MS = 1000;
const RELAPSE_SLICE_MS = 100;

/** Options of a {@link TargetReturn}. */
export interface ITargetReturnOptions {
  readonly environment: IEjectionEnvironment;
  /** Targets that were suspected again while on their way back. */
  readonly relapsed: ReadonlyMap<string, ISuspicion>;
  /** Aborted when the home is closed. */
  readonly signal: AbortSignal;
}

/** The steps of a return. */
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

  /** Waits for as long as the target's ejection is to last. */
  async waitForEjectionEnd(handle: TargetHandle): Promise<void> {
    const endMs = this.getNow() + this.getBackoff(handle).takeNextDuration(this.getNow());
    while (this.getNow() < endMs) {
      await this.sleep(Math.min(WAIT_SLICE_MS, endMs - this.getNow()));
      // Someone else gave the target back: its slots count as there, so they should be.
      if (!this.listEjected().has(handle.address)) return;
    }
  }

  /** True when the target passes its trial, or when returns need none. */
  async hasRecovered(handle: TargetHandle, failureShare: number): Promise<boolean> {
    if (!this.detector.traits.requiresTrial) return true;
    return (await this.runTargetTrial(handle, failureShare)).hasPassed;
  }

  /** Tries the target with copies. */
  async runTargetTrial(handle: TargetHandle, failureShare: number): Promise<ITrialResult> {
    const { clock, sender, sampler } = this.environment;
    const before = handle.standing;
    if (before === Standing.Ejected) this.setHealthStatus(handle, Standing.Trial, handle.evidence);
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

  /** Gives the target work gradually, and serves it fully unless it relapses on the way. */
  async runWarmUp(handle: TargetHandle): Promise<void> {
    if (!this.detector.traits.requiresTrial) {
      this.serve(handle);
      return;
    }
    this.detector.setCold(handle.address, true);
    this.setHealthStatus(handle, Standing.Cold, 'has just started or returned');
    const endMs = this.getNow() + COLD_MS;
    for (const ramp of WARM_UP_FACTORS) {
      handle.ramp = ramp;
      this.environment.pool.serveWaiting();
      const stepEndMs = this.getNow() + WARM_UP_STEP_MS;
      await this.sleepUnlessRelapsed(handle, stepEndMs);
    }
    await this.sleepUnlessRelapsed(handle, endMs);
    handle.ramp = 1;
    this.detector.setCold(handle.address, false);
    if (!this.relapsed.has(handle.address)) this.serve(handle);
  }

  /** The target serves like any other from here on. */
  serve(handle: TargetHandle): void {
    // A target that said meanwhile that it is draining is believed.
    if (handle.standing === Standing.Draining) return;
    handle.isCutOff = false;
    // What came in while the target was left out must not count against it from here on.
    this.detector.reset(handle.address);
    this.getBackoff(handle).recordReturn(this.getNow());
    this.setHealthStatus(handle, Standing.Serving, '');
  }

  /** Serving an ejected target never breaks the floor, so a ledger that is out delays nothing. */
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

  /** Targets that the ledger has as ejected. */
  listEjected(): ReadonlySet<string> {
    return this.environment.listEjected();
  }

  /** False once the configuration has dropped or replaced the target. */
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

  /** Changes how the target stands, and tells whoever wants to know. */
  setHealthStatus(handle: TargetHandle, standing: Standing, reason: string): void {
    handle.setStanding(standing, reason, this.getNow());
    this.environment.notifyHealthStatus(handle);
  }

  /** The instant on the monotonic clock. */
  getNow(): number {
    return this.environment.clock.getMonotonicTime();
  }

  private async sleepUnlessRelapsed(handle: TargetHandle, endMs: number): Promise<void> {
    while (this.getNow() < endMs && !this.relapsed.has(handle.address)) {
      await this.sleep(Math.min(RELAPSE_SLICE_MS, endMs - this.getNow()));
    }
  }

  /** Rejects when the home is closed. */
  sleep(durationMs: number): Promise<void> {
    return this.environment.clock.sleep(durationMs, this.signal);
  }
}
