/** Metrics of one node, collected with `prom-client`. */
import type { InvariantRegistry, Logger, MuxError, ResultCode } from '@parsleymux/base';
import { Emitter, getResultInfo, InvariantName } from '@parsleymux/base';
import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from 'prom-client';
import type { NodeState } from '../../app/common/nodeState.js';

const MS_PER_SECOND = 1000;
const LATENCY_BUCKETS_S = [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30];

/** One finished request of a caller. */
export interface IRequestRecord {
  readonly member: string;
  readonly service: string;
  readonly code: ResultCode;
  readonly durationMs: number;
}

/** Options of {@link NodeMetrics}. */
export interface INodeMetricsOptions {
  readonly invariants: InvariantRegistry;
  readonly state: NodeState;
  readonly log: Logger;
}

/**
 * The node's registry and the metrics that its components record. The status port serves them to the
 * fleet's operators; members get only their own figures, through the administration API.
 *
 * @example
 * metrics.recordRequest({ member, service, code: ResultCode.Ok, durationMs: 12 });
 */
export class NodeMetrics {
  readonly registry = new Registry();
  private readonly didRecordRequest = new Emitter<IRequestRecord>();
  /** Fires for each finished request. */
  readonly onDidRecordRequest = this.didRecordRequest.onDidFire;
  private readonly log: Logger;
  private readonly requests: Counter;
  private readonly latency: Histogram;
  private readonly hopTries: Counter;
  private readonly internalErrors: Counter;

  constructor(options: INodeMetricsOptions) {
    this.log = options.log;
    const registers = [this.registry];
    collectDefaultMetrics({ register: this.registry });
    this.requests = new Counter({
      name: 'parsleymux_requests_total',
      help: 'Finished requests of callers by member, service and result code.',
      labelNames: ['member', 'service', 'code', 'name'],
      registers,
    });
    this.latency = new Histogram({
      name: 'parsleymux_request_duration_seconds',
      help: 'Time from the arrival of a request to the end of its response.',
      labelNames: ['member', 'service'],
      buckets: LATENCY_BUCKETS_S,
      registers,
    });
    this.hopTries = new Counter({
      name: 'parsleymux_hop_tries_total',
      help: 'Exchanges between this entry and homes by outcome.',
      labelNames: ['outcome'],
      registers,
    });
    this.internalErrors = new Counter({
      name: 'parsleymux_internal_errors_total',
      help: 'Unexpected errors within the node. Must stay at 0.',
      registers,
    });
    this.registerState(options.state);
    this.registerInvariants(options.invariants);
  }

  recordRequest(record: IRequestRecord): void {
    const { member, service, code } = record;
    this.requests.inc({ member, service, code: String(code), name: getResultInfo(code).name });
    this.latency.observe({ member, service }, record.durationMs / MS_PER_SECOND);
    this.didRecordRequest.fire(record);
  }

  recordHopTry(outcome: string): void {
    this.hopTries.inc({ outcome });
  }

  /**
   * Records and logs an error without a result code, which a caller received as "internal error". All
   * other log lines report a state.
   */
  recordInternalError(error: MuxError): void {
    this.internalErrors.inc();
    const cause = error.cause()?.stack ?? error.message;
    this.log.error('internal error', { cause });
  }

  private registerState(state: NodeState): void {
    const gauge = new Gauge({
      name: 'parsleymux_requests_in_flight',
      help: 'Requests in progress on this node, as entry or home.',
      registers: [this.registry],
      collect: () => {
        gauge.set(state.getInFlight());
      },
    });
  }

  private registerInvariants(invariants: InvariantRegistry): void {
    const violations = new Gauge({
      name: 'parsleymux_invariant_violations_total',
      help: 'Violations of an invariant. Must stay at 0.',
      labelNames: ['name'],
      registers: [this.registry],
      collect: () => {
        for (const name of Object.values(InvariantName)) {
          violations.set({ name }, invariants.getViolationCount(name));
        }
      },
    });
    const checks = new Gauge({
      name: 'parsleymux_invariant_checks_total',
      help: 'Checks of an invariant.',
      labelNames: ['name'],
      registers: [this.registry],
      collect: () => {
        for (const name of Object.values(InvariantName)) {
          checks.set({ name }, invariants.getCheckCount(name));
        }
      },
    });
  }
}
