/** Runs randomly arriving bookings through one claim guard and measures their cost. */
import { create } from '@bufbuild/protobuf';
import type { Clock, InvariantRegistry, RandomSource } from '@parsleymux/base';
import { ResultCode, RunState } from '@parsleymux/base';
import type { IClaimLookUpResponse } from '@parsleymux/claims';
import { ClaimGuard, ClaimPeer, GroupCommitter } from '@parsleymux/claims';
import type { IPlatform } from '@parsleymux/store';
import type { IResponse, IGuardedAttempt } from '@parsleymux/routing';
import type { Route } from '@parsleymux/schema';
import { RouteSchema } from '@parsleymux/schema';
import type { Histogram } from 'hdr-histogram-js';
import { build } from 'hdr-histogram-js';

const DEADLINE_MS = 10_000;
const SERVICE_MS = 5;
const US = 1000;
const MAX_US = 60_000_000;

/** Settings of one measurement. */
export interface IClaimCase {
  /** Member that owns the bookings. Claim rows are stored per member, so cases do not share rows. */
  readonly member: string;
  readonly groupMs: number;
  readonly maxInFlight: number;
  /** Mean arrival rate per second. */
  readonly perSecond: number;
  readonly durationMs: number;
  readonly answerBytes: number;
}

/** Results of one case. */
export interface IClaimResults {
  readonly bookings: number;
  readonly refused: number;
  /** Time from arrival to dispatch, in µs. */
  readonly claimUs: Histogram;
  /** Time from the target's response to the response to the caller, in µs. */
  readonly recordUs: Histogram;
  readonly transactions: number;
  readonly rows: number;
  /** Processor time of this process, including the simulated callers, in µs. */
  readonly cpuUs: number;
}

/** Services that a measurement uses. */
export interface IClaimBenchServices {
  readonly platform: IPlatform;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly invariants: InvariantRegistry;
}

class NoPeer extends ClaimPeer {
  override lookUp(): Promise<IClaimLookUpResponse> {
    return Promise.reject(new Error('a single node has no peers'));
  }
}

/**
 * Runs bookings with fresh keys through one guard.
 *
 * @example
 * const results = await measureClaims(setting, services);
 */
export async function measureClaims(
  setting: IClaimCase,
  services: IClaimBenchServices,
): Promise<IClaimResults> {
  const { platform, clock, random, invariants } = services;
  const { table, objects } = platform;
  const { groupMs, maxInFlight } = setting;
  const committer = new GroupCommitter({ table, clock, groupMs, maxInFlight });
  const nodeAddress = '127.0.0.1:1';
  const peer = new NoPeer();
  const shared = { table, objects, clock, random, invariants, nodeAddress, peer, committer };
  const guard = new ClaimGuard(shared);
  const run = new ClaimRun(setting, services, guard);
  const cpuStart = process.cpuUsage();
  await run.runToEnd();
  await guard.flush();
  const cpu = process.cpuUsage(cpuStart);
  guard.dispose();
  return {
    ...run.getCounts(),
    transactions: committer.getTransactionCount(),
    rows: committer.getRowCount(),
    cpuUs: cpu.user + cpu.system,
  };
}

class ClaimRun {
  private readonly claimUs = makeHistogram();
  private readonly recordUs = makeHistogram();
  private readonly route: Route = create(RouteSchema, { host: 'booking.example' });
  private bookings = 0;
  private refused = 0;

  constructor(
    private readonly setting: IClaimCase,
    private readonly services: IClaimBenchServices,
    private readonly guard: ClaimGuard,
  ) {}

  getCounts(): Pick<IClaimResults, 'bookings' | 'refused' | 'claimUs' | 'recordUs'> {
    const { bookings, refused, claimUs, recordUs } = this;
    return { bookings, refused, claimUs, recordUs };
  }

  /** Open loop: a booking starts when it is due, even if earlier ones are still running. */
  async runToEnd(): Promise<void> {
    const { clock, random } = this.services;
    const endMs = clock.getMonotonicTime() + this.setting.durationMs;
    const pending: Promise<void>[] = [];
    let dueMs = clock.getMonotonicTime();
    while (dueMs < endMs) {
      dueMs += random.getExponential(1000 / this.setting.perSecond);
      const waitMs = dueMs - clock.getMonotonicTime();
      if (waitMs > 0) await clock.sleep(waitMs);
      pending.push(this.runBooking());
    }
    await Promise.all(pending);
  }

  private async runBooking(): Promise<void> {
    const { clock } = this.services;
    this.bookings += 1;
    const startMs = clock.getMonotonicTime();
    let respondedMs = startMs;
    const run = async () => {
      this.claimUs.recordValue(toMicroseconds(clock.getMonotonicTime() - startMs));
      await clock.sleep(SERVICE_MS);
      respondedMs = clock.getMonotonicTime();
      return this.makeResponse();
    };
    try {
      await this.guard.execute(this.makeAttempt(run), new AbortController().signal);
      this.recordUs.recordValue(toMicroseconds(clock.getMonotonicTime() - respondedMs));
    } catch {
      this.refused += 1;
    }
  }

  private makeAttempt(run: () => Promise<IResponse>): IGuardedAttempt {
    return {
      request: {
        member: this.setting.member,
        route: this.route,
        method: 'POST',
        path: '/jobs',
        headers: [],
        body: Buffer.from('job'),
        deadlineMs: this.services.clock.getMonotonicTime() + DEADLINE_MS,
        caller: 'caller',
        idempotencyKey: `key-${this.bookings}`,
      },
      estimateRefusal: () => undefined,
      run,
    };
  }

  private makeResponse(): IResponse {
    return {
      status: 201,
      headers: [
        ['content-type', 'application/json'],
        ['location', '/jobs/17'],
      ],
      body: new Uint8Array(this.setting.answerBytes),
      code: ResultCode.Ok,
      runState: RunState.Ran,
    };
  }
}

function toMicroseconds(durationMs: number): number {
  return Math.min(MAX_US, Math.max(1, Math.round(durationMs * US)));
}

function makeHistogram(): Histogram {
  return build({ highestTrackableValue: MAX_US, numberOfSignificantValueDigits: 3 });
}
