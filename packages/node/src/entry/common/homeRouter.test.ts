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
const ANSWER: IResponse = {
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
  readonly seen: string[] = [];
  override readonly onDidChange = () => ({ dispose: () => undefined });

  override getLiveNodes(): readonly INode[] {
    return [];
  }

  override recordContact(address: string): void {
    this.seen.push(`contact ${address}`);
  }

  override recordFailure(address: string): void {
    this.seen.push(`failure ${address}`);
  }

  override recordShutdown(address: string): void {
    this.seen.push(`leaving ${address}`);
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

type Reaction = IResponse | Error;

class ScriptedHop extends HopTransport {
  readonly sent: string[] = [];
  retired = 0;

  constructor(private readonly reactions: Readonly<Record<string, readonly Reaction[]>>) {
    super();
  }

  override send(peer: string): Promise<IResponse> {
    const index = this.sent.filter((sent) => sent === peer).length;
    this.sent.push(peer);
    const reactions = this.reactions[peer] ?? [];
    const reaction = reactions[Math.min(index, reactions.length - 1)];
    assert.ok(reaction !== undefined, `no reaction of ${peer}`);
    return reaction instanceof Error ? Promise.reject(reaction) : Promise.resolve(reaction);
  }

  override retireConnections(): void {
    this.retired += 1;
  }
}

class ScriptedHome extends HomeService {
  served = 0;

  constructor(private readonly reaction: Reaction) {
    super();
  }

  override handle(): Promise<IResponse> {
    this.served += 1;
    return this.reaction instanceof Error
      ? Promise.reject(this.reaction)
      : Promise.resolve(this.reaction);
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

const LOST = new HopError(HopFailure.Lost, 'silent');
const REFUSED = new MuxError({
  code: ResultCode.QueueFull,
  message: 'full',
  runState: RunState.NotRun,
});

function createFixture(
  order: readonly string[],
  reactions: Readonly<Record<string, readonly Reaction[]>>,
  local: Reaction = ANSWER,
  isLeaving = false,
  isStale = false,
) {
  const hop = new ScriptedHop(reactions);
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
    isLeaving: () => isLeaving,
    isStale: () => isStale,
  });
  const serve = () => router.serve(REQUEST, new AbortController().signal);
  return { hop, home, membership, serve };
}

test('a connection gone silent is retired, and the same home is asked on a new one', async () => {
  const { hop, membership, serve } = createFixture(['a:1'], { 'a:1': [LOST, ANSWER] });
  assert.equal(await serve(), ANSWER);
  assert.equal(hop.retired, 1);
  assert.deepEqual(membership.seen, ['contact a:1']);
});

test('a home that stays silent is passed over, and is not trusted next time', async () => {
  const { hop, membership, serve } = createFixture(['a:1', 'b:1'], {
    'a:1': [LOST],
    'b:1': [ANSWER],
  });
  assert.equal(await serve(), ANSWER);
  assert.deepEqual(hop.sent, ['a:1', 'a:1', 'b:1']);
  assert.deepEqual(membership.seen, ['failure a:1', 'contact b:1']);
});

/*
 * Symptom: a caller is told "not run", and its booking is made all the same.
 * Sequence: home A takes the request and is paused; the entry hears nothing and goes to home B;
 * B is full and refuses; A resumes, claims the key and dispatches.
 * Cause: B's refusal is true of B only. Since A may hold the request, the answer must say so.
 */
test('a refusal after a home fell silent does not say "not run"', async () => {
  const { serve } = createFixture(['a:1', 'b:1'], { 'a:1': [LOST], 'b:1': [REFUSED] });
  await assert.rejects(serve(), { code: ResultCode.QueueFull, runState: RunState.MayHaveRun });
});

test('the same holds when the silent home answers at the second try, and for this node', async () => {
  const second = createFixture(['a:1'], { 'a:1': [LOST, REFUSED] });
  await assert.rejects(second.serve(), { runState: RunState.MayHaveRun });
  const here = createFixture(['a:1'], { 'a:1': [LOST] }, REFUSED);
  await assert.rejects(here.serve(), { runState: RunState.MayHaveRun });
});

test('a refusal stays "not run" when no home can have the request', async () => {
  const gone = new HopError(HopFailure.NotDelivered, 'refused');
  const leaving = new HopError(HopFailure.Leaving, 'leaving');
  const behind = new HopError(HopFailure.Behind, 'behind');
  const { membership, serve } = createFixture(
    ['a:1', 'b:1', 'c:1'],
    { 'a:1': [gone], 'b:1': [leaving], 'c:1': [behind] },
    REFUSED,
  );
  await assert.rejects(serve(), { runState: RunState.NotRun });
  assert.deepEqual(membership.seen, ['failure a:1', 'leaving b:1', 'contact c:1']);
});

test('a node that is home itself serves without a hop', async () => {
  const { hop, home, serve } = createFixture([SELF, 'b:1'], {});
  assert.equal(await serve(), ANSWER);
  assert.deepEqual(hop.sent, []);
  assert.equal(home.served, 1);
});

test('a node that leaves sends what it is home of to the next candidate', async () => {
  const { hop, home, serve } = createFixture([SELF, 'b:1'], { 'b:1': [ANSWER] }, ANSWER, true);
  assert.equal(await serve(), ANSWER);
  assert.deepEqual(hop.sent, ['b:1']);
  assert.equal(home.served, 0);
});

test('a node that missed word of the configuration serves by itself only when nobody else can', async () => {
  const { hop, home, serve } = createFixture(
    [SELF, 'b:1'],
    { 'b:1': [ANSWER] },
    ANSWER,
    false,
    true,
  );
  assert.equal(await serve(), ANSWER);
  assert.deepEqual([hop.sent, home.served], [['b:1'], 0]);
  const gone = new HopError(HopFailure.NotDelivered, 'refused');
  const alone = createFixture([SELF, 'b:1'], { 'b:1': [gone] }, ANSWER, false, true);
  assert.equal(await alone.serve(), ANSWER);
  assert.equal(alone.home.served, 1);
});
