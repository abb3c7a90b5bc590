/**
 * Turns suspicions into ejections and returns. One task a troubled target, written straight down:
 * demote, ask for a second opinion, ask the ledger, wait, try, ramp up.
 */
import { setMaxListeners } from 'node:events';
import type { IDisposable } from '@parsleymux/base';
import type { FailureDetector, ISuspicion } from '../../detection/common/failureDetector.js';
import { EjectionDecision } from '../../ledger/common/ejectionLedger.js';
import { Standing } from '../../target/common/targetHandle.js';
import type { TargetHandle } from '../../target/common/targetHandle.js';
import { EjectionBackoff } from './ejectionBackoff.js';
import type { IEjectionSurroundings } from './ejectionSurroundings.js';
import { sendEvidenceCopy } from './evidenceCopy.js';
import { isPathFault } from './secondOpinion.js';
import { runTrial } from './trial.js';

const RETRY_LEDGER_MS = 5000;
const RETRY_PATH_MS = 2000;
const RAMP_STEPS: readonly number[] = [0.25, 0.5, 1];
const RAMP_STEP_MS = 2000;
/** Time after a start in which slowness is not held against a target. */
const COLD_MS = 10_000;
const WAIT_SLICE_MS = 1000;
const RELAPSE_SLICE_MS = 100;
const DRAINING_PROBE_MS = 5000;
const PROBE_TIMEOUT_MS = 1000;
const PATH_CUT_SHARE = 0.4;

/** Watches over the standing of one service's targets. */
export class EjectionController implements IDisposable {
  private readonly tasks = new Map<string, Promise<void>>();
  private readonly relapsed = new Map<string, ISuspicion>();
  private readonly backoffs = new Map<string, EjectionBackoff>();
  private readonly detector: FailureDetector;
  private readonly abort = new AbortController();

  constructor(private readonly surroundings: IEjectionSurroundings) {
    // Every troubled target waits on this signal; the warning about many listeners is not for us.
    setMaxListeners(0, this.abort.signal);
    this.detector = surroundings.detector;
  }

  /** Acts on a suspicion. */
  handleSuspicion(handle: TargetHandle, suspicion: ISuspicion): void {
    if (this.tasks.has(handle.address)) {
      this.relapsed.set(handle.address, suspicion);
      return;
    }
    this.startTask(handle, () => this.runSuspicion(handle, suspicion));
  }

  /** The target said that it is draining. */
  handleDraining(handle: TargetHandle): void {
    if (handle.standing === Standing.Draining) return;
    this.setStanding(handle, Standing.Draining, 'says that it is draining');
    this.startTask(handle, () => this.waitWhileDraining(handle));
  }

  /** A target that has just been configured is taken for cold. */
  handleNew(handle: TargetHandle): void {
    this.startTask(handle, () => this.runWarmUp(handle));
  }

  /** Takes over targets that some other home has ejected, or this one in an earlier life. */
  takeOverEjected(): void {
    for (const address of this.listInLedger()) {
      const handle = this.surroundings.pool.handles.get(address);
      if (handle === undefined || this.tasks.has(address)) continue;
      this.setStanding(handle, Standing.Ejected, 'ejected in the ledger');
      this.startTask(handle, () => this.waitAndReturn(handle, 1));
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
        // Without a task the target would keep its standing for ever; serving is the safe end.
        if (this.abort.signal.aborted) return;
        this.setStanding(handle, Standing.Serving, `task failed: ${String(error)}`);
      })
      .finally(() => {
        this.tasks.delete(address);
        this.relapsed.delete(address);
        this.surroundings.pool.serveWaiting();
      });
    this.tasks.set(address, task);
  }

  private async runSuspicion(handle: TargetHandle, suspicion: ISuspicion): Promise<void> {
    const { traits } = this.detector;
    this.setStanding(handle, Standing.Suspect, suspicion.reason);
    if (traits.confirmMs > 0) await this.confirm(handle);
    if (!this.detector.isConfirmed(suspicion)) {
      // The evidence is kept: should it grow again, less of it is needed.
      this.setStanding(handle, Standing.Serving, '');
      return;
    }
    if (
      traits.asksObserver &&
      suspicion.isPathPossible &&
      (await this.checkPath(handle, suspicion))
    ) {
      this.setStanding(handle, Standing.Suspect, `path fault: ${suspicion.reason}`);
      return this.waitForPath(handle, suspicion);
    }
    return this.eject(handle, suspicion);
  }

  /** Lets peers show what they do, and the suspect what it does with copies. */
  private async confirm(handle: TargetHandle): Promise<void> {
    const { confirmMs, confirmCopies } = this.detector.traits;
    const signal = this.abort.signal;
    const copies = Array.from({ length: confirmCopies }, () => {
      return sendEvidenceCopy({ ...this.surroundings, handle, signal });
    });
    await Promise.all([this.sleep(confirmMs), ...copies]);
  }

  private async eject(handle: TargetHandle, suspicion: ISuspicion): Promise<void> {
    for (;;) {
      const decision = await this.requestEjection(handle);
      if (decision === EjectionDecision.Granted) break;
      this.setStanding(handle, Standing.Suspect, `${decision}: ${suspicion.reason}`);
      this.detector.reset(handle.address);
      await this.sleep(RETRY_LEDGER_MS);
      if (!this.isConfigured(handle)) return;
      if (await this.isWellAgain(handle, suspicion.failureShare)) {
        this.serve(handle);
        return;
      }
    }
    this.setStanding(handle, Standing.Ejected, suspicion.reason);
    return this.waitAndReturn(handle, suspicion.failureShare);
  }

  /** Waits, tries, ramps up; a relapse on the way starts over with twice the time. */
  private async waitAndReturn(handle: TargetHandle, failureShare: number): Promise<void> {
    for (;;) {
      this.detector.reset(handle.address);
      this.relapsed.delete(handle.address);
      await this.waitOutEjection(handle);
      if (!this.isConfigured(handle)) return;
      if (!(await this.isWellAgain(handle, failureShare))) {
        this.setStanding(handle, Standing.Ejected, 'failed its trial');
        continue;
      }
      await this.runRamp(handle);
      if (!this.relapsed.has(handle.address)) break;
      this.setStanding(handle, Standing.Ejected, 'relapsed after its return');
    }
    await this.returnToLedger(handle);
  }

  private async waitOutEjection(handle: TargetHandle): Promise<void> {
    const endMs = this.getNow() + this.getBackoff(handle).takeNext(this.getNow());
    while (this.getNow() < endMs) {
      await this.sleep(Math.min(WAIT_SLICE_MS, endMs - this.getNow()));
      // Someone else gave the target back: its slots count as there, so they should be.
      if (!this.listInLedger().has(handle.address)) return;
    }
  }

  private async isWellAgain(handle: TargetHandle, failureShare: number): Promise<boolean> {
    if (!this.detector.traits.returnsByTrial) return true;
    const { clock, sender, samples } = this.surroundings;
    const before = handle.standing;
    if (before === Standing.Ejected) this.setStanding(handle, Standing.Trial, handle.evidence);
    const isWell = await runTrial({
      clock,
      sender,
      samples,
      detector: this.detector,
      handle,
      failureShare,
      signal: this.abort.signal,
    });
    this.surroundings.countTrial(isWell);
    return isWell;
  }

  private async runWarmUp(handle: TargetHandle): Promise<void> {
    await this.runRamp(handle);
    const suspicion = this.relapsed.get(handle.address);
    this.relapsed.delete(handle.address);
    if (suspicion !== undefined) await this.runSuspicion(handle, suspicion);
  }

  private async runRamp(handle: TargetHandle): Promise<void> {
    if (!this.detector.traits.returnsByTrial) {
      this.serve(handle);
      return;
    }
    this.detector.setCold(handle.address, true);
    this.setStanding(handle, Standing.Cold, 'has just started or returned');
    const endMs = this.getNow() + COLD_MS;
    for (const ramp of RAMP_STEPS) {
      handle.ramp = ramp;
      this.surroundings.pool.serveWaiting();
      const stepEndMs = this.getNow() + RAMP_STEP_MS;
      await this.sleepUnlessRelapsed(handle, stepEndMs);
    }
    await this.sleepUnlessRelapsed(handle, endMs);
    handle.ramp = 1;
    this.detector.setCold(handle.address, false);
    if (!this.relapsed.has(handle.address)) this.serve(handle);
  }

  private serve(handle: TargetHandle): void {
    handle.isCutOff = false;
    // What came in while the target was left out must not count against it from here on.
    this.detector.reset(handle.address);
    this.getBackoff(handle).recordReturn(this.getNow());
    this.setStanding(handle, Standing.Serving, '');
  }

  private async waitForPath(handle: TargetHandle, suspicion: ISuspicion): Promise<void> {
    for (
      let failures = 1;
      !(await this.isWellAgain(handle, suspicion.failureShare));
      failures += 1
    ) {
      // One failed trial may be the tail of a burst of losses; until the second it is last choice.
      const isCut = failures > 1 && suspicion.failureShare > PATH_CUT_SHARE;
      if (isCut && !handle.isCutOff) {
        handle.isCutOff = true;
        this.setStanding(handle, Standing.Suspect, `cut off: ${suspicion.reason}`);
      }
      await this.sleep(RETRY_PATH_MS);
      if (!this.isConfigured(handle)) return;
    }
    this.serve(handle);
  }

  private async waitWhileDraining(handle: TargetHandle): Promise<void> {
    const { samples, sender } = this.surroundings;
    for (;;) {
      await this.sleep(DRAINING_PROBE_MS);
      if (!this.isConfigured(handle)) return;
      const sample = samples.getHealth();
      const signal = this.abort.signal;
      const copy = { handle, sample, timeoutMs: PROBE_TIMEOUT_MS, signal };
      const result = await sender.send(copy);
      if (result?.succeeded === true && !result.draining) break;
    }
    await this.runWarmUp(handle);
  }

  /** Serving an ejected target never breaks the floor, so a ledger that is out delays nothing. */
  private async returnToLedger(handle: TargetHandle): Promise<void> {
    while (this.isConfigured(handle)) {
      try {
        await this.surroundings.returnTarget(handle, this.abort.signal);
        return;
      } catch {
        await this.sleep(RETRY_LEDGER_MS);
      }
    }
  }

  private requestEjection(handle: TargetHandle): Promise<EjectionDecision> {
    const others = [...this.surroundings.pool.handles.values()];
    const unhealthy = others.filter((other) => {
      const isOut = other.standing === Standing.Cold || other.standing === Standing.Draining;
      return other !== handle && (isOut || other.standing === Standing.Trial || other.isCutOff);
    });
    const addresses = unhealthy.map((other) => other.address);
    return this.surroundings.requestEjection(handle, addresses, this.abort.signal);
  }

  private checkPath(handle: TargetHandle, suspicion: ISuspicion): Promise<boolean> {
    return isPathFault(this.surroundings, handle, suspicion, this.abort.signal);
  }

  private listInLedger(): ReadonlySet<string> {
    return this.surroundings.listEjected();
  }

  private isConfigured(handle: TargetHandle): boolean {
    return this.surroundings.pool.handles.get(handle.address) === handle;
  }

  private getBackoff(handle: TargetHandle): EjectionBackoff {
    let backoff = this.backoffs.get(handle.address);
    if (backoff === undefined) {
      backoff = new EjectionBackoff(this.detector.traits.ejectionMs);
      this.backoffs.set(handle.address, backoff);
    }
    return backoff;
  }

  private setStanding(handle: TargetHandle, standing: Standing, reason: string): void {
    handle.setStanding(standing, reason, this.getNow());
    this.surroundings.notifyStanding(handle);
  }

  private getNow(): number {
    return this.surroundings.clock.getMonotonicTime();
  }

  private async sleepUnlessRelapsed(handle: TargetHandle, endMs: number): Promise<void> {
    while (this.getNow() < endMs && !this.relapsed.has(handle.address)) {
      await this.sleep(Math.min(RELAPSE_SLICE_MS, endMs - this.getNow()));
    }
  }

  private sleep(durationMs: number): Promise<void> {
    return this.surroundings.clock.sleep(durationMs, this.abort.signal);
  }
}
