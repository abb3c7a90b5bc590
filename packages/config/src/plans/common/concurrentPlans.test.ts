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
const CONFLICT_CODES: readonly number[] = [
  ResultCode.HostTaken,
  ResultCode.TargetAddressTaken,
  ResultCode.PlanStale,
];

interface IRace {
  readonly seed: number;
  /** Share of lost responses, in percent. */
  readonly lostPercent: number;
  readonly staleness: number;
  /** For each operator: the index of its member and the contested resources in its intent. */
  readonly operators: readonly {
    readonly member: number;
    readonly hasContestedHost: boolean;
    readonly hasContestedTarget: boolean;
  }[];
}

const races: fc.Arbitrary<IRace> = fc.record({
  seed: fc.integer({ min: 1, max: 1_000_000 }),
  lostPercent: fc.constantFrom(0, 20, 45),
  staleness: fc.constantFrom(0, 1, 4),
  operators: fc.array(
    fc.record({
      member: fc.integer({ min: 0, max: MEMBERS.length - 1 }),
      hasContestedHost: fc.boolean(),
      hasContestedTarget: fc.boolean(),
    }),
    { minLength: 2, maxLength: 6 },
  ),
});

function createIntent(race: IRace, index: number): Intent {
  const operator = race.operators[index]!;
  const ownTarget = `127.0.${operator.member + 1}.${index + 1}:9001`;
  const sharedTarget = `127.0.${operator.member + 1}.200:9001`;
  return createTestIntent(MEMBERS[operator.member]!, {
    host: operator.hasContestedHost ? CONTESTED_HOST : `host-${index}.example`,
    targets: operator.hasContestedTarget
      ? [sharedTarget, CONTESTED_TARGET]
      : [sharedTarget, ownTarget],
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
      // An operator repeats the request if the store is unavailable.
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
 * Guards against two owners of a host name or a target, and against wrong results for operators.
 * Competing plans for the same host, address or base revision are confirmed concurrently, while
 * responses are lost after their writes took effect and reads are served by lagging replicas. A
 * decision on rows that are not conditions of the writing transaction would be wrong.
 */
test('of concurrent plans for the same host, target or base revision, only one is confirmed', async () => {
  await fc.assert(
    fc.asyncProperty(races, async (race) => {
      const { rows, outcomes, repeated } = await runRace(race);
      const confirmed = race.operators.flatMap((operator, index) => {
        const outcome = outcomes[index]!;
        return 'revision' in outcome ? [{ ...operator, index, revision: outcome.revision }] : [];
      });
      const revisions = confirmed.map((plan) => plan.revision).sort((a, b) => a - b);
      assert.deepEqual(
        revisions,
        revisions.map((_, index) => index + 1),
        'each confirmation has a separate revision',
      );
      assert.equal(decodeHead(rows.get(HEAD_KEY)), confirmed.length);
      const members = confirmed.map((plan) => plan.member);
      assert.equal(new Set(members).size, members.length, 'one confirmed plan per base revision');
      const changes = [...rows.keys()].filter((key) => key.startsWith(CHANGE_PREFIX));
      assert.equal(changes.length, confirmed.length);
      for (const plan of confirmed) {
        const pointer = decodePointer(rows.get(formatMemberKey(MEMBERS[plan.member]!)));
        assert.equal(Number(pointer?.fleetRevision), plan.revision);
      }
      const hostOwners = confirmed.filter((plan) => plan.hasContestedHost);
      const targetOwners = confirmed.filter((plan) => plan.hasContestedTarget);
      assert.ok(hostOwners.length <= 1 && targetOwners.length <= 1);
      assert.equal(
        decodeOwner(rows.get(formatHostKey(CONTESTED_HOST)))?.member,
        getName(hostOwners),
      );
      assert.equal(
        decodeOwner(rows.get(formatTargetKey(CONTESTED_TARGET)))?.member,
        getName(targetOwners),
      );
      assert.ok(confirmed.length > 0, 'at least one plan is confirmed');
      assert.deepEqual(repeated.map(describeOutcome), outcomes.map(describeOutcome));
    }),
    { seed: 11, numRuns: RUNS },
  );
});

test('the error of a rejected plan discloses nothing about the competing member', async () => {
  await fc.assert(
    fc.asyncProperty(races, async (race) => {
      const { outcomes, plans } = await runRace(race);
      outcomes.forEach((outcome, index) => {
        if ('revision' in outcome) return;
        const ownMember = race.operators[index]!.member;
        assert.ok(CONFLICT_CODES.includes(outcome.error.code), outcome.error.message);
        const shown = `${outcome.error.message} ${JSON.stringify(outcome.error)}`;
        const foreign = plans
          .filter((plan) => plan.member !== MEMBERS[ownMember])
          .flatMap((plan) => [plan.member, plan.id, plan.intent?.note ?? '']);
        for (const word of foreign) assert.ok(!shown.includes(word), `${shown} has ${word}`);
      });
    }),
    { seed: 12, numRuns: RUNS },
  );
});

function getName(confirmed: readonly { readonly member: number }[]): string | undefined {
  return confirmed[0] === undefined ? undefined : MEMBERS[confirmed[0].member];
}

function describeOutcome(outcome: Outcome): string {
  // A repeated rejection may have another reason, because the member's revision can have changed.
  return 'revision' in outcome ? `revision ${outcome.revision}` : 'rejected';
}
