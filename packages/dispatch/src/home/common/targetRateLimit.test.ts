import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock, ResultCode, createSilentLogger } from '@parsleymux/base';
import type { IGrantRequest } from '../../grants/common/grant.js';
import { GrantOutcome } from '../../grants/common/grant.js';
import { makeGrantRequest, makeQuarantine, makeTarget } from '../../test/builders.js';
import { ServiceScheduler } from './serviceScheduler.js';
import { TargetRateLimit } from './targetRateLimit.js';
import type { ITicket } from './ticket.js';

const STEP_MS = 1;
const LIMITED = makeTarget('t1');

/** Takes all that a limit gives for some time; the moments of the grants. */
function takeAll(limit: TargetRateLimit, fromMs: number, toMs: number): readonly number[] {
  const grantedMs: number[] = [];
  for (let nowMs = fromMs; nowMs < toMs; nowMs += STEP_MS) {
    if (!limit.isOpen(nowMs)) continue;
    limit.recordGrant(nowMs);
    grantedMs.push(nowMs);
  }
  return grantedMs;
}

class Home {
  readonly scheduler: ServiceScheduler;

  constructor(readonly clock = new ManualClock()) {
    this.scheduler = new ServiceScheduler({
      service: 'booking',
      clock,
      log: createSilentLogger(),
      quarantine: makeQuarantine(clock),
      floorShare: 0.7,
      retries: { windowMs: 10_000, ratio: 0.2, burst: 10 },
    });
    this.scheduler.setTargets([LIMITED]);
  }

  ask(fields: Partial<IGrantRequest> = {}): ITicket {
    return this.scheduler.requestGrant(makeGrantRequest(fields), 'n1', () => undefined);
  }

  finish(ticket: ITicket, rateLimit?: number): void {
    const answer = { answerBytes: 0, isDraining: false, rateLimit };
    this.scheduler.recordOutcome(ticket, GrantOutcome.Succeeded, 50, answer);
  }

  get ratePerS(): number | undefined {
    return this.scheduler.listTargets()[0]?.rateLimit.ratePerS;
  }

  /** Asks for more than the target takes, until `forMs` have passed; how many were granted. */
  async countGrants(forMs: number): Promise<number> {
    let granted = 0;
    const endMs = this.clock.getMonotonicTime() + forMs;
    while (this.clock.getMonotonicTime() < endMs) {
      const ticket = this.ask();
      if (ticket.decision?.kind === 'granted') {
        granted += 1;
        this.finish(ticket, this.ratePerS);
      } else this.scheduler.recordOutcome(ticket, GrantOutcome.Abandoned, 0);
      await this.clock.advanceBy(50);
    }
    return granted;
  }
}

test('a target gets the requests that its limit allows, in no window one more than that', () => {
  for (const ratePerS of [0.5, 1.2, 7]) {
    const limit = new TargetRateLimit();
    limit.apply({ ratePerS, atMs: 0 }, 0);
    const grantedMs = takeAll(limit, 0, 40_000);
    assert.ok(Math.abs(grantedMs.length - ratePerS * 40) <= 2, `${grantedMs.length}`);
    for (const startMs of grantedMs) {
      const inWindow = grantedMs.filter((ms) => ms >= startMs && ms < startMs + 4000).length;
      assert.ok(inWindow <= ratePerS * 4 + 1, `${inWindow} at ${ratePerS} a second`);
    }
  }
});

test('two homes that tell each other what they granted keep to one limit', () => {
  // Guards against each of several homes at work granting the whole limit.
  const limits = [new TargetRateLimit(), new TargetRateLimit()];
  for (const limit of limits) limit.apply({ ratePerS: 2, atMs: 0 }, 0);
  const granted = [0, 0];
  for (let nowMs = 0; nowMs < 20_000; nowMs += 500) {
    for (const [index, limit] of limits.entries()) {
      granted[index]! += takeAll(limit, nowMs, nowMs + 500).length;
    }
    for (const [index, limit] of limits.entries()) {
      limit.recordPeerGrants(`home-${1 - index}`, granted[1 - index]!, nowMs + 500);
    }
  }
  const both = granted[0]! + granted[1]!;
  assert.ok(both >= 36 && both <= 46, `${both} of 40`);
});

test('a target that takes nothing is still asked now and then whether it takes more', () => {
  // Guards against a limit of zero that no answer can ever end.
  const limit = new TargetRateLimit();
  limit.apply({ ratePerS: 0, atMs: 0 }, 0);
  const asked = takeAll(limit, 0, 20_000).length;
  assert.ok(asked >= 3 && asked <= 4, `${asked}`);
});

test('a limit ends with an answer that does not name it, to a request granted after it was named', async () => {
  // Guards against the late answer of an older request that ends a limit named meanwhile.
  const home = new Home();
  const [older, naming] = [home.ask(), home.ask()];
  await home.clock.advanceBy(100);
  home.finish(naming, 1.5);
  home.finish(older);
  assert.equal(home.ratePerS, 1.5);
  await home.clock.advanceBy(1000);
  home.finish(home.ask());
  assert.equal(home.ratePerS, undefined);
});

test('a home that takes over keeps to a limit that an entry was told of', async () => {
  // Guards against a limit that is forgotten with the home that knew it.
  const home = new Home();
  await home.clock.advanceBy(5000);
  const limits = [{ targetId: 't1', bornMs: undefined, ratePerS: 1, ageMs: 900 }];
  home.scheduler.recordOutcome(home.ask({ limits }), GrantOutcome.Abandoned, 0);
  const granted = await home.countGrants(4000);
  assert.ok(granted >= 3 && granted <= 5, `${granted}`);
});

test('what an entry was told before the limit ended does not bring it back', async () => {
  const home = new Home();
  home.finish(home.ask(), 1);
  await home.clock.advanceBy(2000);
  home.finish(home.ask());
  await home.clock.advanceBy(5000);
  const limits = [{ targetId: 't1', bornMs: undefined, ratePerS: 1, ageMs: 6900 }];
  home.ask({ limits });
  assert.equal(home.ratePerS, undefined);
});

test('callers are refused at once, with when to come back, where limits leave no room for them', async () => {
  // Guards against requests that wait for a target that takes one a second until their time is over.
  const home = new Home();
  home.finish(home.ask(), 0.5);
  home.ask();
  await home.clock.advanceBy(10);
  const { decision } = home.ask();
  assert.ok(decision?.kind === 'refused');
  assert.equal(decision.code, ResultCode.QueueFull);
  assert.ok(decision.retryAfterMs >= 1000, `${decision.retryAfterMs}`);
});
