/** Simulates a scenario once: real homes and entries in front of modelled targets, on simulated time. */
import type { RandomSource } from '@parsleymux/base';
import { ManualClock, SeededRandom, createSilentLogger } from '@parsleymux/base';
import type { GrantPolicy, ITargetRecord } from '@parsleymux/scheduling';
import quantile from '@stdlib/stats-base-dists-lognormal-quantile';
import type { IRunResult } from './runRecorder.js';
import { RunRecorder } from './runRecorder.js';
import { FleetObserver } from './fleetObserver.js';
import { sendRequest } from './modelledCaller.js';
import { ModelledQuarantineStore } from './modelledQuarantineStore.js';
import { ModelledFleet, formatNode, parseNodeIndex } from './modelledFleet.js';
import { ModelledNetwork } from './modelledNetwork.js';
import { ModelledNode } from './modelledNode.js';
import { ModelledTarget } from './modelledTarget.js';
import type { FailureOracle } from '../policies/oraclePolicy.js';
import type { ICrashingRequest, IRequestKind, IScenario, IWorkDistribution } from './scenario.js';
import { listEvents } from './scenario.js';

/** Interval at which the states of targets and homes are updated, in ms. */
const UPDATE_INTERVAL_MS = 100;
/** Delay until nodes receive a changed list of targets, in ms. */
const TARGET_LIST_DELAY_MS = 800;
const MS_PER_S = 1000;
/** Time from the beginning of a loss of paths from which its effect is measured, in ms. */
const MEASURED_FROM_MS = 1000;
/** Nodes run this long before the first caller, in ms: longer than their window of retries. */
const WARM_UP_MS = 12_000;
/** Time after the end of the load in which pending requests end, in ms. */
const TAIL_MS = 10_000;

/**
 * Callers, targets and the network draw from separate generators. An additional request of one policy
 * therefore changes no draw of another request, and runs of two policies with one seed are paired.
 *
 * @example
 * const result = await new ExperimentRun(scenario, () => new FreeSlotPolicy(), 7).run();
 */
export class ExperimentRun {
  private readonly clock = new ManualClock();
  private readonly recorder = new RunRecorder();
  private readonly observer: FleetObserver;
  private readonly callerRandom: RandomSource;
  private readonly nodeChoiceRandom: RandomSource;
  private readonly crashingRandom: RandomSource;
  private readonly network: ModelledNetwork;
  private readonly targets: readonly ModelledTarget[];
  private readonly fleet: ModelledFleet;
  private readonly pendingRequests: Promise<void>[] = [];
  /** Targets and their states, as last sent to the nodes. */
  private lastTargetsKey = '';

  private readonly scenario: IScenario;

  constructor(
    original: IScenario,
    createPolicy: (isFailing: FailureOracle) => GrantPolicy,
    seed: number,
  ) {
    const scenario = withWarmUp(original);
    this.scenario = scenario;
    const source = new SeededRandom(seed);
    const fork = () => new SeededRandom(source.getInteger(0x7fff_ffff));
    this.callerRandom = fork();
    this.nodeChoiceRandom = fork();
    const { clock } = this;
    const { datagramLoss: lossShare, datagramMs: delayMs } = scenario;
    this.network = new ModelledNetwork({ clock, random: fork(), delayMs, lossShare });
    this.targets = scenario.services.flatMap((service) => {
      return Array.from({ length: service.targets }, (_, index) => {
        const id = `${service.name}-${index}`;
        return new ModelledTarget({ id, index, scenario, service, clock, random: fork() });
      });
    });
    // Not forked from the source, so that crashing requests don't change the draws of the others.
    this.crashingRandom = new SeededRandom(seed + 1);
    const byId = new Map(this.targets.map((target) => [target.options.id, target]));
    this.observer = new FleetObserver(scenario);
    const log = createSilentLogger();
    const quarantineStore = new ModelledQuarantineStore(clock);
    this.fleet = new ModelledFleet({
      scenario,
      clock,
      network: this.network,
      random: fork(),
      formatDomain: (index) => this.formatDomain(index),
      createNode: (index, incarnation, fleet) => {
        return new ModelledNode({
          scenario,
          clock,
          log,
          incarnation,
          createPolicy: () => createPolicy((id) => byId.get(id)?.isFailing() === true),
          channel: this.network.open(formatNode(index)),
          failureDomain: this.formatDomain(index),
          random: fork(),
          targets: byId,
          observer: this.observer,
          rankHomes: (service) => fleet.rankHomes(service, index),
          listMembers: () => fleet.listMembers(),
          formatDomainOf: (address) => this.formatDomain(parseNodeIndex(address)),
          findPeer: (address) => {
            const node = fleet.findReachable(address);
            return node && { handler: node.relayHandler, endSignal: node.endSignal };
          },
          quarantineStore,
        });
      },
    });
  }

  async run(): Promise<IRunResult> {
    const endMs = WARM_UP_MS + this.scenario.durationMs;
    this.updateEnvironment();
    this.fleet.start();
    for (const crashing of this.scenario.crashingRequests ?? []) this.planCrashing(crashing);
    await this.clock.advanceTo(WARM_UP_MS);
    const arrivals = this.scenario.kinds.map((kind) => {
      return { kind, atMs: WARM_UP_MS + this.sampleGap(kind, WARM_UP_MS) };
    });
    let index = 0;
    for (let stepMs = WARM_UP_MS; stepMs < endMs; stepMs += UPDATE_INTERVAL_MS) {
      this.updateEnvironment();
      for (;;) {
        const next = arrivals.reduce((left, right) => (right.atMs < left.atMs ? right : left));
        if (next.atMs >= stepMs + UPDATE_INTERVAL_MS) break;
        await this.clock.advanceTo(next.atMs);
        this.send(next.kind, index++);
        next.atMs += this.sampleGap(next.kind, next.atMs);
      }
      await this.clock.advanceTo(stepMs + UPDATE_INTERVAL_MS);
    }
    await this.clock.advanceBy(TAIL_MS);
    await Promise.all(this.pendingRequests);
    for (const node of this.fleet.listNodes()) node.dispose();
    return this.summarize();
  }

  /** Sends a crashing request at its rate. Outcomes for its callers aren't recorded. */
  private planCrashing(crashing: ICrashingRequest): void {
    const kind = this.scenario.kinds.find(({ name }) => name === crashing.kind);
    if (kind === undefined) throw new Error(`request kind "${crashing.kind}" does not exist`);
    const gapMs = MS_PER_S / crashing.perS;
    for (let atMs = crashing.fromMs; atMs < crashing.toMs; atMs += gapMs) {
      this.clock.startTimer(atMs, () => {
        const request = sendRequest({
          kind: { ...kind, returns: 0 },
          id: `${crashing.name}-${Math.round(atMs)}`,
          crashName: crashing.name,
          workMs: 0,
          immediateAttempts: 0,
          clock: this.clock,
          random: this.crashingRandom,
          listNodes: () => this.fleet.listOpen(),
          recorder: new RunRecorder(),
          observer: this.observer,
        });
        this.pendingRequests.push(request);
      });
    }
  }

  private summarize(): IRunResult {
    const sum = (values: readonly number[]) => values.reduce((total, value) => total + value, 0);
    const transports = this.fleet.listTransports();
    return this.recorder.summarize({
      connections: sum(transports.map(({ openedConnections }) => openedConnections)),
      crossDomainBytes: sum(transports.map(({ crossDomainBytes }) => crossDomainBytes)),
      crashedTargets: this.observer.countCrashes(),
      pathLoss: this.observer.pathLoss.count(MEASURED_FROM_MS),
      failedRuns: sum(this.targets.map(({ failedMs }) => failedMs.length)),
      violations: this.observer
        .findViolations(this.targets.map((target) => target.toObserved()))
        .map((violation) => ({ ...violation, atMs: violation.atMs - WARM_UP_MS })),
    });
  }

  private send(kind: IRequestKind, index: number): void {
    const nowMs = this.clock.getMonotonicTime();
    const [abuse] = listEvents(this.scenario, 'retry-abuse', kind.service, nowMs);
    const isAbusive = this.callerRandom.getFloat() < (abuse?.share ?? 0);
    const request = sendRequest({
      kind,
      id: `q${index}`,
      ...(kind.popular === undefined ? {} : { content: `${kind.name}-${index % kind.popular}` }),
      workMs: sampleWork(kind.work, this.callerRandom),
      immediateAttempts: isAbusive ? (abuse?.factor ?? 1) : 0,
      clock: this.clock,
      random: this.nodeChoiceRandom,
      listNodes: () => this.fleet.listOpen(),
      recorder: this.recorder,
      observer: this.observer,
    });
    this.pendingRequests.push(request);
  }

  private sampleGap(kind: IRequestKind, nowMs: number): number {
    const factor = listEvents(this.scenario, 'burst', kind.service, nowMs).reduce(
      (product, event) => product * (event.factor ?? 1),
      1,
    );
    return this.callerRandom.getExponential(MS_PER_S / (kind.perS * factor));
  }

  /** Sends changed lists of targets to the nodes, and disconnects homes that the scenario cuts off. */
  private updateEnvironment(): void {
    const nowMs = this.clock.getMonotonicTime();
    const records = this.targets
      .filter((target) => !target.isDown())
      .map((target) => this.makeRecord(target));
    const key = records
      .map(({ bornMs, id, isDraining }) => `${id}/${bornMs}/${isDraining}`)
      .join(' ');
    if (key !== this.lastTargetsKey) {
      this.lastTargetsKey = key;
      this.clock.startTimer(nowMs === 0 ? 0 : TARGET_LIST_DELAY_MS, () => {
        this.fleet.setTargets(records);
      });
    }
    for (const service of this.scenario.services) {
      const isHomeLost = listEvents(this.scenario, 'home-loss', service.name, nowMs).length > 0;
      const [home] = this.fleet.rankHomes(service.name);
      if (home !== undefined) this.network.setDisconnected(home, isHomeLost);
    }
  }

  private makeRecord(target: ModelledTarget): ITargetRecord {
    const { id, index, service } = target.options;
    return {
      id,
      service: service.name,
      address: id,
      failureDomain: this.formatDomain(index),
      slots: service.slots,
      isDraining: target.isDraining(),
      coldMs: 0,
      ...(target.incarnation > 1 ? { bornMs: target.incarnation } : {}),
    };
  }

  private formatDomain(index: number): string {
    return `d${index % this.scenario.failureDomains}`;
  }
}

/** Shifts the scenario's times, which count from the first caller, by the warm-up. */
function withWarmUp(scenario: IScenario): IScenario {
  const events = scenario.events.map((event) => ({ ...event, atMs: event.atMs + WARM_UP_MS }));
  const crashingRequests = (scenario.crashingRequests ?? []).map((crashing) => ({
    ...crashing,
    fromMs: crashing.fromMs + WARM_UP_MS,
    toMs: crashing.toMs + WARM_UP_MS,
  }));
  return { ...scenario, events, crashingRequests };
}

function sampleWork(work: IWorkDistribution, random: RandomSource): number {
  const { maxMs, meanMs, spread, tailFactor, tailShare } = work;
  // The mean of a lognormal distribution is exp(mu + sigma^2 / 2).
  const mu = Math.log(meanMs) - (spread * spread) / 2;
  const ms = quantile(random.getFloat(), mu, spread);
  return Math.min(maxMs, random.getFloat() < tailShare ? ms * tailFactor : ms);
}
