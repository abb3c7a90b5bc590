/** How fast a target is compared with the others of its service, by route and concurrency. */

/** What a target's speed is asked for. */
export interface ISpeedQuery {
  readonly route: string;
  /** Requests at the target, including the one in question. */
  readonly concurrency: number;
  readonly slots: number;
  readonly nowMs: number;
}

/** Latency of a request, relative to the expected time of its route. */
export interface ISpeedSample extends ISpeedQuery {
  /** Natural logarithm of the ratio. */
  readonly logRatio: number;
}

/** The speed of a target, reduced for another home. */
export interface ISpeedEvidence {
  /** Natural logarithm of the slowness factor. */
  readonly logFactor: number;
  /** Number of samples, decayed. */
  readonly weight: number;
  /** Age of the latest sample, in ms. */
  readonly ageMs: number;
}

/** A factor of 2 means that requests take twice as long as the expected time of their routes. */
export abstract class TargetSpeed {
  /** Slowness factor of one more request. */
  abstract getFactor(query: ISpeedQuery): number;

  /** Slowness factor over all routes, without the effect of concurrency. */
  abstract getMeanFactor(nowMs: number): number;

  /** Number of concurrent requests beyond which the target only gets slower: from 1 to `slots`. */
  abstract getConcurrencyLimit(slots: number, nowMs: number): number;

  /** Factor by responses alone; undefined without recent ones. */
  abstract getRespondedFactor(query: ISpeedQuery): number | undefined;

  /** Records the latency of a response. */
  abstract record(sample: ISpeedSample): void;

  /** Records the largest ratio among the requests in progress: a lower bound of what their responses will show. */
  abstract recordOpen(logRatio: number, nowMs: number): void;

  /** Number of samples behind the factor, decayed. */
  abstract getWeight(nowMs: number): number;

  /** Age of the latest sample in ms; undefined without one. */
  abstract getAgeMs(nowMs: number): number | undefined;

  /** The target's own slowness, for {@link apply} of another home; undefined without samples. */
  abstract summarize(nowMs: number): ISpeedEvidence | undefined;

  /** Replaces the target's own slowness by that of another home if its latest sample is newer. */
  abstract apply(evidence: ISpeedEvidence, nowMs: number): void;
}
