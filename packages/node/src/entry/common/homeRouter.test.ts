import assert from 'node:assert/strict';
import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { ManualClock, MuxError, ResultCode, RunState } from '@parsleymux/base';
import type { Event } from '@parsleymux/base';
import type { IFleetConfig, IFleetConfigChange } from '@parsleymux/config';
import { ConfigService } from '@parsleymux/config';
import type { INode, IShard } from '@parsleymux/fleet';
import { MembershipService, Placement } from '@parsleymux/fleet';
import type { IResponse, IRoutedRequest } from '@parsleymux/routing';
import { HomeService } from '@parsleymux/routing';
import { MemberConfigSchema, RouteSchema } from '@parsleymux/schema';
import { HopError, HopFailure } from '../../hop/common/hopError.js';
import { HopTransport } from '../../hop/common/hopTransport.js';
import { HomeRouter } from './homeRouter.js';

const SELF = 'self:1';
const ROUTE = create(RouteSchema, { name: 'book', host: 'h', service: 'booking' });
const RESPONSE: IResponse = {
  status: 200,
  headers: [],
  body: new Uint8Array(),
  code: ResultCode.Ok,
  runState: RunState.Ran,
};

class FixedConfig extends ConfigService {
  override readonly onDidChange: Event<IFleetConfigChange> = () => ({ dispose: () => undefined });

  override getCurrent(): IFleetConfig {
    const intent = { member: 'm', services: [{ name: 'booking' }], routes: [ROUTE] };
    const config = create(MemberConfigSchema, { member: 'm', memberRevision: 4n, intent });
    return { fleetRevision: 4, members: new Map([['m', config]]) };
  }
}

class RecordingMembership extends MembershipService {
  readonly recorded: string[] = [];
  override readonly onDidChange = () => ({ dispose: () => undefined });

  override getLiveNodes(): readonly INode[] {
    return [];
  }

  override recordContact(address: string): void {
    this.recorded.push(`contact ${address}`);
  }

  override recordFailure(address: string): void {
    this.recorded.push(`failure ${address}`);
  }

  override recordShutdown(address: string): void {
    this.recorded.push(`shutdown ${address}`);
  }
}

class FixedPlacement extends Placement {
  constructor(private readonly order: readonly string[]) {
    super();
  }

  override setNodes(): void {
    throw new Error('not used');
  }

  override rank(_shard: IShard, count: number): readonly INode[] {
    return this.order.slice(0, count).map((address) => ({ address, failureDomain: 'd' }));
  }
}

type Outcome = IResponse | Error;

class ScriptedHop extends HopTransport {
  readonly sent: string[] = [];
  retired = 0;

  constructor(private readonly outcomes: Readonly<Record<string, readonly Outcome[]>>) {
    super();
  }

  override send(peer: string): Promise<IResponse> {
    const index = this.sent.filter((sent) => sent === peer).length;
    this.sent.push(peer);
    const outcomes = this.outcomes[peer] ?? [];
    const outcome = outcomes[Math.min(index, outcomes.length - 1)];
    assert.ok(outcome !== undefined, `no outcome of ${peer}`);
    return outcome instanceof Error ? Promise.reject(outcome) : Promise.resolve(outcome);
  }

  override retireConnections(): void {
    this.retired += 1;
  }
}

class ScriptedHome extends HomeService {
  served = 0;

  constructor(private readonly outcome: Outcome) {
    super();
  }

  override handle(): Promise<IResponse> {
    this.served += 1;
    return this.outcome instanceof Error
      ? Promise.reject(this.outcome)
      : Promise.resolve(this.outcome);
  }

  override getSpareSlots(): number {
    return 0;
  }

  override getInFlight(): number {
    return 0;
  }

  override getStatus(): readonly [] {
    return [];
  }
}

const REQUEST: IRoutedRequest = {
  member: 'm',
  route: ROUTE,
  method: 'POST',
  path: '/',
  headers: [],
  body: new Uint8Array(),
  deadlineMs: 1000,
  caller: 'c',
  idempotencyKey: 'k',
};

const LOST = new HopError(HopFailure.Lost, 'no response');
const REFUSED = new MuxError({
  code: ResultCode.QueueFull,
  message: 'full',
  runState: RunState.NotRun,
});

function createFixture(
  order: readonly string[],
  outcomes: Readonly<Record<string, readonly Outcome[]>>,
  local: Outcome = RESPONSE,
  isShuttingDown = false,
  isStale = false,
) {
  const hop = new ScriptedHop(outcomes);
  const home = new ScriptedHome(local);
  const membership = new RecordingMembership();
  const router = new HomeRouter({
    clock: new ManualClock(),
    config: new FixedConfig(),
    membership,
    placement: new FixedPlacement(order),
    hop,
    home,
    self: SELF,
    isShuttingDown: () => isShuttingDown,
    isStale: () => isStale,
  });
  const serve = () => router.serve(REQUEST, new AbortController().signal);
  return { hop, home, membership, serve };
}

test('a connection without responses is retired, and the same home is tried on a new one', async () => {
  const { hop, membership, serve } = createFixture(['a:1'], { 'a:1': [LOST, RESPONSE] });
  assert.equal(await serve(), RESPONSE);
  assert.equal(hop.retired, 1);
  assert.deepEqual(membership.recorded, ['contact a:1']);
});

test('a home that sends no response is skipped, and its failure is recorded', async () => {
  const { hop, membership, serve } = createFixture(['a:1', 'b:1'], {
    'a:1': [LOST],
    'b:1': [RESPONSE],
  });
  assert.equal(await serve(), RESPONSE);
  assert.deepEqual(hop.sent, ['a:1', 'a:1', 'b:1']);
  assert.deepEqual(membership.recorded, ['failure a:1', 'contact b:1']);
});

/*
 * Guards against a caller that receives "not run" although its booking is made. Home A receives the
 * request and is paused; the entry gets no response and tries home B, whose queue is full and which
 * refuses; then A resumes, claims the key and dispatches. B's refusal describes only B: since A may
 * have the request, the response must be "may have run".
 */
test('a refusal after a home sent no response is not reported as "not run"', async () => {
  const { serve } = createFixture(['a:1', 'b:1'], { 'a:1': [LOST], 'b:1': [REFUSED] });
  await assert.rejects(serve(), { code: ResultCode.QueueFull, runState: RunState.MayHaveRun });
});

test('a later refusal by the same home or by this node is not reported as "not run" either', async () => {
  const second = createFixture(['a:1'], { 'a:1': [LOST, REFUSED] });
  await assert.rejects(second.serve(), { runState: RunState.MayHaveRun });
  const local = createFixture(['a:1'], { 'a:1': [LOST] }, REFUSED);
  await assert.rejects(local.serve(), { runState: RunState.MayHaveRun });
});

test('a refusal is reported as "not run" when no home can have received the request', async () => {
  const unreachable = new HopError(HopFailure.NotDelivered, 'refused');
  const shuttingDown = new HopError(HopFailure.ShuttingDown, 'shutting down');
  const behind = new HopError(HopFailure.Behind, 'behind');
  const { membership, serve } = createFixture(
    ['a:1', 'b:1', 'c:1'],
    { 'a:1': [unreachable], 'b:1': [shuttingDown], 'c:1': [behind] },
    REFUSED,
  );
  await assert.rejects(serve(), { runState: RunState.NotRun });
  assert.deepEqual(membership.recorded, ['failure a:1', 'shutdown b:1', 'contact c:1']);
});

test('a node that is the home itself serves without a hop', async () => {
  const { hop, home, serve } = createFixture([SELF, 'b:1'], {});
  assert.equal(await serve(), RESPONSE);
  assert.deepEqual(hop.sent, []);
  assert.equal(home.served, 1);
});

test('a node that shuts down sends requests of which it is the home to the next candidate', async () => {
  const { hop, home, serve } = createFixture([SELF, 'b:1'], { 'b:1': [RESPONSE] }, RESPONSE, true);
  assert.equal(await serve(), RESPONSE);
  assert.deepEqual(hop.sent, ['b:1']);
  assert.equal(home.served, 0);
});

test('a node with a stale configuration serves requests locally only when no other home can', async () => {
  const { hop, home, serve } = createFixture(
    [SELF, 'b:1'],
    { 'b:1': [RESPONSE] },
    RESPONSE,
    false,
    true,
  );
  assert.equal(await serve(), RESPONSE);
  assert.deepEqual([hop.sent, home.served], [['b:1'], 0]);
  const unreachable = new HopError(HopFailure.NotDelivered, 'refused');
  const alone = createFixture([SELF, 'b:1'], { 'b:1': [unreachable] }, RESPONSE, false, true);
  assert.equal(await alone.serve(), RESPONSE);
  assert.equal(alone.home.served, 1);
});
