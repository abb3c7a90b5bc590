import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MuxError, ResultCode, SeededRandom } from '@parsleymux/base';
import type { Intent } from '@parsleymux/schema';
import fc from 'fast-check';
import { IntentValidator } from '../../intents/common/intentValidator.js';
import {
  CHANGE_PREFIX,
  formatHostKey,
  formatMemberKey,
  formatTargetKey,
  HEAD_KEY,
} from '../../layout/common/rowKeys.js';
import { decodeHead, decodeOwner, decodePointer } from '../../layout/common/rows.js';
import { InstantClock } from '../../testing/instantClock.js';
import { createTestIntent } from '../../testing/intents.js';
import { createMemoryPlatform } from '../../testing/memoryPlatform.js';
import { PlanBuilder } from './planBuilder.js';
import { PlanStore } from './planStore.js';

const RUNS = 400;
const MEMBERS = ['dobrescu', 'donautal', 'third-firm'];
const CONTESTED_HOST = 'desk.example';
const CONTESTED_TARGET = '127.0.0.99:9001';
const LOSING_CODES: readonly number[] = [
  ResultCode.HostTaken,
  ResultCode.TargetAddressTaken,
  ResultCode.PlanStale,
];

interface IRace {
  readonly seed: number;
  readonly lostPercent: number;
  readonly staleness: number;
  /** For each operator: its member, and what its intent contests. */
  readonly operators: readonly {
    readonly member: number;
    readonly wantsHost: boolean;
    readonly wantsTarget: boolean;
  }[];
}

const races: fc.Arbitrary<IRace> = fc.record({
  seed: fc.integer({ min: 1, max: 1_000_000 }),
  lostPercent: fc.constantFrom(0, 20, 45),
  staleness: fc.constantFrom(0, 1, 4),
  operators: fc.array(
    fc.record({
      member: fc.integer({ min: 0, max: MEMBERS.length - 1 }),
      wantsHost: fc.boolean(),
      wantsTarget: fc.boolean(),
    }),
    { minLength: 2, maxLength: 6 },
  ),
});

function createIntent(race: IRace, index: number): Intent {
  const operator = race.operators[index]!;
  const own = `127.0.${operator.member + 1}.${index + 1}:9001`;
  const common = `127.0.${operator.member + 1}.200:9001`;
  return createTestIntent(MEMBERS[operator.member]!, {
    host: operator.wantsHost ? CONTESTED_HOST : `host-${index}.example`,
    targets: operator.wantsTarget ? [common, CONTESTED_TARGET] : [common, own],
    note: `operator ${index}`,
  });
}

type Outcome = { readonly revision: number } | { readonly error: MuxError };

async function runRace(race: IRace) {
  const random = new SeededRandom(race.seed);
  const platform = createMemoryPlatform(random);
  const store = new PlanStore({
    platform,
    clock: new InstantClock(),
    random,
    validator: new IntentValidator(),
    builder: new PlanBuilder(),
  });
  const plans = await Promise.all(
    race.operators.map((_, index) => store.propose(createIntent(race, index), `key-${index}`)),
  );
  Object.assign(platform.table.faults, {
    lostResponseShare: race.lostPercent / 100,
    staleness: race.staleness,
  });
  const confirm = async (index: number): Promise<Outcome> => {
    const { member, id: planId } = plans[index]!;
    try {
      const plan = await store.confirm({ member, planId, operator: `key-${index}` });
      return { revision: Number(plan.confirmedFleetRevision) };
    } catch (error) {
      assert.ok(error instanceof MuxError, String(error));
      // What an operator does who is told that the store can't be reached: ask again.
      if (error.code === ResultCode.StoreUnavailable) return confirm(index);
      return { error };
    }
  };
  const outcomes = await Promise.all(plans.map((_, index) => confirm(index)));
  Object.assign(platform.table.faults, { lostResponseShare: 0, staleness: 0 });
  const repeated = await Promise.all(plans.map((_, index) => confirm(index)));
  return { rows: platform.table.getRows(), outcomes, repeated, plans };
}

/*
 * Symptom: two members both have a host name or a target, or an operator is told the wrong thing.
 * Sequence: rivals confirm plans for the same host, address or base revision at the same moment,
 * while answers are lost after their writes took effect and reads come from lagging copies.
 * Cause: deciding on rows that are not conditions of the one transaction that writes.
 */
test('of rivals that race for a host, a target or a revision, exactly one wins each', async () => {
  await fc.assert(
    fc.asyncProperty(races, async (race) => {
      const { rows, outcomes, repeated } = await runRace(race);
      const winners = race.operators.flatMap((operator, index) => {
        const outcome = outcomes[index]!;
        return 'revision' in outcome ? [{ ...operator, index, revision: outcome.revision }] : [];
      });
      const revisions = winners.map((winner) => winner.revision).sort((a, b) => a - b);
      assert.deepEqual(
        revisions,
        revisions.map((_, index) => index + 1),
        'each confirmation has a revision of its own',
      );
      assert.equal(decodeHead(rows.get(HEAD_KEY)), winners.length);
      const members = winners.map((winner) => winner.member);
      assert.equal(new Set(members).size, members.length, 'one plan from one base revision');
      const changes = [...rows.keys()].filter((key) => key.startsWith(CHANGE_PREFIX));
      assert.equal(changes.length, winners.length);
      for (const winner of winners) {
        const pointer = decodePointer(rows.get(formatMemberKey(MEMBERS[winner.member]!)));
        assert.equal(Number(pointer?.fleetRevision), winner.revision);
      }
      const ownsHost = winners.filter((winner) => winner.wantsHost);
      const ownsTarget = winners.filter((winner) => winner.wantsTarget);
      assert.ok(ownsHost.length <= 1 && ownsTarget.length <= 1);
      assert.equal(decodeOwner(rows.get(formatHostKey(CONTESTED_HOST)))?.member, getName(ownsHost));
      assert.equal(
        decodeOwner(rows.get(formatTargetKey(CONTESTED_TARGET)))?.member,
        getName(ownsTarget),
      );
      assert.ok(winners.length > 0, 'somebody wins');
      assert.deepEqual(repeated.map(describeOutcome), outcomes.map(describeOutcome));
    }),
    { seed: 11, numRuns: RUNS },
  );
});

test('whoever loses a race learns nothing of the winner', async () => {
  await fc.assert(
    fc.asyncProperty(races, async (race) => {
      const { outcomes, plans } = await runRace(race);
      outcomes.forEach((outcome, index) => {
        if ('revision' in outcome) return;
        const own = race.operators[index]!.member;
        assert.ok(LOSING_CODES.includes(outcome.error.code), outcome.error.message);
        const shown = `${outcome.error.message} ${JSON.stringify(outcome.error)}`;
        const foreign = plans
          .filter((plan) => plan.member !== MEMBERS[own])
          .flatMap((plan) => [plan.member, plan.id, plan.intent?.note ?? '']);
        for (const word of foreign) assert.ok(!shown.includes(word), `${shown} has ${word}`);
      });
    }),
    { seed: 12, numRuns: RUNS },
  );
});

function getName(winners: readonly { readonly member: number }[]): string | undefined {
  return winners[0] === undefined ? undefined : MEMBERS[winners[0].member];
}

function describeOutcome(outcome: Outcome): string {
  // A loser may be told another reason later: its member's revision can have moved on since.
  return 'revision' in outcome ? `revision ${outcome.revision}` : 'lost';
}
