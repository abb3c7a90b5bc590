/** Converts outcomes of attempts into evidence, sends health probes and polls the ejection ledger. */
import { setMaxListeners } from 'node:events';
import type { IDisposable } from '@parsleymux/base';
import type { Service } from '@parsleymux/schema';
import type { AttemptOutcome } from '../../attempt/common/attemptOutcome.js';
import { isSuccessful } from '../../attempt/common/attemptOutcome.js';
import type { FailureDetector, IEvidence } from '../../detection/common/failureDetector.js';
import { Evidence } from '../../detection/common/failureDetector.js';
import { ConnectionCheck } from '../../ejection/common/connectionCheck.js';
import { CopySender } from '../../ejection/common/copySender.js';
import { EjectionController } from '../../ejection/common/ejectionController.js';
import { RequestSampler } from '../../ejection/common/requestSampler.js';
import type { IRoutedRequest } from '../../request/common/request.js';
import { HealthStatus } from '../../target/common/targetHandle.js';
import type { TargetHandle } from '../../target/common/targetHandle.js';
import { TransportFailure } from '../../transport/common/targetTransport.js';
import { buildEjectionEnvironment } from './buildEjectionEnvironment.js';
import type { IHomeContext } from './homeOptions.js';
import type { SlotPool } from './slotPool.js';

/** An attempt is overdue after this multiple of the 0.9 quantile of the peers' latencies. */
const STALL_FACTOR = 3;
/** A copy on a fresh connection must get its response within this multiple of the same quantile. */
const CHECK_FACTOR = 2;
const MIN_STALL_MS = 20;
/** Attempts to find a free slot for a check. A busy target soon has one; a stuck target never does. */
const CHECK_ATTEMPTS = 5;
const CHECK_RETRY_MS = 20;
const DEFAULT_CHECK_TIMEOUT_MS = 1000;
const LEDGER_INTERVAL_MS = 10_000;
const PROBE_TIMEOUT_MS = 1000;

/** Options of an {@link EvidenceRecorder}. */
export interface IEvidenceRecorderOptions {
  readonly context: IHomeContext;
  readonly member: string;
  readonly service: Service;
  readonly pool: SlotPool;
  getService(): Service;
}

/** Collects the evidence about the targets of one service. */
export class EvidenceRecorder implements IDisposable {
  readonly detector: FailureDetector;
  readonly controller: EjectionController;
  private readonly context: IHomeContext;
  private readonly sampler: RequestSampler;
  private readonly sender: CopySender;
  private readonly checks = new Map<string, ConnectionCheck>();
  private readonly abort = new AbortController();

  constructor(private readonly options: IEvidenceRecorderOptions) {
    const { context, member, pool } = options;
    this.context = context;
    setMaxListeners(0, this.abort.signal);
    this.detector = context.createDetector(options.service);
    this.detector.setTargets(options.service.targets.map((target) => target.address));
    this.sampler = new RequestSampler(context.healthPath);
    this.sender = new CopySender(context, member, pool);
    this.controller = new EjectionController(
      buildEjectionEnvironment(options, this.detector, this.sender, this.sampler),
    );
    void this.pollLedger().catch(() => undefined);
    const { probeIntervalMs } = this.detector.traits;
    if (probeIntervalMs !== undefined) void this.probeAll(probeIntervalMs).catch(() => undefined);
  }

  /** Applies a new configuration; `added` targets are assumed to be cold. */
  update(service: Service, added: readonly TargetHandle[]): void {
    this.detector.setTargets(service.targets.map((target) => target.address));
    for (const handle of added) this.controller.handleNew(handle);
  }

  /** Time after which an attempt is overdue, in ms; undefined until latencies are known. */
  getStallLimit(request: IRoutedRequest, handle: TargetHandle): number | undefined {
    const limitMs = this.detector.getSlowLimit(request.route.name, handle.address);
    return limitMs === undefined ? undefined : Math.max(MIN_STALL_MS, STALL_FACTOR * limitMs);
  }

  /** Records that a running attempt is overdue. True when that counts as evidence. */
  recordStall(request: IRoutedRequest, handle: TargetHandle, isFresh: boolean): boolean {
    if (!this.detector.traits.detectsStalls) return false;
    void this.ensureCheck(handle, request).handleSilence(isFresh).catch(discardError);
    return true;
  }

  /** Records the outcome of an attempt. A stall that was already recorded is not counted again. */
  recordOutcome(
    request: IRoutedRequest,
    handle: TargetHandle,
    outcome: AttemptOutcome,
    wasStalled: boolean,
  ): void {
    if (outcome.kind === 'answered') {
      if (outcome.response.draining) this.controller.handleDraining(handle);
      if (isSuccessful(outcome)) this.sampler.record(request);
    }
    if (wasStalled) return;
    if (this.isConnectionSuspect(outcome)) {
      void this.ensureCheck(handle, request).handleSilence(false).catch(discardError);
      return;
    }
    const evidence = this.toEvidence(request, handle, outcome);
    if (evidence !== undefined) this.recordEvidence(handle, evidence);
  }

  dispose(): void {
    this.abort.abort(new Error('home was closed'));
    this.controller.dispose();
  }

  private isConnectionSuspect(outcome: AttemptOutcome): boolean {
    if (!this.detector.traits.detectsStalls || outcome.kind !== 'failed') return false;
    const { failure, reusedConnection } = outcome.error;
    const isSilent = failure === TransportFailure.Timeout || failure === TransportFailure.Broken;
    return reusedConnection && isSilent;
  }

  private toEvidence(
    request: IRoutedRequest,
    handle: TargetHandle,
    outcome: AttemptOutcome,
  ): IEvidence | undefined {
    const common = {
      target: handle.address,
      route: request.route.name,
      atMs: this.context.clock.getMonotonicTime(),
    };
    if (outcome.kind === 'answered') {
      // Shedding lowers the concurrency limit of the target; it is no evidence of a fault.
      if (outcome.response.notRun) return undefined;
      if (!isSuccessful(outcome)) return { ...common, kind: Evidence.Failure };
      return { ...common, kind: Evidence.Success, latencyMs: outcome.response.latencyMs };
    }
    const { failure } = outcome.error;
    const isLocalFailure =
      failure === TransportFailure.Cancelled ||
      failure === TransportFailure.TooLarge ||
      failure === TransportFailure.NoConnection;
    return isLocalFailure ? undefined : { ...common, kind: Evidence.Silence };
  }

  private recordEvidence(handle: TargetHandle, evidence: IEvidence): void {
    // Attempts that were running at the ejection are no evidence about the return of the target.
    if (handle.standing === HealthStatus.Ejected || handle.standing === HealthStatus.Trial) return;
    const suspicion = this.detector.recordEvidence(evidence);
    if (suspicion !== undefined) this.controller.handleSuspicion(handle, suspicion);
  }

  private ensureCheck(handle: TargetHandle, request: IRoutedRequest): ConnectionCheck {
    const existing = this.checks.get(handle.address);
    if (existing !== undefined) return existing;
    const check = this.createCheck(handle, request.route.name);
    this.checks.set(handle.address, check);
    return check;
  }

  private createCheck(handle: TargetHandle, route: string): ConnectionCheck {
    const { context, member } = this.options;
    return new ConnectionCheck({
      clock: context.clock,
      tryFreshConnection: async () => {
        // Until the cause of the silence is known, further requests might get stuck as well.
        handle.isBeingProbed = true;
        const hasResponded = await this.tryFreshConnection(handle);
        handle.isBeingProbed = false;
        this.options.pool.serveWaiting();
        return hasResponded;
      },
      retireConnections: () => {
        context.metrics.silentConnections.inc(this.getLabels());
        context.transport.retireConnections(member, handle.address);
      },
      recordSilences: (silences) => {
        const atMs = context.clock.getMonotonicTime();
        for (let index = 0; index < silences; index += 1) {
          const target = handle.address;
          this.recordEvidence(handle, { target, route, kind: Evidence.Silence, atMs });
        }
      },
    });
  }

  private async tryFreshConnection(handle: TargetHandle): Promise<boolean | undefined> {
    const sample = this.sampler.get();
    const limitMs = this.detector.getSlowLimit(sample.route, handle.address);
    const timeoutMs = limitMs === undefined ? DEFAULT_CHECK_TIMEOUT_MS : limitMs * CHECK_FACTOR;
    const signal = this.abort.signal;
    for (let attempt = 0; attempt < CHECK_ATTEMPTS; attempt += 1) {
      const result = await this.sender.send({ handle, sample, timeoutMs, signal });
      if (result !== undefined) return result.hasResponded;
      await this.context.clock.sleep(CHECK_RETRY_MS, signal);
    }
    return undefined;
  }

  private async pollLedger(): Promise<void> {
    const { context, member } = this.options;
    for (;;) {
      const service = this.options.getService().name;
      try {
        await context.ledger.readEjected(member, service, this.abort.signal);
        this.controller.takeOverEjected();
      } catch {
        // The ledger is unavailable: the last read state stays in force until the next poll.
      }
      const delayMs = context.random.getJittered(LEDGER_INTERVAL_MS);
      await context.clock.sleep(delayMs, this.abort.signal);
    }
  }

  private async probeAll(intervalMs: number): Promise<void> {
    for (;;) {
      await this.context.clock.sleep(intervalMs, this.abort.signal);
      for (const handle of this.options.pool.handles.values()) void this.probe(handle);
    }
  }

  private async probe(handle: TargetHandle): Promise<void> {
    const signal = this.abort.signal;
    const sample = this.sampler.getHealthSample();
    const copy = { handle, sample, timeoutMs: PROBE_TIMEOUT_MS, signal };
    const result = await this.sender.send(copy);
    if (result === undefined || handle.standing !== HealthStatus.Serving) return;
    const suspicion = this.detector.recordProbe(handle.address, result.succeeded);
    if (suspicion !== undefined) this.controller.handleSuspicion(handle, suspicion);
  }

  private getLabels(): Readonly<Record<'member' | 'service', string>> {
    return { member: this.options.member, service: this.options.getService().name };
  }
}

/** Ignores rejections of tasks that were running when the home was closed. */
function discardError(): void {
  return;
}
