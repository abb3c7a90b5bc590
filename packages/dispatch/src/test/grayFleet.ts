/** A service whose targets turn gray and recover, on simulated time, before one home. */
import { ManualClock, SeededRandom, createSilentLogger } from '@parsleymux/base';
import type { RandomSource } from '@parsleymux/base';
import type { GrantDecision } from '../grants/common/grant.js';
import { GrantOutcome } from '../grants/common/grant.js';
import { ServiceBook } from '../home/common/serviceBook.js';
import type { TargetPicker } from '../home/common/targetPicker.js';
import { makeGrantRequest, makeTarget } from './builders.js';

/** What the service is like. */
export interface IGrayFleetOptions {
  readonly seed: number;
  readonly targets: number;
  readonly slots: number;
  readonly domains: number;
  readonly requestsPerS: number;
  readonly workMs: number;
  /** Each target draws anew whether it is gray, every so many ms. */
  readonly epochMs: number;
  readonly grayShare: number;
  readonly grayFailureRate: number;
  readonly soundFailureRate: number;
  readonly durationMs: number;
  readonly picker?: TargetPicker;
}

/** A small booking service like those that many nodes share. */
export const BOOKING_FLEET: IGrayFleetOptions = {
  seed: 1,
  targets: 11,
  slots: 3,
  domains: 3,
  requestsPerS: 25,
  workMs: 240,
  epochMs: 12_000,
  grayShare: 0.3,
  grayFailureRate: 0.9,
  soundFailureRate: 0.012,
  durationMs: 60_000,
};

/** What became of the requests, as shares of all. */
export interface IGrayFleetResult {
  readonly failed: number;
  readonly crossed: number;
  readonly refused: number;
}

/** Sends requests that can't be repeated at random moments and counts. */
export class GrayFleet {
  private readonly clock = new ManualClock();
  private readonly random: RandomSource;
  private readonly book: ServiceBook;
  private readonly offsets: readonly number[];
  private readonly draws = new Map<string, boolean>();
  private readonly counts = { asked: 0, failed: 0, crossed: 0, refused: 0 };

  constructor(private readonly options: IGrayFleetOptions) {
    this.random = new SeededRandom(options.seed);
    this.book = new ServiceBook({
      service: 'booking',
      clock: this.clock,
      log: createSilentLogger(),
      floorShare: 0.7,
      retries: { windowMs: 10_000, ratio: 0.2, burst: 60 },
      ...(options.picker === undefined ? {} : { picker: options.picker }),
    });
    const indexes = Array.from({ length: options.targets }, (_, index) => index);
    this.offsets = indexes.map(() => this.random.getFloat() * options.epochMs);
    this.book.setTargets(
      indexes.map((index) =>
        makeTarget(`t${index}`, {
          slots: options.slots,
          failureDomain: `d${index % options.domains}`,
        }),
      ),
    );
  }

  async run(): Promise<IGrayFleetResult> {
    const { durationMs, requestsPerS } = this.options;
    let nextMs = 0;
    let nextTickMs = 0;
    while (nextMs < durationMs) {
      nextMs += this.random.getExponential(1000 / requestsPerS);
      while (nextTickMs < nextMs) {
        await this.clock.advanceTo(nextTickMs);
        this.book.advance();
        nextTickMs += 100;
      }
      await this.clock.advanceTo(nextMs);
      this.requestGrant();
    }
    const { asked, crossed, failed, refused } = this.counts;
    return { failed: failed / asked, crossed: crossed / asked, refused: refused / asked };
  }

  private requestGrant(): void {
    const failureDomain = `d${this.random.getInteger(this.options.domains)}`;
    this.counts.asked += 1;
    const decide = (decision: GrantDecision): void => {
      if (decision.kind === 'refused') {
        this.counts.refused += 1;
        return;
      }
      if (decision.target.failureDomain !== failureDomain) this.counts.crossed += 1;
      const isFailed = this.random.getFloat() < this.getFailureRate(decision.target.id);
      const workMs = isFailed ? 2 : this.random.getExponential(this.options.workMs);
      this.clock.startTimer(workMs, () => {
        if (isFailed) this.counts.failed += 1;
        const outcome = isFailed ? GrantOutcome.Failed : GrantOutcome.Succeeded;
        this.book.recordOutcome(ticket, outcome, workMs);
      });
    };
    const ticket = this.book.requestGrant(makeGrantRequest({ failureDomain }), 'n1', decide);
  }

  private getFailureRate(id: string): number {
    const { epochMs, grayFailureRate, grayShare, soundFailureRate } = this.options;
    const offset = this.offsets[Number(id.slice(1))] ?? 0;
    const epoch = Math.floor((this.clock.getMonotonicTime() + offset) / epochMs);
    const key = `${id}/${epoch}`;
    let isGray = this.draws.get(key);
    if (isGray === undefined) {
      isGray = this.random.getFloat() < grayShare;
      this.draws.set(key, isGray);
    }
    return isGray ? grayFailureRate : soundFailureRate;
  }
}
