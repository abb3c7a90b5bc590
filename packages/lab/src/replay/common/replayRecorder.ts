/** Collects figures while a trace is replayed. */
import { MuxError } from '@parsleymux/base';
import type { IResponse, IStandingChange } from '@parsleymux/routing';
import { HealthStatus } from '@parsleymux/routing';
import * as hdr from 'hdr-histogram-js';
import type { ITrace, ITraceFault, ITraceRequest } from '../../trace/common/trace.js';
import { FLOODER } from '../../trace/common/traceGenerator.js';
import type { IDetectionResult } from './replayResult.js';

const FIRST_SERVER_ERROR = 500;
/** What was under way when a fault ended can still lead to an ejection, for so long. */
const FAULT_GRACE_MS = 2000;
const REMOVING_STATUSES: ReadonlySet<HealthStatus> = new Set([
  HealthStatus.Suspect,
  HealthStatus.Ejected,
]);
const PROLONGING_REASONS: ReadonlySet<string> = new Set(['failed its trial']);
/**
 * Without a dispatch for this long a target counts as given no work, in ms: longer than any
 * deadline, since a target whose slots are all held by stuck requests gets nothing new either.
 */
const NO_TRAFFIC_MS = 9000;
const MS_PER_HOUR = 3_600_000;
/** Histograms hold integers. */
const MICROSECONDS_PER_MS = 1000;

/** Figures in the making. */
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
  private readonly changes: IStandingChange[] = [];

  constructor(private readonly trace: ITrace) {}

  recordResponse(request: ITraceRequest, answer: IResponse, latencyMs: number): void {
    const isError = answer.status >= FIRST_SERVER_ERROR;
    this.count(request, isError);
    if (isError) this.countRefusal(String(answer.code));
    else this.latencies.recordValue(Math.round(latencyMs * MICROSECONDS_PER_MS));
    if (isError || !this.isDuringFault(request.atMs)) return;
    this.successfulWorkMs += request.workMs;
    if (request.caller === FLOODER) return;
    this.othersLatencies.recordValue(Math.round(latencyMs * MICROSECONDS_PER_MS));
  }

  recordError(request: ITraceRequest, error: unknown): void {
    // A caller that hangs up gets no answer, and is no error of ours.
    if (request.hangUpMs !== undefined) return;
    this.count(request, true);
    this.countRefusal(error instanceof MuxError ? String(error.code) : String(error));
  }

  recordDispatch(target: string, atMs: number): void {
    const times = this.dispatches.get(target);
    if (times === undefined) this.dispatches.set(target, [atMs]);
    else times.push(atMs);
  }

  recordChange(change: IStandingChange): void {
    this.changes.push(change);
  }

  /** The `percentile` of the latencies of successes, in ms. */
  getLatency(percentile: number): number {
    return this.latencies.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  }

  /** The same for callers other than the one that floods, during the surge. */
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
    const firsts = new Map<string, ITraceFault>();
    for (const fault of this.trace.faults) {
      if (fault.verdict === 'eject' && !firsts.has(fault.target)) firsts.set(fault.target, fault);
    }
    return [...firsts.values()].map((fault) => this.measureDetection(fault));
  }

  /**
   * Time from the fault's beginning until the target gets no more work by decision: the later of
   * the first decision against it and the last dispatch before a long silence. The last dispatch
   * alone flatters a home that does nothing: slots full of stuck requests let nothing new through.
   */
  private measureDetection(fault: ITraceFault): number | undefined {
    const endMs = this.findLastFaultEnd(fault.target);
    const decision = this.changes.find((change) => {
      const isOwn = change.target === fault.target && REMOVING_STATUSES.has(change.standing);
      return isOwn && change.atMs >= fault.atMs && change.atMs < endMs;
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

  private isUnjustified(change: IStandingChange): boolean {
    const excuse = this.trace.faults.find((fault) => {
      const isNear = change.atMs >= fault.atMs && change.atMs < fault.untilMs + FAULT_GRACE_MS;
      return fault.target === change.target && fault.verdict !== 'keep' && isNear;
    });
    // A failed trial prolongs an ejection that was counted when it began.
    return excuse === undefined && !PROLONGING_REASONS.has(change.reason);
  }

  /** Slots that the home itself leaves in use; what the trace takes away is not its doing. */
  private computeMinSlots(): number {
    const { slotsPerTarget, targets } = this.trace.header.service;
    const out = new Set<string>();
    let lowest = targets.length;
    for (const change of this.changes) {
      const isOut =
        change.standing === HealthStatus.Ejected || change.standing === HealthStatus.Trial;
      if (isOut) out.add(change.target);
      else out.delete(change.target);
      lowest = Math.min(lowest, targets.length - out.size);
    }
    return lowest * slotsPerTarget;
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

/** Out of use: ejected, or known to be beyond this home's reach. */
function isRemoval(change: IStandingChange): boolean {
  if (change.standing === HealthStatus.Ejected) return true;
  return change.standing === HealthStatus.Suspect && change.reason.startsWith('cut off');
}
