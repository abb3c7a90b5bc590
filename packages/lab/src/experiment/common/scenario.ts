/** What an experiment plays: services, kinds of requests, and what goes wrong when. */

/** How long work on a request takes: lognormal with a heavier tail, cut off at `maxMs`. */
export interface IWorkDistribution {
  readonly meanMs: number;
  /** Standard deviation of the logarithm. */
  readonly spread: number;
  /** Share of the requests that take `tailFactor` times as long. */
  readonly tailShare: number;
  readonly tailFactor: number;
  readonly maxMs: number;
}

/** One kind of requests, all on one route. */
export interface IRequestKind {
  readonly name: string;
  readonly service: string;
  readonly perS: number;
  readonly isIdempotent: boolean;
  readonly objectiveMs: number;
  /** How long a caller waits, over all of its attempts. */
  readonly deadlineMs: number;
  readonly timeoutMs: number;
  readonly maxAttempts: number;
  readonly priority: number;
  /** Worth of an answer within the objective, and of a later one. */
  readonly worth: number;
  readonly lateWorth: number;
  /** Times that a caller comes back after a refusal. */
  readonly returns: number;
  readonly work: IWorkDistribution;
  /** Things that callers ask for again and again; absent where each asks for something of its own. */
  readonly popular?: number;
  /** Size of an answer. */
  readonly answerBytes: number;
}

/** How targets of a service fail by themselves. */
export interface IGrayEpochs {
  /** Probability that a target is failing during one epoch. */
  readonly share: number;
  /** Each target draws anew after this time. */
  readonly everyMs: number;
  /** Share of its requests that a failing target fails. */
  readonly failShare: number;
  /** How long a failing target takes to fail: short, or until the caller gives up. */
  readonly failMs: number;
}

/** One request that crashes each target that begins to run it, and comes again and again. */
export interface ICrashingRequest {
  readonly name: string;
  /** Name of the kind of requests that it belongs to. */
  readonly kind: string;
  readonly perS: number;
  readonly fromMs: number;
  readonly toMs: number;
  /** How long a target runs it before it crashes, in ms. */
  readonly runMs: number;
  /** How long a target stays down, in ms. */
  readonly downMs: number;
}

/** One service. */
export interface ISimulatedService {
  readonly name: string;
  readonly targets: number;
  readonly slots: number;
  /** Requests that wait at a target before it sheds. */
  readonly queue: number;
  /** Share of requests that a sound target fails. */
  readonly errorShare: number;
  readonly gray: IGrayEpochs;
}

/** What happens for a while. */
export interface IScenarioEvent {
  readonly kind:
    | 'burst'
    | 'retry-abuse'
    | 'slow'
    | 'fail'
    | 'shed'
    | 'crash'
    /** Targets lose power: what runs there is lost with its connections. */
    | 'target-loss'
    | 'drain'
    /** Targets say in their answers that they leave; the list of targets does not say so. */
    | 'drain-told'
    /** Targets name in their answers how many requests a second they take. */
    | 'limit'
    | 'home-loss'
    /** Nodes are told to stop, a batch each `gapMs`, and start anew. */
    | 'restart'
    /** All nodes lose power at once, and start anew after `forMs`. */
    | 'power-loss';
  readonly atMs: number;
  readonly forMs: number;
  /** Share of the targets, callers or nodes concerned, from 0 to 1. Default 0. */
  readonly share?: number;
  /** Times as much load, work, or attempts; of `shed`, the share of requests. Default 1. */
  readonly factor?: number;
  /** Of `shed`: for how long targets ask to be left alone. Default: they don't say. */
  readonly waitMs?: number;
  /** Of `limit`: requests a second that each target takes from all nodes together. */
  readonly ratePerS?: number;
  /** Nodes of one batch of restarts. Default 1. */
  readonly batch?: number;
  /** Between two batches, in ms. Default 1,000. */
  readonly gapMs?: number;
  /** Default: all. */
  readonly service?: string;
}

/** A whole scenario, as its file holds it. */
export interface IScenario {
  readonly name: string;
  readonly durationMs: number;
  readonly nodes: number;
  readonly failureDomains: number;
  /** One way of a datagram between nodes, and the share of datagrams that is lost. */
  readonly datagramMs: number;
  readonly datagramLoss: number;
  readonly services: readonly ISimulatedService[];
  readonly kinds: readonly IRequestKind[];
  readonly events: readonly IScenarioEvent[];
  /** Default: none. */
  readonly crashingRequests?: readonly ICrashingRequest[];
  /** The fleet's retries. */
  readonly retryRatio: number;
  readonly retryBurst: number;
  readonly retryWindowMs: number;
  readonly floorShare: number;
}

/**
 * Events that concern a service now.
 *
 * @example
 * const slow = listEvents(scenario, 'slow', 'booking', nowMs);
 */
export function listEvents(
  scenario: IScenario,
  kind: IScenarioEvent['kind'],
  service: string,
  nowMs: number,
): readonly IScenarioEvent[] {
  return scenario.events.filter((event) => {
    const isNow = nowMs >= event.atMs && nowMs < event.atMs + event.forMs;
    return event.kind === kind && isNow && (event.service ?? service) === service;
  });
}
