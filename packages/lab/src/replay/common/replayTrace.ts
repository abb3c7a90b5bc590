/** Replays a trace against the real home on simulated time. */
import { InvariantName, InvariantRegistry, ManualClock, SeededRandom } from '@parsleymux/base';
import type { FailureDetector, IRoutedRequest } from '@parsleymux/routing';
import {
  HomeMetrics,
  LocalHomeService,
  PassThroughGuard,
  TableEjectionLedger,
} from '@parsleymux/routing';
import type { Route } from '@parsleymux/schema';
import type { ITrace, ITraceRequest, RouteName } from '../../trace/common/trace.js';
import { ReplayRecorder } from './replayRecorder.js';
import type { IReplayResult } from './replayResult.js';
import { SimulatedObserver } from './simulatedObserver.js';
import { SimulatedTable } from './simulatedTable.js';
import { SimulatedTarget } from './simulatedTarget.js';
import { SimulatedTransport, WORK_HEADER } from './simulatedTransport.js';
import { buildConfigService, buildRoutes } from './traceConfig.js';

const HOME_DOMAIN = 'domain-0';
/** Time after the last request in which pending requests end, in ms. */
const TAIL_MS = 10_000;

/** Options of {@link replayTrace}. */
export interface IReplayOptions {
  readonly policy: string;
  readonly seed: number;
  readonly createDetector: () => FailureDetector;
}

/** Replays a trace and resolves with its measurements. */
export async function replayTrace(trace: ITrace, options: IReplayOptions): Promise<IReplayResult> {
  const replay = new Replay(trace, options);
  return replay.run();
}

class Replay {
  private readonly clock = new ManualClock();
  private readonly invariants = new InvariantRegistry();
  private readonly metrics = new HomeMetrics();
  private readonly recorder: ReplayRecorder;
  private readonly home: LocalHomeService;
  private readonly transport: SimulatedTransport;
  private readonly observerTransport: SimulatedTransport;
  private readonly routes: Readonly<Record<RouteName, Route>>;

  constructor(
    private readonly trace: ITrace,
    private readonly options: IReplayOptions,
  ) {
    const { header } = trace;
    this.recorder = new ReplayRecorder(trace);
    this.routes = buildRoutes(header);
    const targets = this.buildTargets();
    this.transport = this.createTransport(targets, HOME_DOMAIN);
    this.observerTransport = this.createTransport(targets, undefined);
    const { clock, invariants } = this;
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
        node: '10.0.9.1:7002',
      }),
      invariants,
      observer: new SimulatedObserver(clock, this.observerTransport),
      createDetector: options.createDetector,
      metrics: this.metrics,
      onHealthStatusChange: (change) => {
        this.recorder.recordChange(change);
      },
    });
  }

  async run(): Promise<IReplayResult> {
    for (const request of this.trace.requests) {
      await this.clock.advanceTo(request.atMs);
      void this.send(request);
    }
    await this.clock.advanceBy(TAIL_MS);
    await this.home.dispose();
    return this.summarize();
  }

  private async send(request: ITraceRequest): Promise<void> {
    const abort = new AbortController();
    if (request.hangUpMs !== undefined) {
      this.clock.startTimer(request.hangUpMs, () => {
        abort.abort(new Error('the caller disconnected'));
      });
    }
    try {
      const response = await this.home.handle(this.buildRequest(request), abort.signal);
      const latencyMs = this.clock.getMonotonicTime() - request.atMs;
      this.recorder.recordResponse(request, response, latencyMs);
    } catch (error) {
      this.recorder.recordError(request, error);
    }
  }

  private buildRequest(request: ITraceRequest): IRoutedRequest {
    return {
      member: this.trace.header.member,
      route: this.routes[request.route],
      method: request.route === 'read' ? 'GET' : 'POST',
      path: `/${request.route}`,
      headers: [[WORK_HEADER, String(request.workMs)]],
      body: new Uint8Array(),
      deadlineMs: request.atMs + request.deadlineMs,
      caller: request.caller,
      idempotencyKey: request.route === 'read' ? undefined : `${request.caller}-${request.atMs}`,
    };
  }

  private async summarize(): Promise<IReplayResult> {
    const { recorder, transport, observerTransport } = this;
    const { service, window } = this.trace.header;
    const slots = service.targets.length * service.slotsPerTarget;
    const windowMs = window === undefined ? 0 : window.untilMs - window.fromMs;
    const attempts = transport.attempts + observerTransport.attempts;
    return {
      ...recorder.summarizeDetection(),
      trace: this.trace.header.name,
      policy: this.options.policy,
      seed: this.options.seed,
      requests: recorder.requests,
      errorShare: recorder.errors / Math.max(1, recorder.requests),
      faultErrorShare: recorder.faultErrors / Math.max(1, recorder.faultRequests),
      p50Ms: recorder.getLatency(50),
      p99Ms: recorder.getLatency(99),
      amplification: attempts / Math.max(1, this.trace.requests.length),
      retryAmplification: await this.measureRetries(),
      othersErrorShare: recorder.othersErrors / Math.max(1, recorder.othersRequests),
      othersP99Ms: recorder.getOthersLatency(99),
      goodputShare: windowMs === 0 ? undefined : recorder.successfulWorkMs / (slots * windowMs),
      refusals: recorder.refusals,
      violations: this.countViolations(),
    };
  }

  /** Attempts at targets per first attempt. */
  private async measureRetries(): Promise<number> {
    const { attempts, retries, hedges } = this.metrics;
    const [attemptCount, retryCount, hedgeCount] = await Promise.all(
      [attempts, retries, hedges].map(readCounter),
    );
    return (
      (attemptCount ?? 0) / Math.max(1, (attemptCount ?? 0) - (retryCount ?? 0) - (hedgeCount ?? 0))
    );
  }

  private countViolations(): number {
    const names = Object.values(InvariantName);
    return names.reduce((sum, name) => sum + this.invariants.getViolationCount(name), 0);
  }

  private buildTargets(): ReadonlyMap<string, SimulatedTarget> {
    const { service } = this.trace.header;
    return new Map(
      service.targets.map(({ address }, index) => {
        const target = new SimulatedTarget({
          clock: this.clock,
          random: new SeededRandom(this.options.seed * 1000 + index),
          slots: service.slotsPerTarget,
          faults: this.trace.faults.filter((fault) => fault.target === address),
        });
        return [address, target];
      }),
    );
  }

  private createTransport(
    targets: ReadonlyMap<string, SimulatedTarget>,
    homeDomain: string | undefined,
  ): SimulatedTransport {
    const { service, nearMs, farMs } = this.trace.header;
    const delays = service.targets.map(({ address, failureDomain }) => {
      return [address, failureDomain === homeDomain ? nearMs : farMs] as const;
    });
    return new SimulatedTransport({
      clock: this.clock,
      random: new SeededRandom(this.options.seed),
      targets,
      delays: new Map(delays),
      isHome: homeDomain !== undefined,
      onCallerDispatch: (target, atMs) => {
        this.recorder.recordDispatch(target, atMs);
      },
    });
  }
}

async function readCounter(counter: HomeMetrics['attempts']): Promise<number> {
  const { values } = await counter.get();
  return values.reduce((sum, { value }) => sum + value, 0);
}
