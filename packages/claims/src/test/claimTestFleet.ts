/** Test fleet: several guards that share a table, with targets that count executions. */
import assert from 'node:assert/strict';
import { create } from '@bufbuild/protobuf';
import {
  InvariantName,
  InvariantRegistry,
  ManualClock,
  MuxError,
  ResultCode,
  RunState,
  SeededRandom,
} from '@parsleymux/base';
import type { IResponse, IRoutedRequest } from '@parsleymux/routing';
import { RouteSchema } from '@parsleymux/schema';
import { REPLAY_HEADER } from '../claim/common/responseCodec.js';
import type { IClaimGuardOptions } from '../guard/common/claimGuardOptions.js';
import { ClaimGuard } from '../guard/common/claimGuard.js';
import type { IClaimLookUpResponse, IClaimLookUpRequest } from '../peer/common/claimPeer.js';
import { ClaimPeer } from '../peer/common/claimPeer.js';
import { FakeObjectStore, FakeTable } from './fakeTable.js';
import { FakeTarget, TargetBehavior } from './fakeTarget.js';
import type { IProcessFault } from './processGate.js';
import { GatedClock, GatedTable, ProcessGate } from './processGate.js';

const STEP_MS = 5;
/** Refusals that cover only the refused request; the state of its key was not determined. */
const REQUEST_SCOPED_CODES: ReadonlySet<ResultCode> = new Set([
  ResultCode.ClaimStoreUnavailable,
  ResultCode.IdempotencyKeyConflict,
  ResultCode.DeadlinePassed,
  ResultCode.CallerGone,
]);

/** A test request and the behavior of its target; every field has a default. */
export interface ITestRequest {
  readonly key?: string | undefined;
  readonly member?: string;
  readonly body?: string;
  readonly deadlineMs?: number;
  readonly lookUpPath?: string;
  readonly behavior?: TargetBehavior;
  readonly refusal?: MuxError;
  readonly signal?: AbortSignal;
}

/** A request that was sent, with its result. */
export interface ITestCall {
  readonly request: IRoutedRequest;
  readonly startMs: number;
  readonly done: Promise<void>;
  result: PromiseSettledResult<IResponse> | undefined;
  endMs: number;
}

interface ITestNode {
  readonly guard: ClaimGuard;
  readonly gate: ProcessGate;
}

/** An in-memory fleet. */
export class ClaimTestFleet extends ClaimPeer {
  readonly clock = new ManualClock({ startMs: 1_700_000_000_000 });
  readonly table = new FakeTable({ clock: this.clock });
  readonly objects = new FakeObjectStore();
  readonly invariants = new InvariantRegistry();
  readonly target = new FakeTarget(this.clock);
  readonly calls: ITestCall[] = [];
  private readonly nodes = new Map<string, ITestNode>();

  /** Starts a process at `address`, replacing any earlier one. */
  addNode(
    address: string,
    fault?: IProcessFault,
    options: Partial<IClaimGuardOptions> = {},
  ): ProcessGate {
    const gate = new ProcessGate(this.clock, fault);
    const guard = new ClaimGuard({
      table: new GatedTable(this.table, gate),
      objects: this.objects,
      clock: new GatedClock(this.clock, gate),
      random: new SeededRandom(address.length),
      invariants: this.invariants,
      nodeAddress: address,
      peer: this,
      lookUp: this.target,
      isLive: (peer) => this.nodes.get(peer)?.gate.isDead === false,
      ...options,
    });
    this.nodes.set(address, { guard, gate });
    return gate;
  }

  getGuard(address: string): ClaimGuard {
    return this.getNode(address).guard;
  }

  override async lookUp(
    address: string,
    request: IClaimLookUpRequest,
  ): Promise<IClaimLookUpResponse> {
    await this.clock.sleep(1);
    const { guard, gate } = this.getNode(address);
    if (gate.isDead) throw new Error('connection refused');
    await gate.advance();
    return guard.lookUpHandler.handle(request);
  }

  /** Sends a request through the node at `address` without waiting for its result. */
  send(address: string, options: ITestRequest = {}): ITestCall {
    const { guard, gate } = this.getNode(address);
    const request = makeRequest(this.clock, `caller-${this.calls.length}`, options);
    const guarded = {
      request,
      estimateRefusal: () => options.refusal,
      run: () => this.target.serve(request, options.behavior ?? TargetBehavior.Respond, gate),
    };
    const response = guard.execute(guarded, options.signal ?? new AbortController().signal);
    const call: ITestCall = {
      request,
      startMs: this.clock.getMonotonicTime(),
      done: Promise.allSettled([response]).then(([result]) => {
        call.result = result;
        call.endMs = this.clock.getMonotonicTime();
      }),
      result: undefined,
      endMs: Infinity,
    };
    this.calls.push(call);
    return call;
  }

  /** Sends a request and advances the clock until it has a result. */
  async execute(address: string, options: ITestRequest = {}): Promise<ITestCall> {
    const call = this.send(address, options);
    await this.finish(call);
    return call;
  }

  /** Advances the clock until the call has a result. */
  async finish(call: ITestCall, limitMs = 60_000): Promise<void> {
    const untilMs = this.clock.getMonotonicTime() + limitMs;
    while (call.result === undefined && this.clock.getMonotonicTime() < untilMs) {
      await this.clock.advanceBy(STEP_MS);
    }
    assert.ok(call.result, 'the request has no result');
  }

  /** Asserts that no key ran twice and that every result matches the executions. */
  assertInvariants(): void {
    for (const call of this.calls) {
      const executions = this.target.getExecutions(call.request);
      assert.ok(executions.length <= 1, `ran ${executions.length} times`);
      if (call.result !== undefined) this.assertTruthful(call);
    }
    assert.equal(this.invariants.getViolationCount(InvariantName.AtMostOnce), 0);
    assert.equal(this.invariants.getViolationCount(InvariantName.TruthfulRefusal), 0);
  }

  private assertTruthful(call: ITestCall): void {
    const executions = this.target.getExecutions(call.request);
    if (call.result?.status === 'fulfilled') {
      assert.equal(
        readText(call),
        executions[0]?.response,
        'the response is that of the execution',
      );
      return;
    }
    const { code, runState } = getError(call);
    if (runState === RunState.Ran) assert.equal(executions.length, 1, `${code} reported as run`);
    if (runState !== RunState.NotRun) return;
    const ofThisRequest = executions.filter(({ request }) => request === call.request.caller);
    assert.equal(ofThisRequest.length, 0, `${code} reported as not run, but this request ran`);
    if (REQUEST_SCOPED_CODES.has(code)) return;
    const earlier = executions.filter(({ startMs }) => startMs < call.startMs);
    assert.equal(earlier.length, 0, `${code} reported as not run, but the key had run`);
  }

  private getNode(address: string): ITestNode {
    const node = this.nodes.get(address);
    assert.ok(node, `no node at ${address}`);
    return node;
  }
}

/** Returns the response body as text. */
export function readText(call: ITestCall): string {
  if (call.result?.status !== 'fulfilled') return `refused: ${String(call.result?.reason)}`;
  const { body } = call.result.value;
  assert.ok(body instanceof Uint8Array);
  return Buffer.from(body).toString();
}

export function isReplayed(call: ITestCall): boolean {
  if (call.result?.status !== 'fulfilled') return false;
  return call.result.value.headers.some(([name]) => name === REPLAY_HEADER);
}

/** Returns the error with which a call was refused. */
export function getError(call: ITestCall): MuxError {
  assert.equal(call.result?.status, 'rejected', 'the call was refused');
  const reason: unknown = call.result.reason;
  assert.ok(reason instanceof MuxError, String(reason));
  return reason;
}

export function assertRefused(call: ITestCall, code: ResultCode, runState: RunState): void {
  const error = getError(call);
  assert.deepEqual([error.code, error.runState], [code, runState], error.message);
}

function makeRequest(clock: ManualClock, caller: string, options: ITestRequest): IRoutedRequest {
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
    caller,
    idempotencyKey: 'key' in options ? options.key : 'key-1',
  };
}
