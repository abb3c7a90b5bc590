/** Several guards over one table, with targets that count executions. For tests. */
import type { MuxError } from '@parsleymux/base';
import {
  InvariantRegistry,
  ManualClock,
  ResultCode,
  RunState,
  SeededRandom,
} from '@parsleymux/base';
import { create } from '@bufbuild/protobuf';
import type { IAnswer, IGuardedAttempt, IRoutedRequest } from '@parsleymux/routing';
import { RouteSchema } from '@parsleymux/schema';
import type { IClaimGuardOptions } from '../guard/common/claimGuard.js';
import { ClaimGuard } from '../guard/common/claimGuard.js';
import type { IClaimLookUpAnswer, IClaimLookUpQuestion } from '../peer/common/claimPeer.js';
import { ClaimPeer } from '../peer/common/claimPeer.js';
import { FakeObjects, FakeTable } from './fakeTable.js';

/** What a request is made of; every field has a default. */
export interface IRequestOptions {
  readonly key?: string | undefined;
  readonly member?: string;
  readonly body?: string;
  readonly deadlineMs?: number;
  readonly lookUpPath?: string;
}

/** How the home behaves toward one attempt. */
export interface IRunOptions {
  readonly run?: () => Promise<IAnswer>;
  readonly estimateRefusal?: () => MuxError | undefined;
  readonly signal?: AbortSignal;
}

/** A fleet in memory. */
export class ClaimWorld extends ClaimPeer {
  readonly clock = new ManualClock({ startMs: 1_700_000_000_000 });
  readonly table = new FakeTable({ clock: this.clock });
  readonly objects = new FakeObjects();
  readonly invariants = new InvariantRegistry();
  /** Executions by member and key. */
  readonly executions = new Map<string, number>();
  /** Nodes that answer no questions. */
  readonly silent = new Set<string>();
  private readonly guards = new Map<string, ClaimGuard>();

  /** A guard at `address`; one that had the address before is forgotten, as a killed process. */
  addGuard(address: string, options: Partial<IClaimGuardOptions> = {}): ClaimGuard {
    const guard = new ClaimGuard({
      table: this.table,
      objects: this.objects,
      clock: this.clock,
      random: new SeededRandom(address.length),
      invariants: this.invariants,
      nodeAddress: address,
      peer: this,
      ...options,
    });
    this.guards.set(address, guard);
    return guard;
  }

  override async lookUp(
    address: string,
    question: IClaimLookUpQuestion,
  ): Promise<IClaimLookUpAnswer> {
    await this.clock.sleep(1);
    const guard = this.guards.get(address);
    if (guard === undefined || this.silent.has(address)) throw new Error('no answer');
    return guard.lookUpHandler.handle(question);
  }

  /** Runs to the end of a promise on the manual clock, or fails after `limitMs`. */
  async settle<T>(promise: Promise<T>, limitMs = 60_000): Promise<PromiseSettledResult<T>> {
    let settled: PromiseSettledResult<T> | undefined;
    void Promise.allSettled([promise]).then(([result]) => {
      settled = result;
    });
    const untilMs = this.clock.getMonotonicTime() + limitMs;
    while (settled === undefined && this.clock.getMonotonicTime() < untilMs) {
      await this.clock.advanceBy(1);
    }
    if (settled === undefined) throw new Error('did not settle');
    return settled;
  }

  execute(
    guard: ClaimGuard,
    requestOptions: IRequestOptions = {},
    runOptions: IRunOptions = {},
  ): Promise<IAnswer> {
    const request = makeRequest(this.clock, requestOptions);
    const attempt: IGuardedAttempt = {
      request,
      estimateRefusal: runOptions.estimateRefusal ?? (() => undefined),
      run: runOptions.run ?? (() => this.executeAtTarget(request)),
    };
    return guard.execute(attempt, runOptions.signal ?? new AbortController().signal);
  }

  /** One execution at the target, taking `durationMs`. */
  async executeAtTarget(request: IRoutedRequest, durationMs = 20): Promise<IAnswer> {
    const name = `${request.member}/${request.idempotencyKey ?? ''}`;
    const count = (this.executions.get(name) ?? 0) + 1;
    this.executions.set(name, count);
    await this.clock.sleep(durationMs);
    return makeAnswer(`booked ${name} as ${count}`);
  }
}

/** A request of a route that is not idempotent. */
export function makeRequest(clock: ManualClock, options: IRequestOptions = {}): IRoutedRequest {
  const route = create(RouteSchema, {
    name: 'booking',
    host: 'booking.example',
    pathPrefix: '/',
    service: 'booking',
    keyHeader: 'idempotency-key',
    lookUpPath: options.lookUpPath ?? '',
  });
  return {
    member: options.member ?? 'north',
    route,
    method: 'POST',
    path: '/jobs',
    headers: [['content-type', 'text/plain']],
    body: Buffer.from(options.body ?? 'job'),
    deadlineMs: clock.getMonotonicTime() + (options.deadlineMs ?? 5000),
    caller: 'caller',
    idempotencyKey: 'key' in options ? options.key : 'key-1',
  };
}

/** An answer of a target that executed. */
export function makeAnswer(text: string): IAnswer {
  return {
    status: 201,
    headers: [['content-type', 'text/plain']],
    body: Buffer.from(text),
    code: ResultCode.Ok,
    runState: RunState.Ran,
  };
}
