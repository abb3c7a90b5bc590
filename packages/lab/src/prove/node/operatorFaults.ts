/**
 * Concurrent changes by operators. Their results are checked immediately: of two plans from the same
 * base only one may be confirmed, and a member can't take a host name of a competing member.
 */
import { TargetState } from '@parsleymux/schema';
import type { ICommandResult } from '../../processes/node/operatorCommand.js';
import { MEMBERS } from '../../processes/common/worldLayout.js';
import type { IFaultStep } from '../common/faultSchedule.js';
import { FaultKind } from '../common/faultSchedule.js';
import type { Injection } from './faultInjector.js';
import { FaultInjector, endNothing, pickElement } from './faultInjector.js';
import type { ProveWorld } from './proveWorld.js';

/** Long enough to detect new work after the few seconds that a drain may take. */
const MIN_DRAIN_MS = 10_000;

function getPlanId(result: ICommandResult): string | undefined {
  const id = (result.output as { readonly id?: unknown } | undefined)?.id;
  return result.exitCode === 0 && typeof id === 'string' ? id : undefined;
}

function pickMember(pick: number): string {
  return pickElement(MEMBERS, pick) ?? '';
}

/** Checks that a member's status shows no target of another member. */
async function checkStatus(step: IFaultStep, world: ProveWorld, member: string): Promise<void> {
  const result = await world.lab.getOperator(member, step.pick).run(['status']);
  if (result.exitCode !== 0) return;
  const text = JSON.stringify(result.output);
  const foreignTargets = world.lab.getTargets().filter((target) => target.member !== member);
  const shown = foreignTargets.filter(({ address }) => text.includes(`"${address}"`));
  world.findings.check("a member's status shows its own alone", shown.length === 0, () => {
    return `${member} saw ${shown.map(({ address }) => address).join(', ')}`;
  });
}

class OperatorRace extends FaultInjector {
  override readonly kind = FaultKind.OperatorRace;

  override async start(step: IFaultStep, world: ProveWorld): Promise<Injection> {
    const member = pickMember(step.pick);
    const file = await world.lab.writeIntent(member, world.lab.getTargets(), {
      note: `race at ${step.atMs}`,
      floorChange: -(step.pick % 3),
    });
    const operators = [0, 1].map((index) => world.lab.getOperator(member, step.pick + index));
    const submitted = await Promise.all(
      operators.map((submitter) => submitter.run(['intent', 'submit', file])),
    );
    const ids = submitted.map(getPlanId);
    world.drainedTargets.startConfirmation(member, Date.now());
    const confirmed = await Promise.all(
      operators.map(async (operator, index) => {
        const id = ids[index];
        return id === undefined ? undefined : await operator.run(['plan', 'confirm', id]);
      }),
    );
    const confirmedCount = confirmed.filter((result) => result?.exitCode === 0).length;
    // Both plans have the same base unless another change came between the submissions.
    world.findings.check('one of two racing plans', confirmedCount <= 1, () => {
      return `${member}: both ${ids.join(' and ')} were confirmed`;
    });
    await checkStatus(step, world, member);
    return endNothing;
  }
}

class OperatorHostConflict extends FaultInjector {
  override readonly kind = FaultKind.OperatorHostConflict;

  override async start(step: IFaultStep, world: ProveWorld): Promise<Injection> {
    const member = pickMember(step.pick);
    const competitor = pickMember(step.pick + 1);
    const file = await world.lab.writeIntent(member, world.lab.getTargets(), {
      hostsOf: competitor,
    });
    const operator = world.lab.getOperator(member, step.pick);
    const id = getPlanId(await operator.run(['intent', 'submit', file]));
    world.drainedTargets.startConfirmation(member, Date.now());
    const result = id === undefined ? undefined : await operator.run(['plan', 'confirm', id]);
    world.findings.check("no member takes a rival's host", result?.exitCode !== 0, () => {
      return `${member} took the hosts of ${competitor} by plan ${id ?? ''}`;
    });
    return endNothing;
  }
}

/** Drains a target by a confirmed plan; after that, the target must get no new work. */
class OperatorDrain extends FaultInjector {
  override readonly kind = FaultKind.OperatorDrain;

  override async start(step: IFaultStep, world: ProveWorld): Promise<Injection> {
    const target = pickElement(world.lab.getTargets(), step.pick);
    if (target === undefined) return 'skipped';
    const operator = world.lab.getOperator(target.member, step.pick);
    const file = await world.lab.writeIntent(target.member, world.lab.getTargets(), {
      states: new Map([[target.address, TargetState.DRAINING]]),
      floorChange: -100,
    });
    const id = getPlanId(await operator.run(['intent', 'submit', file]));
    if (id === undefined) return 'skipped';
    const confirmation = world.drainedTargets.startConfirmation(target.member, Date.now());
    const result = await operator.run(['plan', 'confirm', id]);
    if (result.exitCode !== 0) return 'skipped';
    world.drainedTargets.open(target, confirmation, Date.now());
    const watched = new Promise((resolve) => setTimeout(resolve, MIN_DRAIN_MS));
    return async () => {
      await watched;
      await world.restoreIntent(target.member);
    };
  }
}

export const OPERATOR_FAULTS: readonly FaultInjector[] = [
  new OperatorRace(),
  new OperatorHostConflict(),
  new OperatorDrain(),
];
