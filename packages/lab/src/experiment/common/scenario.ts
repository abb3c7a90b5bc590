/** Scenarios of experiments: services, kinds of requests, and scheduled events. */

/** Distribution of the work of a request: lognormal with a heavier tail, capped at `maxMs`. */
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
  /** How long a caller waits in total, over all of its attempts. */
  readonly deadlineMs: number;
  readonly timeoutMs: number;
  readonly maxAttempts: number;
  readonly priority: number;
  /** Worth of a response within the objective, and of a later one. */
  readonly worth: number;
  readonly lateWorth: number;
  /** Number of times that a caller retries after a refusal. */
  readonly returns: number;
  readonly work: IWorkDistribution;
  /** Number of different contents that callers request repeatedly; absent if each content is unique. */
  readonly popular?: number;
  /** Size of a response, in bytes. */
  readonly answerBytes: number;
}

/** Epochs in which targets of a service fail for reasons of their own. */
export interface IGrayEpochs {
  /** Probability that a target is failing during one epoch. */
  readonly share: number;
  /** Length of an epoch, after which each target draws again. */
  readonly everyMs: number;
  /** Share of requests that a failing target fails. */
  readonly failShare: number;
  /** Time until a failing target responds with a failure, in ms; a long time models targets that hang. */
  readonly failMs: number;
}

/** A request that is repeated and crashes each target that runs it. */
export interface ICrashingRequest {
  readonly name: string;
  /** Name of its kind of requests. */
  readonly kind: string;
  readonly perS: number;
  readonly fromMs: number;
  readonly toMs: number;
  /** How long a target runs it before the crash, in ms. */
  readonly runMs: number;
  /** How long a target stays down after the crash, in ms. */
  readonly downMs: number;
}

/** One service. */
export interface ISimulatedService {
  readonly name: string;
  readonly targets: number;
  readonly slots: number;
  /** Number of requests that wait at a target before it sheds. */
  readonly queue: number;
  /** Share of requests that a healthy target fails. */
  readonly errorShare: number;
  readonly gray: IGrayEpochs;
}

/** How the loss of a node's path to the targets affects its connections. */
export const PathLoss = {
  /** Open connections and new ones hang. */
  Silent: 'silent',
  /** Open connections are reset, and new ones are refused. */
  Reset: 'reset',
  /** Open connections work, and new ones are refused. */
  RefusesNew: 'refuses-new',
} as const;

export type PathLoss = (typeof PathLoss)[keyof typeof PathLoss];

/** An event that lasts for some time. */
export interface IScenarioEvent {
  readonly kind:
    | 'burst'
    | 'retry-abuse'
    | 'slow'
    | 'fail'
    | 'shed'
    | 'crash'
    /** Targets lose power; their running requests are lost with the connections. */
    | 'target-loss'
    | 'drain'
    /** Targets report in responses that they are draining; the list of targets doesn't show it. */
    | 'drain-told'
    /** Targets advertise a limit of requests per second in responses. */
    | 'limit'
    | 'home-loss'
    /** Nodes stop and start again, one batch every `gapMs`. */
    | 'restart'
    /** Nodes lose their path to all targets, in the way that `connections` names. */
    | 'path-loss'
    /** All nodes lose power at the same time and start again after `forMs`. */
    | 'power-loss';
  readonly atMs: number;
  readonly forMs: number;
  /** Share of the affected targets, callers or nodes, from 0 to 1. Default 0. */
  readonly share?: number;
  /** Multiple of load, work or attempts; for `shed`, the share of requests. Default 1. */
  readonly factor?: number;
  /** For `shed`: the wait that targets request in responses, in ms. Default: none. */
  readonly waitMs?: number;
  /** For `limit`: requests per second that each target accepts from all nodes together. */
  readonly ratePerS?: number;
  /** For `path-loss`: what becomes of connections. Default: silent. */
  readonly connections?: PathLoss;
  /** For `path-loss`: the failure domain whose nodes are affected. Default: all. */
  readonly failureDomain?: string;
  /** Number of nodes in one batch of restarts. Default 1. */
  readonly batch?: number;
  /** Interval between two batches, in ms. Default 1,000. */
  readonly gapMs?: number;
  /** The affected service. Default: all. */
  readonly service?: string;
}

/** A scenario as stored in its file. */
export interface IScenario {
  readonly name: string;
  readonly durationMs: number;
  readonly nodes: number;
  readonly failureDomains: number;
  /** One-way delay of a datagram between nodes in ms, and the share of datagrams that is lost. */
  readonly datagramMs: number;
  readonly datagramLoss: number;
  readonly services: readonly ISimulatedService[];
  readonly kinds: readonly IRequestKind[];
  readonly events: readonly IScenarioEvent[];
  /** Default: none. */
  readonly crashingRequests?: readonly ICrashingRequest[];
  /** Limit of the fleet's retries: their ratio to requests, the burst, and the window in ms. */
  readonly retryRatio: number;
  readonly retryBurst: number;
  readonly retryWindowMs: number;
  readonly floorShare: number;
  /** Section `scheduling` of the settings. Default: all optional parts are off. */
  readonly scheduling?: unknown;
}

/**
 * Events of a kind that affect a service at `nowMs`.
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
