/** Runs one trace under one routing mode, on a separate manual clock. */
import { InvariantRegistry, ManualClock, SeededRandom } from '@parsleymux/base';
import { LocalHomeService, PassThroughGuard, TableEjectionLedger } from '@parsleymux/routing';
import * as hdr from 'hdr-histogram-js';
import { ReplayRecorder } from '../../../replay/common/replayRecorder.js';
import { SimulatedTable } from '../../../replay/common/simulatedTable.js';
import { SimulatedTarget } from '../../../replay/common/simulatedTarget.js';
import { SimulatedTransport, WORK_HEADER } from '../../../replay/common/simulatedTransport.js';
import { buildConfigService, buildRoutes } from '../../../replay/common/traceConfig.js';
import type { ITrace, ITraceHeader, ITraceRequest } from '../../../trace/common/trace.js';
import type { IPlacedHome, RoutingMode } from './routingMode.js';
import { chooseHome } from './routingMode.js';

const NODES = 48;
const DOMAINS: readonly string[] = ['domain-0', 'domain-1', 'domain-2'];
const DRAIN_MS = 10_000;
const MICROSECONDS = 1000;

/** Results of one run. */
export interface IRoutingResults {
  /** Latency of successful requests beyond their recorded work, in ms. */
  readonly addedP50Ms: number;
  readonly addedP99Ms: number;
  /** Fraction of arrivals at targets that found every slot in use. */
  readonly collisionShare: number;
  readonly shedShare: number;
  /** Fraction of requests refused, failed, or shed without another target to retry on. */
  readonly errorShare: number;
  /** Maximum number of connections open to one target. */
  readonly connections: number;
  readonly detectionMs: readonly (number | undefined)[];
  readonly falseEjections: number;
}

/** Runs a trace and measures it. */
export async function runRouting(
  trace: ITrace,
  mode: RoutingMode,
  seed: number,
): Promise<IRoutingResults> {
  return new RoutingRun(trace, mode, seed).run();
}

class RoutingRun {
  private readonly clock = new ManualClock();
  private readonly random: SeededRandom;
  private readonly recorder: ReplayRecorder;
  private readonly targets: ReadonlyMap<string, SimulatedTarget>;
  private readonly table = new SimulatedTable(this.clock);
  private readonly homes: readonly IPlacedHome[];
  private readonly routes;
  private readonly entries = Array.from({ length: NODES }, (_, index) => ({
    failureDomain: DOMAINS[index % DOMAINS.length] ?? '',
    spareShares: new Map<IPlacedHome, number>(),
  }));
  private readonly added = hdr.build({ highestTrackableValue: 120_000_000 });

  constructor(
    private readonly trace: ITrace,
    private readonly mode: RoutingMode,
    private readonly seed: number,
  ) {
    this.random = new SeededRandom(seed);
    this.recorder = new ReplayRecorder(trace);
    this.routes = buildRoutes(trace.header);
    this.targets = this.buildTargets();
    this.homes = this.buildHomes();
  }

  async run(): Promise<IRoutingResults> {
    for (const request of this.trace.requests) {
      await this.clock.advanceTo(request.atMs);
      void this.send(request);
    }
    await this.clock.advanceBy(DRAIN_MS);
    for (const { home } of this.homes) await home.dispose();
    return this.summarize();
  }

  private async send(request: ITraceRequest): Promise<void> {
    const { header } = this.trace;
    const entry = this.entries[this.random.getInteger(NODES)];
    if (entry === undefined) return;
    const { placed, hopMs } = chooseHome({
      mode: this.mode,
      homes: this.homes,
      entry,
      nearMs: header.nearMs,
      farMs: header.farMs,
      random: this.random,
    });
    try {
      await this.clock.sleep(hopMs);
      const response = await placed.home.handle(
        {
          member: header.member,
          route: this.routes[request.route],
          method: request.route === 'read' ? 'GET' : 'POST',
          path: `/${request.route}`,
          headers: [[WORK_HEADER, String(request.workMs)]],
          body: new Uint8Array(),
          deadlineMs: request.atMs + request.deadlineMs,
          caller: request.caller,
          idempotencyKey: undefined,
        },
        new AbortController().signal,
      );
      const spare = placed.home.getSpareSlots(header.member, header.service.name);
      await this.clock.sleep(hopMs);
      // An entry knows a home's spare slots only from the last response of that home.
      entry.spareShares.set(placed, spare / placed.slots);
      const latencyMs = this.clock.getMonotonicTime() - request.atMs;
      this.recorder.recordResponse(request, response, latencyMs);
      const addedMs = Math.max(0, latencyMs - request.workMs);
      this.added.recordValue(Math.round(addedMs * MICROSECONDS));
    } catch (error) {
      this.recorder.recordError(request, error);
    }
  }

  private summarize(): IRoutingResults {
    const targets = [...this.targets.values()];
    const arrivals = targets.reduce((sum, target) => sum + target.arrivals, 0);
    const collisions = targets.reduce((sum, target) => sum + target.collisions, 0);
    const sheds = targets.reduce((sum, target) => sum + target.sheds, 0);
    const { detectionMs, falseEjections } = this.recorder.summarizeDetection();
    return {
      addedP50Ms: this.added.getValueAtPercentile(50) / MICROSECONDS,
      addedP99Ms: this.added.getValueAtPercentile(99) / MICROSECONDS,
      collisionShare: collisions / Math.max(1, arrivals),
      shedShare: sheds / Math.max(1, arrivals),
      errorShare: this.recorder.errors / Math.max(1, this.recorder.requests),
      connections: Math.max(...targets.map((target) => target.maxConnections)),
      detectionMs,
      falseEjections,
    };
  }

  private buildTargets(): ReadonlyMap<string, SimulatedTarget> {
    const { service } = this.trace.header;
    return new Map(
      service.targets.map(({ address }, index) => {
        const target = new SimulatedTarget({
          clock: this.clock,
          random: new SeededRandom(this.seed * 1000 + index),
          slots: service.slotsPerTarget,
          faults: this.trace.faults.filter((fault) => fault.target === address),
        });
        return [address, target];
      }),
    );
  }

  private buildHomes(): readonly IPlacedHome[] {
    const { header } = this.trace;
    switch (this.mode) {
      case 'one home':
        return [this.createHome(header, DOMAINS[0] ?? '', 0)];
      case 'home per domain':
        return DOMAINS.map((domain, index) => {
          return this.createHome(pickDomain(header, domain), domain, index);
        });
      case 'direct':
        return Array.from({ length: NODES }, (_, index) => {
          return this.createHome(header, DOMAINS[index % DOMAINS.length] ?? '', index);
        });
    }
  }

  private createHome(header: ITraceHeader, failureDomain: string, index: number): IPlacedHome {
    const { clock } = this;
    const invariants = new InvariantRegistry();
    const { service } = header;
    const delays = service.targets.map((target) => {
      const isNear = target.failureDomain === failureDomain;
      return [target.address, isNear ? header.nearMs : header.farMs] as const;
    });
    const home = new LocalHomeService({
      configService: buildConfigService(header),
      clock,
      random: new SeededRandom(this.seed * 100 + index),
      transport: new SimulatedTransport({
        clock,
        random: new SeededRandom(this.seed * 200 + index),
        targets: this.targets,
        delays: new Map(delays),
        isHome: true,
        onCallerDispatch: (target, atMs) => {
          this.recorder.recordDispatch(target, atMs);
        },
      }),
      guard: new PassThroughGuard(),
      ledger: new TableEjectionLedger({
        table: this.table,
        clock,
        invariants,
        node: `node-${index}`,
      }),
      invariants,
      onHealthStatusChange: (change) => {
        this.recorder.recordChange(change);
      },
    });
    return { home, failureDomain, slots: service.targets.length * service.slotsPerTarget };
  }
}

/** Restricts the service to one failure domain, with its share of the floor rounded up. */
function pickDomain(header: ITraceHeader, domain: string): ITraceHeader {
  const { service } = header;
  const targets = service.targets.filter((target) => target.failureDomain === domain);
  const share = targets.length / service.targets.length;
  const floorSlots = Math.ceil(share * service.floorSlots);
  return { ...header, service: { ...service, targets, floorSlots } };
}
