/** Runs a home with the HTTP transport on the system clock and records what its callers see. */
import type { RandomSource } from '@parsleymux/base';
import { InvariantRegistry, SeededRandom, SystemClock } from '@parsleymux/base';
import type { ISendOptions, ITargetResponse, ITargetRequest } from '@parsleymux/routing';
import {
  HttpTargetTransport,
  LocalHomeService,
  PassThroughGuard,
  HealthStatus,
  TableEjectionLedger,
} from '@parsleymux/routing';
import * as hdr from 'hdr-histogram-js';
import type { IServiceLayout, ILabTarget } from '../../../processes/common/worldLayout.js';
import type { PolicyName } from '../../../replay/common/policies.js';
import { createPolicyDetector } from '../../../replay/common/policies.js';
import { SimulatedTable } from '../../../replay/common/simulatedTable.js';
import { buildConfigService, buildRoutes } from '../../../replay/common/traceConfig.js';
import type { ITraceHeader } from '../../../trace/common/trace.js';

const READ_DEADLINE_MS = 2000;
const BOOKING_SHARE = 0.3;
const FIRST_SERVER_ERROR = 500;
const MICROSECONDS = 1000;
/** Longer than any deadline: a target without a dispatch for this long counts as out of use. */
const MIN_IDLE_MS = 6000;

/** Options of a {@link RealHome}. */
export interface IRealHomeOptions {
  readonly policy: PolicyName;
  readonly service: IServiceLayout;
  readonly targets: readonly ILabTarget[];
  readonly seed: number;
}

/** Results since the fault began. */
export interface IRealDetectionResults {
  readonly detectionMs: number | undefined;
  readonly errorShare: number;
  readonly p99Ms: number;
  readonly falseEjections: number;
}

/** Records the time and target of each dispatch for a caller. */
class RecordingTransport extends HttpTargetTransport {
  readonly dispatches: { readonly target: string; readonly atMs: number }[] = [];

  override send(request: ITargetRequest, options: ISendOptions): Promise<ITargetResponse> {
    if (options.onDispatch !== undefined) {
      this.dispatches.push({ target: request.target, atMs: performance.now() });
    }
    return super.send(request, options);
  }
}

/** Sends requests through a home and measures detection, errors and latency. */
export class RealHome {
  private readonly transport = new RecordingTransport();
  private readonly home: LocalHomeService;
  private readonly routes;
  private readonly running = new Set<Promise<void>>();
  private readonly ejected: string[] = [];
  private latencies = hdr.build({ highestTrackableValue: 120_000_000 });
  private requests = 0;
  private errors = 0;
  private fault: { readonly target: string; readonly atMs: number } | undefined;

  constructor(private readonly options: IRealHomeOptions) {
    const header = buildHeader(options);
    this.routes = buildRoutes(header);
    const clock = new SystemClock();
    const invariants = new InvariantRegistry();
    this.home = new LocalHomeService({
      configService: buildConfigService(header),
      clock,
      random: new SeededRandom(options.seed),
      transport: this.transport,
      guard: new PassThroughGuard(),
      ledger: new TableEjectionLedger({
        table: new SimulatedTable(clock),
        clock,
        invariants,
        node: 'node',
      }),
      invariants,
      createDetector: () => createPolicyDetector(options.policy, 'fast'),
      onHealthStatusChange: (change) => {
        if (change.standing === HealthStatus.Ejected) this.ejected.push(change.target);
      },
    });
  }

  /** Records the start of the fault of `target` and resets the measurements. */
  markFault(target: string): void {
    this.fault = { target, atMs: performance.now() };
    this.latencies = hdr.build({ highestTrackableValue: 120_000_000 });
    this.requests = 0;
    this.errors = 0;
  }

  /** Sends requests with Poisson arrivals for `durationMs`. */
  async sendFor(durationMs: number, meanMs: number, random: RandomSource): Promise<void> {
    const clock = new SystemClock();
    const endMs = performance.now() + durationMs;
    let dueMs = performance.now();
    while (dueMs < endMs) {
      dueMs += random.getExponential(meanMs);
      const waitMs = dueMs - performance.now();
      if (waitMs > 0) await clock.sleep(waitMs);
      const task = this.send(random.getFloat() < BOOKING_SHARE).finally(() => {
        this.running.delete(task);
      });
      this.running.add(task);
    }
  }

  async finish(): Promise<IRealDetectionResults> {
    const endMs = performance.now();
    await Promise.all(this.running);
    await this.home.dispose();
    this.transport.dispose();
    return {
      detectionMs: this.measureDetection(endMs),
      errorShare: this.errors / Math.max(1, this.requests),
      p99Ms: this.latencies.getValueAtPercentile(99) / MICROSECONDS,
      falseEjections: this.ejected.filter((target) => target !== this.fault?.target).length,
    };
  }

  private async send(isBooking: boolean): Promise<void> {
    const startMs = performance.now();
    this.requests += 1;
    try {
      const response = await this.home.handle(
        {
          member: this.options.service.member,
          route: isBooking ? this.routes.book : this.routes.read,
          method: isBooking ? 'POST' : 'GET',
          path: isBooking ? '/book' : '/read',
          headers: [],
          body: new Uint8Array(),
          deadlineMs: startMs + READ_DEADLINE_MS,
          caller: 'bench',
          idempotencyKey: undefined,
        },
        new AbortController().signal,
      );
      if (response.status >= FIRST_SERVER_ERROR) this.errors += 1;
      else this.latencies.recordValue(Math.round((performance.now() - startMs) * MICROSECONDS));
    } catch {
      this.errors += 1;
    }
  }

  /**
   * Time from the fault to the last dispatch for a caller before {@link MIN_IDLE_MS} without any;
   * undefined if the target was not detected.
   */
  private measureDetection(endMs: number): number | undefined {
    if (this.fault === undefined) return undefined;
    const { target, atMs: startMs } = this.fault;
    let lastMs = startMs;
    for (const dispatch of this.transport.dispatches) {
      if (dispatch.target !== target || dispatch.atMs < startMs) continue;
      if (dispatch.atMs - lastMs >= MIN_IDLE_MS) break;
      lastMs = dispatch.atMs;
    }
    const isIdle = endMs - lastMs >= MIN_IDLE_MS;
    return isIdle ? lastMs - startMs : undefined;
  }
}

function buildHeader(options: IRealHomeOptions): ITraceHeader {
  const { service, targets } = options;
  return {
    kind: 'header',
    name: 'real',
    member: service.member,
    seed: options.seed,
    durationMs: 0,
    service: {
      name: service.name,
      targets: targets.map(({ address, failureDomain }) => ({ address, failureDomain })),
      slotsPerTarget: service.slots,
      floorSlots: service.slots,
      detection: 'fast',
    },
    nearMs: 0,
    farMs: 0,
  };
}
