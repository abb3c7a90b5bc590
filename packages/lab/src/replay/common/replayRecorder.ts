/** Collects measurements while a trace is replayed. */
import { MuxError } from '@parsleymux/base';
import type { IResponse, IHealthStatusChange } from '@parsleymux/routing';
import { HealthStatus } from '@parsleymux/routing';
import * as hdr from 'hdr-histogram-js';
import type { ITrace, ITraceFault, ITraceRequest } from '../../trace/common/trace.js';
import { FLOODER } from '../../trace/common/traceGenerator.js';
import type { IDetectionResult } from './replayResult.js';

const FIRST_SERVER_ERROR = 500;
/** Requests pending at the end of a fault can cause an ejection for this long after it, in ms. */
const FAULT_GRACE_MS = 2000;
const REMOVING_STATUSES: ReadonlySet<HealthStatus> = new Set([
  HealthStatus.Suspect,
  HealthStatus.Ejected,
]);
const PROLONGING_REASONS: ReadonlySet<string> = new Set(['failed its trial']);
/**
 * A target without a dispatch for this long counts as out of use, in ms. Longer than any deadline,
 * since a target whose slots are all held by stuck requests receives no new ones either.
 */
const NO_TRAFFIC_MS = 9000;
const MS_PER_HOUR = 3_600_000;
/** Histograms record integers, so latencies are recorded in microseconds. */
const MICROSECONDS_PER_MS = 1000;

/** Records responses, dispatches and changes of health status, and summarizes them. */
export class ReplayRecorder {
  requests = 0;
  errors = 0;
  faultRequests = 0;
  faultErrors = 0;
  othersRequests = 0;
  othersErrors = 0;
  successfulWorkMs = 0;
  readonly refusals: Record<string, number> = {};
  private readonly othersLatencies = hdr.build({ highestTrackableValue: 120_000_000 });
  private readonly latencies = hdr.build({ highestTrackableValue: 120_000_000 });
  private readonly dispatches = new Map<string, number[]>();
  private readonly changes: IHealthStatusChange[] = [];

  constructor(private readonly trace: ITrace) {}

  recordResponse(request: ITraceRequest, response: IResponse, latencyMs: number): void {
    const isError = response.status >= FIRST_SERVER_ERROR;
    this.count(request, isError);
    if (isError) this.countRefusal(String(response.code));
    else this.latencies.recordValue(Math.round(latencyMs * MICROSECONDS_PER_MS));
    if (isError || !this.isDuringFault(request.atMs)) return;
    this.successfulWorkMs += request.workMs;
    if (request.caller === FLOODER) return;
    this.othersLatencies.recordValue(Math.round(latencyMs * MICROSECONDS_PER_MS));
  }

  recordError(request: ITraceRequest, error: unknown): void {
    // A caller that disconnects gets no response, which isn't an error of the fleet.
    if (request.hangUpMs !== undefined) return;
    this.count(request, true);
    this.countRefusal(error instanceof MuxError ? String(error.code) : String(error));
  }

  recordDispatch(target: string, atMs: number): void {
    const times = this.dispatches.get(target);
    if (times === undefined) this.dispatches.set(target, [atMs]);
    else times.push(atMs);
  }

  recordChange(change: IHealthStatusChange): void {
    this.changes.push(change);
  }

  /** The `percentile` of the latencies of successful requests, in ms. */
  getLatency(percentile: number): number {
    return this.latencies.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  }

  /**
   * The `percentile` of the latencies of callers other than the flooding one, for successful requests
   * that arrived during the fault or surge, in ms.
   */
  getOthersLatency(percentile: number): number {
    return this.othersLatencies.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  }

  summarizeDetection(): IDetectionResult {
    const { header } = this.trace;
    return {
      detectionMs: this.listDetections(),
      falseEjections: this.countFalseEjections(),
      demotions: this.countDemotions(),
      targetHours: (header.service.targets.length * header.durationMs) / MS_PER_HOUR,
      slotsOverFloor: this.computeMinSlots() - header.service.floorSlots,
    };
  }

  private listDetections(): readonly (number | undefined)[] {
    const firstFaults = new Map<string, ITraceFault>();
    for (const fault of this.trace.faults) {
      if (fault.verdict === 'eject' && !firstFaults.has(fault.target))
        firstFaults.set(fault.target, fault);
    }
    return [...firstFaults.values()].map((fault) => this.measureDetection(fault));
  }

  /**
   * Time from the start of the fault until the target is out of use by decision, in ms: the later
   * of the first decision against it and the last dispatch before a long gap. The last dispatch
   * alone would credit a home that does nothing, since stuck requests that hold all slots also stop
   * new dispatches.
   */
  private measureDetection(fault: ITraceFault): number | undefined {
    const endMs = this.findLastFaultEnd(fault.target);
    const decision = this.changes.find((change) => {
      const isAgainst = change.target === fault.target && REMOVING_STATUSES.has(change.standing);
      return isAgainst && change.atMs >= fault.atMs && change.atMs < endMs;
    });
    if (decision === undefined) return undefined;
    const times = this.dispatches.get(fault.target) ?? [];
    let lastMs = decision.atMs;
    for (const atMs of times.filter((time) => time >= decision.atMs && time < endMs)) {
      if (atMs - lastMs >= NO_TRAFFIC_MS) return lastMs - fault.atMs;
      lastMs = atMs;
    }
    return endMs - lastMs >= NO_TRAFFIC_MS ? lastMs - fault.atMs : undefined;
  }

  private findLastFaultEnd(target: string): number {
    const faults = this.trace.faults.filter((fault) => fault.target === target);
    return Math.max(...faults.map((fault) => fault.untilMs));
  }

  private countFalseEjections(): number {
    return this.changes.filter((change) => isRemoval(change) && this.isUnjustified(change)).length;
  }

  private countDemotions(): number {
    let count = 0;
    const demoted = new Set<string>();
    for (const change of this.changes) {
      const isDemotion = change.standing === HealthStatus.Suspect;
      if (isDemotion && !demoted.has(change.target) && this.isUnjustified(change)) count += 1;
      if (isDemotion) demoted.add(change.target);
      else demoted.delete(change.target);
    }
    return count;
  }

  private isUnjustified(change: IHealthStatusChange): boolean {
    const justification = this.trace.faults.find((fault) => {
      const isDuring = change.atMs >= fault.atMs && change.atMs < fault.untilMs + FAULT_GRACE_MS;
      return fault.target === change.target && fault.verdict !== 'keep' && isDuring;
    });
    // A failed trial prolongs an ejection that has already been counted.
    return justification === undefined && !PROLONGING_REASONS.has(change.reason);
  }

  /** Lowest number of slots that the home left in use; faults of the trace don't count. */
  private computeMinSlots(): number {
    const { slotsPerTarget, targets } = this.trace.header.service;
    const out = new Set<string>();
    let minTargets = targets.length;
    for (const change of this.changes) {
      const isOut =
        change.standing === HealthStatus.Ejected || change.standing === HealthStatus.Trial;
      if (isOut) out.add(change.target);
      else out.delete(change.target);
      minTargets = Math.min(minTargets, targets.length - out.size);
    }
    return minTargets * slotsPerTarget;
  }

  private count(request: ITraceRequest, isError: boolean): void {
    this.requests += 1;
    if (isError) this.errors += 1;
    if (!this.isDuringFault(request.atMs)) return;
    this.faultRequests += 1;
    if (isError) this.faultErrors += 1;
    if (request.caller === FLOODER) return;
    this.othersRequests += 1;
    if (isError) this.othersErrors += 1;
  }

  private countRefusal(code: string): void {
    this.refusals[code] = (this.refusals[code] ?? 0) + 1;
  }

  private isDuringFault(atMs: number): boolean {
    const { window } = this.trace.header;
    return window !== undefined && atMs >= window.fromMs && atMs < window.untilMs;
  }
}

/** Whether the change takes the target out of use: ejected, or unreachable from this home. */
function isRemoval(change: IHealthStatusChange): boolean {
  if (change.standing === HealthStatus.Ejected) return true;
  return change.standing === HealthStatus.Suspect && change.reason.startsWith('cut off');
}
