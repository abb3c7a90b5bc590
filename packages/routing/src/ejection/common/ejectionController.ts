/**
 * Turns suspicions into ejections and returns. Each suspected target has one sequential task: demote,
 * confirm, consult an observer, request the ejection, wait, try, warm up.
 */
import { setMaxListeners } from 'node:events';
import type { IDisposable } from '@parsleymux/base';
import type { FailureDetector, ISuspicion } from '../../detection/common/failureDetector.js';
import { EjectionDecision } from '../../ledger/common/ejectionLedger.js';
import { HealthStatus } from '../../target/common/targetHandle.js';
import type { TargetHandle } from '../../target/common/targetHandle.js';
import type { IEjectionEnvironment } from './ejectionEnvironment.js';
import { sendEvidenceCopy } from './evidenceCopy.js';
import { isPathFault } from './pathFault.js';
import { RETRY_LEDGER_MS, TargetReturn } from './targetReturn.js';

/** Delay before a second trial, in ms; longer than a burst of losses, so that one burst can't fail both. */
const SECOND_TRIAL_MS = 500;
const RETRY_PATH_MS = 2000;
const DRAINING_PROBE_MS = 5000;
const PROBE_TIMEOUT_MS = 1000;
/** Consecutive trials without a successful copy after which a target counts as locally unreachable. */
const MAX_SILENT_TRIALS = 2;

/** Suspicion assumed for a target that another home ejected. */
const LEDGER_SUSPICION: Omit<ISuspicion, 'target'> = {
  reason: 'ejected in the ledger',
  failureShare: 1,
  isSlow: false,
  isPathFaultPossible: false,
};

/** Controls the health status of one service's targets. */
export class EjectionController implements IDisposable {
  private readonly tasks = new Map<string, Promise<void>>();
  private readonly relapsed = new Map<string, ISuspicion>();
  private readonly targetReturn: TargetReturn;
  private readonly detector: FailureDetector;
  private readonly abort = new AbortController();

  constructor(private readonly environment: IEjectionEnvironment) {
    // Every suspected target adds a listener to this signal, so the limit on listeners is lifted.
    setMaxListeners(0, this.abort.signal);
    this.detector = environment.detector;
    const { relapsed } = this;
    this.targetReturn = new TargetReturn({ environment, relapsed, signal: this.abort.signal });
  }

  /** Starts a task for the suspicion, or records a relapse if the target already has a task. */
  handleSuspicion(handle: TargetHandle, suspicion: ISuspicion): void {
    if (this.tasks.has(handle.address)) {
      this.relapsed.set(handle.address, suspicion);
      return;
    }
    this.startTask(handle, () => this.runSuspicion(handle, suspicion));
  }

  /** Handles a report of the target that it is draining. */
  handleDraining(handle: TargetHandle): void {
    if (handle.standing === HealthStatus.Draining) return;
    this.targetReturn.setHealthStatus(handle, HealthStatus.Draining, 'says that it is draining');
    this.startTask(handle, () => this.waitWhileDraining(handle));
  }

  /** Warms up a newly configured target, which is assumed to be cold. */
  handleNew(handle: TargetHandle): void {
    this.startTask(handle, () => this.runWarmUp(handle));
  }

  /** Takes over targets that were ejected by another home or by an earlier incarnation of this one. */
  takeOverEjected(): void {
    for (const address of this.targetReturn.listEjected()) {
      const handle = this.environment.pool.handles.get(address);
      if (handle === undefined || this.tasks.has(address)) continue;
      this.targetReturn.setHealthStatus(handle, HealthStatus.Ejected, 'ejected in the ledger');
      const suspicion = { ...LEDGER_SUSPICION, target: address };
      this.startTask(handle, () => this.waitAndReturn(handle, suspicion));
    }
  }

  dispose(): void {
    this.abort.abort(new Error('home was closed'));
  }

  private startTask(handle: TargetHandle, run: () => Promise<void>): void {
    const { address } = handle;
    if (this.tasks.has(address)) return;
    const task = run()
      .catch((error: unknown) => {
        // Without a task the status would never change again; serving is the safe fallback.
        if (this.abort.signal.aborted) return;
        this.targetReturn.setHealthStatus(
          handle,
          HealthStatus.Serving,
          `task failed: ${String(error)}`,
        );
      })
      .finally(() => {
        this.tasks.delete(address);
        this.relapsed.delete(address);
        this.environment.pool.serveWaiting();
        // The target reported that it is draining while another task was running.
        const isActive = this.targetReturn.isConfigured(handle) && !this.abort.signal.aborted;
        if (handle.standing === HealthStatus.Draining && isActive) {
          this.startTask(handle, () => this.waitWhileDraining(handle));
        }
      });
    this.tasks.set(address, task);
  }

  private async runSuspicion(handle: TargetHandle, suspicion: ISuspicion): Promise<void> {
    const { traits } = this.detector;
    this.targetReturn.setHealthStatus(handle, HealthStatus.Suspect, suspicion.reason);
    if (traits.confirmMs > 0) await this.confirm(handle);
    if (!this.detector.isConfirmed(suspicion)) {
      // The evidence is kept, so that a target that does fail is suspected again sooner.
      this.targetReturn.setHealthStatus(handle, HealthStatus.Serving, '');
      return;
    }
    if (
      traits.usesObserver &&
      suspicion.isPathFaultPossible &&
      (await this.hasPathFault(handle, suspicion))
    ) {
      this.targetReturn.setHealthStatus(
        handle,
        HealthStatus.Suspect,
        `path fault: ${suspicion.reason}`,
      );
      return this.waitForPath(handle, suspicion);
    }
    return this.eject(handle, suspicion);
  }

  /** Waits for further outcomes of peers, and sends copies to the suspect. */
  private async confirm(handle: TargetHandle): Promise<void> {
    const { confirmMs, confirmCopies } = this.detector.traits;
    const signal = this.abort.signal;
    const copies = Array.from({ length: confirmCopies }, () => {
      return sendEvidenceCopy({ ...this.environment, handle, signal });
    });
    await Promise.all([this.targetReturn.sleep(confirmMs), ...copies]);
  }

  private async eject(handle: TargetHandle, suspicion: ISuspicion): Promise<void> {
    for (;;) {
      const decision = await this.requestEjection(handle);
      if (decision === EjectionDecision.Granted) break;
      this.targetReturn.setHealthStatus(
        handle,
        HealthStatus.Suspect,
        `${decision}: ${suspicion.reason}`,
      );
      this.detector.reset(handle.address);
      await this.targetReturn.sleep(RETRY_LEDGER_MS);
      if (!this.targetReturn.isConfigured(handle)) return;
      if (await this.targetReturn.hasRecovered(handle, suspicion.failureShare)) {
        this.targetReturn.serve(handle);
        return;
      }
    }
    this.targetReturn.setHealthStatus(handle, HealthStatus.Ejected, suspicion.reason);
    return this.waitAndReturn(handle, suspicion);
  }

  /** Waits, tries and warms up the target; a relapse starts over with a doubled ejection time. */
  private async waitAndReturn(handle: TargetHandle, suspicion: ISuspicion): Promise<void> {
    for (;;) {
      this.detector.reset(handle.address);
      this.relapsed.delete(handle.address);
      await this.targetReturn.waitForEjectionEnd(handle);
      if (!this.targetReturn.isConfigured(handle)) return;
      const isWell = await this.targetReturn.hasRecovered(handle, suspicion.failureShare);
      if (isWell) await this.targetReturn.runWarmUp(handle);
      if (isWell && !this.relapsed.has(handle.address)) break;
      const reason = isWell ? 'relapsed after its return' : 'failed its trial';
      if (!this.targetReturn.listEjected().has(handle.address)) {
        // Another node ended the ejection, so the ledger counts the slots as healthy. Excluding the
        // target without a new grant would violate the floor unnoticed.
        this.targetReturn.setHealthStatus(handle, HealthStatus.Suspect, reason);
        return this.eject(handle, { ...suspicion, reason });
      }
      this.targetReturn.setHealthStatus(handle, HealthStatus.Ejected, reason);
    }
    await this.targetReturn.returnInLedger(handle);
  }

  private async runWarmUp(handle: TargetHandle): Promise<void> {
    await this.targetReturn.runWarmUp(handle);
    const suspicion = this.relapsed.get(handle.address);
    this.relapsed.delete(handle.address);
    if (suspicion !== undefined) await this.runSuspicion(handle, suspicion);
  }

  private async waitForPath(handle: TargetHandle, suspicion: ISuspicion): Promise<void> {
    let silentTrials = 0;
    for (;;) {
      const { hasPassed: isWell, succeededCopies: goodCopies } =
        await this.targetReturn.runTargetTrial(handle, suspicion.failureShare);
      if (isWell) break;
      // One silent trial may be due to a burst of packet losses; until a second one fails as well,
      // the target remains usable as the last choice.
      silentTrials = goodCopies === 0 ? silentTrials + 1 : 0;
      if (silentTrials >= MAX_SILENT_TRIALS && !handle.isLocallyUnreachable) {
        handle.isLocallyUnreachable = true;
        this.targetReturn.setHealthStatus(
          handle,
          HealthStatus.Suspect,
          `cut off: ${suspicion.reason}`,
        );
      }
      await this.targetReturn.sleep(handle.isLocallyUnreachable ? RETRY_PATH_MS : SECOND_TRIAL_MS);
      if (!this.targetReturn.isConfigured(handle)) return;
    }
    this.targetReturn.serve(handle);
  }

  private async waitWhileDraining(handle: TargetHandle): Promise<void> {
    const { sampler, sender } = this.environment;
    for (;;) {
      await this.targetReturn.sleep(DRAINING_PROBE_MS);
      if (!this.targetReturn.isConfigured(handle)) return;
      const sample = sampler.getHealthSample();
      const signal = this.abort.signal;
      const copy = { handle, sample, timeoutMs: PROBE_TIMEOUT_MS, signal };
      const result = await sender.send(copy);
      if (result?.succeeded === true && !result.draining) break;
    }
    await this.runWarmUp(handle);
  }

  private requestEjection(handle: TargetHandle): Promise<EjectionDecision> {
    const others = [...this.environment.pool.handles.values()];
    const unhealthy = others.filter((other) => {
      const isWarmingOrDraining =
        other.standing === HealthStatus.Cold || other.standing === HealthStatus.Draining;
      return (
        other !== handle &&
        (isWarmingOrDraining || other.standing === HealthStatus.Trial || other.isLocallyUnreachable)
      );
    });
    const addresses = unhealthy.map((other) => other.address);
    return this.environment.requestEjection(handle, addresses, this.abort.signal);
  }

  private hasPathFault(handle: TargetHandle, suspicion: ISuspicion): Promise<boolean> {
    return isPathFault(this.environment, handle, suspicion, this.abort.signal);
  }
}
