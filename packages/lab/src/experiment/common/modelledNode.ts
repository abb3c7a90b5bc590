/** One node of an experiment: the real entry, home and questions on simulated time. */
import type { Clock, Logger, RandomSource } from '@parsleymux/base';
import type { DatagramChannel, GrantPolicy, ITargetRecord } from '@parsleymux/dispatch';
import {
  GrantServer,
  HomeSelector,
  HomeService,
  PathHealth,
  RequestRunner,
} from '@parsleymux/dispatch';
import type { ModelledTarget } from './modelledTarget.js';
import { ModelledTransport } from './modelledTransport.js';
import type { IScenario } from './scenario.js';

/** Options of a {@link ModelledNode}. */
export interface IModelledNodeOptions {
  readonly scenario: IScenario;
  readonly channel: DatagramChannel;
  readonly failureDomain: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Logger;
  readonly createPolicy: () => GrantPolicy;
  readonly targets: ReadonlyMap<string, ModelledTarget>;
  readonly rankHomes: (service: string) => readonly string[];
}

/** What a node does with callers' requests. */
export class ModelledNode {
  readonly runner: RequestRunner;
  readonly transport: ModelledTransport;
  private readonly homes: HomeService;
  private known = new Map<string, ITargetRecord>();

  constructor(options: IModelledNodeOptions) {
    const { channel, clock, createPolicy, failureDomain, log, scenario, targets } = options;
    const { retryBurst: burst, retryRatio: ratio, retryWindowMs: windowMs } = scenario;
    const { floorShare } = scenario;
    const retries = { burst, ratio, windowMs };
    this.homes = new HomeService({ clock, log, createPolicy, floorShare, retries });
    const findTarget = (id: string) => this.known.get(id);
    this.transport = new ModelledTransport({
      clock,
      random: options.random,
      targets,
      isFar: ({ options: { id } }) => findTarget(id)?.failureDomain !== failureDomain,
    });
    const { rankHomes } = options;
    const homes = this.homes;
    const incarnation = 1;
    const selector = new HomeSelector({
      channel,
      homes,
      clock,
      log,
      incarnation,
      rankHomes,
      findTarget,
    });
    const server = new GrantServer({ channel, homes, clock });
    channel.setHandler((sender, body) => {
      if (body.case === 'ask') server.handleAsk(sender, body.value);
      if (body.case === 'report') server.handleReport(sender, body.value);
      if (body.case === 'decision') selector.handleDecision(sender, body.value);
      if (body.case === 'reportReceived') selector.handleReportReceived(body.value.askId);
    });
    this.runner = new RequestRunner({
      clock,
      selector,
      transport: this.transport,
      paths: new PathHealth(clock, findTarget),
      failureDomain,
      listTargets: (service) => homes.listTargets(service),
      isAuthentic: () => true,
      listTargetHeaders: () => [],
    });
    homes.start();
  }

  setTargets(records: readonly ITargetRecord[]): void {
    this.known = new Map(records.map((record) => [record.id, record]));
    this.homes.setTargets(records);
  }

  dispose(): void {
    this.homes.dispose();
  }
}
