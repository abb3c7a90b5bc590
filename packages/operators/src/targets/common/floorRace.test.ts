import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { MuxError } from '@parsleymux/base';
import { InvariantName, InvariantRegistry, ResultCode, SeededRandom } from '@parsleymux/base';
import {
  computeServingSlots,
  decodeEjections,
  decodePointer,
  formatEjectionKey,
  formatMemberKey,
  IntentValidator,
  PlanBuilder,
  PlanStore,
} from '@parsleymux/config';
import { createMemoryPlatform, createTestIntent, InstantClock } from '@parsleymux/config/testing';
import { TableEjectionLedger } from '@parsleymux/routing';
import type { ITableRow } from '@parsleymux/store';
import type { Intent } from '@parsleymux/schema';
import { TargetState } from '@parsleymux/schema';
import fc from 'fast-check';

const MEMBER = 'dobrescu';
const SERVICE = 'booking';
const FLOOR = 12;
const TARGETS = [1, 2, 3, 4, 5, 6].map((index) => `127.0.0.${index}:9001`);
const RUNS = 300;
/** Event loop turns for which a home uses the configuration it read; a plan takes about 200. */
const MAX_STALE_TURNS = 600;

const actions = fc.record({
  kind: fc.constantFrom('eject', 'eject', 'return', 'remove', 'drain', 'restore'),
  target: fc.constantFrom(...TARGETS),
  home: fc.integer({ min: 0, max: 1 }),
});

type Action = Readonly<{ kind: string; target: string; home: number }>;

interface IOptions {
  readonly seed: number;
  /** Homes send the ledger a revision that no plan can exceed, which disables the check of it. */
  readonly omitsRevision?: boolean;
}

/** Two homes that eject by the configuration they read last, and operators who change it. */
class FloorFixture {
  readonly platform;
  readonly invariants = new InvariantRegistry();
  readonly plans: PlanStore;
  readonly ledgers: readonly TableEjectionLedger[];
  readonly intents = new Map<string, Intent>();
  private readonly random: SeededRandom;
  private readonly effectiveEjections = new Set<string>();
  private readonly returning = new Set<string>();
  lowestSlots = Infinity;
  ejected = 0;
  confirmed = 0;
  private readonly signal = new AbortController().signal;

  constructor(private readonly options: IOptions) {
    const random = new SeededRandom(options.seed);
    this.random = random;
    const clock = new InstantClock();
    this.platform = createMemoryPlatform(random);
    const validator = new IntentValidator();
    const shared = { platform: this.platform, clock, random };
    this.plans = new PlanStore({ ...shared, validator, builder: new PlanBuilder() });
    const { table } = this.platform;
    this.ledgers = ['127.0.1.1:1', '127.0.1.2:1'].map((node) => {
      return new TableEjectionLedger({ table, clock, invariants: this.invariants, node });
    });
    table.onDidCommit = (rows) => {
      this.observe(rows);
    };
  }

  /** An ejection lasts until its home returns the target or the target is removed from the service. */
  private observe(rows: ReadonlyMap<string, ITableRow>): void {
    const pointer = decodePointer(rows.get(formatMemberKey(MEMBER)));
    const service = this.intents.get(pointer?.planId ?? '')?.services[0];
    if (service === undefined) return;
    const addresses = new Set(service.targets.map((target) => target.address));
    const row = decodeEjections(rows.get(formatEjectionKey(MEMBER, SERVICE)));
    const listed = row.ejected.map((entry) => entry.target);
    for (const target of this.effectiveEjections) {
      const hasEnded = this.returning.has(target) || !addresses.has(target);
      if (hasEnded && !listed.includes(target)) this.effectiveEjections.delete(target);
    }
    for (const target of listed) this.effectiveEjections.add(target);
    this.lowestSlots = Math.min(
      this.lowestSlots,
      computeServingSlots(service, this.effectiveEjections),
    );
  }

  async confirmIntent(intent: Intent): Promise<void> {
    const plan = await this.plans.propose(intent, 'key');
    this.intents.set(plan.id, intent);
    await this.plans.confirm({ member: MEMBER, planId: plan.id, operator: 'key' });
    this.confirmed += 1;
  }

  async runAction(action: Action): Promise<void> {
    if (action.kind === 'eject') return this.eject(action);
    if (action.kind === 'return') return this.returnTarget(action);
    return this.changeTargets(action);
  }

  private async returnTarget({ home, target }: Action): Promise<void> {
    this.returning.add(target);
    await this.ledgers[home]!.returnTarget(MEMBER, SERVICE, target, this.signal).catch(() => 0);
    this.returning.delete(target);
  }

  private async eject(action: Action): Promise<void> {
    const { memberRevision, intent } = await this.plans.getIntent(MEMBER);
    const service = intent!.services[0]!;
    if (!service.targets.some((target) => target.address === action.target)) return;
    // The home keeps using this configuration for a while, although plans may be confirmed.
    const turns = this.random.getInteger(2) * this.random.getInteger(MAX_STALE_TURNS);
    for (let turn = 0; turn < turns; turn += 1) await Promise.resolve();
    const decision = await this.ledgers[action.home]!.requestEjection(
      {
        member: MEMBER,
        service,
        target: action.target,
        otherwiseUnhealthy: [],
        memberRevision: this.options.omitsRevision === true ? Infinity : memberRevision,
      },
      this.signal,
    );
    if (decision === 'granted') this.ejected += 1;
  }

  private async changeTargets(action: Action): Promise<void> {
    const { intent } = await this.plans.getIntent(MEMBER);
    const addresses = intent!.services[0]!.targets.map((target) => target.address);
    const without = addresses.filter((address) => address !== action.target);
    const targets = action.kind === 'remove' ? without : [...without, action.target];
    const next = createTestIntent(MEMBER, { targets, floorSlots: FLOOR });
    if (action.kind === 'drain') next.services[0]!.targets.at(-1)!.state = TargetState.DRAINING;
    await this.confirmIntent(next).catch((error: unknown) => {
      const { code } = error as MuxError;
      const expected: readonly number[] = [
        ResultCode.FloorWouldBreak,
        ResultCode.PlanStale,
        ResultCode.MalformedIntent,
      ];
      assert.ok(expected.includes(code), String(error));
    });
  }
}

async function runRace(list: readonly Action[], options: IOptions): Promise<FloorFixture> {
  const fixture = new FloorFixture(options);
  await fixture.confirmIntent(createTestIntent(MEMBER, { targets: TARGETS, floorSlots: FLOOR }));
  for (let index = 0; index < list.length; index += 4) {
    await Promise.all(list.slice(index, index + 4).map((action) => fixture.runAction(action)));
  }
  return fixture;
}

/*
 * Guards against fewer healthy slots than the floor although every decision was checked: two homes
 * eject, one by a configuration that a plan has just replaced, while operators remove and drain
 * targets. Ejections and plans use the same capacity, so each check must include the other.
 */
test('plans and ejections of two homes together never reduce capacity below the floor', async () => {
  let ejected = 0;
  let confirmed = 0;
  await fc.assert(
    fc.asyncProperty(fc.nat(), fc.array(actions, { maxLength: 32 }), async (seed, list) => {
      const fixture = await runRace(list, { seed });
      assert.ok(fixture.lowestSlots >= FLOOR, `${fixture.lowestSlots} slots`);
      assert.equal(fixture.invariants.getViolationCount(InvariantName.CapacityFloor), 0);
      ejected += fixture.ejected;
      confirmed += fixture.confirmed;
    }),
    { seed: 31, numRuns: RUNS },
  );
  assert.ok(ejected > RUNS / 2 && confirmed > 2 * RUNS, `${ejected} ejections, ${confirmed} plans`);
});

test('a home that does not send its revision can violate the floor', async () => {
  const samples = fc.sample(fc.array(actions, { minLength: 32, maxLength: 32 }), {
    seed: 32,
    numRuns: 100,
  });
  let violations = 0;
  for (const [seed, list] of samples.entries()) {
    const fixture = await runRace(list, { seed, omitsRevision: true });
    if (fixture.lowestSlots < FLOOR) violations += 1;
  }
  assert.ok(violations > 0);
});
