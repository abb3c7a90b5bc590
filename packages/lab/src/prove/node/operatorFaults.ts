/**
 * Operators who change things at the same moment. What they are told is checked on the spot:
 * of two plans from the same base only one may be confirmed, and a member can't take a rival's
 * host name.
 */
import { TargetState } from '@parsleymux/schema';
import type { ICommandResult } from '../../processes/node/operatorCommand.js';
import { MEMBERS } from '../../processes/common/worldLayout.js';
import type { IFaultStep } from '../common/faultSchedule.js';
import { FaultKind } from '../common/faultSchedule.js';
import type { Injection } from './faultInjector.js';
import { FaultInjector, endNothing, pickElement } from './faultInjector.js';
import type { ProveWorld } from './proveWorld.js';

/** Long enough to see work that comes after the few seconds that a drain may take. */
const MIN_DRAIN_MS = 10_000;

function getPlanId(result: ICommandResult): string | undefined {
  const id = (result.output as { readonly id?: unknown } | undefined)?.id;
  return result.exitCode === 0 && typeof id === 'string' ? id : undefined;
}

function pickMember(pick: number): string {
  return pickElement(MEMBERS, pick) ?? '';
}

/** A member's status says nothing of another's targets. */
async function checkStatus(step: IFaultStep, world: ProveWorld, member: string): Promise<void> {
  const result = await world.lab.getOperator(member, step.pick).run(['status']);
  if (result.exitCode !== 0) return;
  const text = JSON.stringify(result.output);
  const others = world.lab.getTargets().filter((target) => target.member !== member);
  const seen = others.filter(({ address }) => text.includes(`"${address}"`));
  world.findings.check("a member's status shows its own alone", seen.length === 0, () => {
    return `${member} saw ${seen.map(({ address }) => address).join(', ')}`;
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
      operators.map((one) => one.run(['intent', 'submit', file])),
    );
    const ids = submitted.map(getPlanId);
    world.drainedTargets.startConfirmation(member, Date.now());
    const confirmed = await Promise.all(
      operators.map(async (operator, index) => {
        const id = ids[index];
        return id === undefined ? undefined : await operator.run(['plan', 'confirm', id]);
      }),
    );
    const won = confirmed.filter((result) => result?.exitCode === 0).length;
    // Each submission saw the same base only when no other change came between the two.
    world.findings.check('one of two racing plans', won <= 1, () => {
      return `${member}: both ${ids.join(' and ')} were confirmed`;
    });
    await checkStatus(step, world, member);
    return endNothing;
  }
}

class OperatorRivalHost extends FaultInjector {
  override readonly kind = FaultKind.OperatorRivalHost;

  override async start(step: IFaultStep, world: ProveWorld): Promise<Injection> {
    const member = pickMember(step.pick);
    const rival = pickMember(step.pick + 1);
    const file = await world.lab.writeIntent(member, world.lab.getTargets(), { hostsOf: rival });
    const operator = world.lab.getOperator(member, step.pick);
    const id = getPlanId(await operator.run(['intent', 'submit', file]));
    world.drainedTargets.startConfirmation(member, Date.now());
    const result = id === undefined ? undefined : await operator.run(['plan', 'confirm', id]);
    world.findings.check("no member takes a rival's host", result?.exitCode !== 0, () => {
      return `${member} took the hosts of ${rival} by plan ${id ?? ''}`;
    });
    return endNothing;
  }
}

/** A confirmed plan drains a target; after it, the target must see no new work for long. */
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
  new OperatorRivalHost(),
  new OperatorDrain(),
];
