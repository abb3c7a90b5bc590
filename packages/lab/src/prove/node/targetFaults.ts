/** Faults of targets: slow, failing, draining, down, or behind a faulty link. */
import type { ITargetFaults } from '@parsleymux/standins';
import { NO_TARGET_FAULTS } from '@parsleymux/standins';
import type { IFaultStep } from '../common/faultSchedule.js';
import { FaultKind } from '../common/faultSchedule.js';
import type { Injection } from './faultInjector.js';
import { FaultInjector, endNothing, pickElement } from './faultInjector.js';
import type { ProveWorld } from './proveWorld.js';

const MAX_SLOWDOWN = 30;

/** A fault that sets values of one target stand-in and later resets them. */
class TargetSetting extends FaultInjector {
  constructor(
    override readonly kind: FaultKind,
    private readonly makeFaults: (step: IFaultStep) => Partial<ITargetFaults>,
  ) {
    super();
  }

  override async start(step: IFaultStep, world: ProveWorld): Promise<Injection> {
    const target = pickElement(world.lab.getTargets(), step.pick);
    if (target === undefined) return 'skipped';
    const group = world.lab.getGroup(target);
    const faults = this.makeFaults(step);
    await group.setFaults(target, faults);
    const names = Object.keys(faults) as (keyof ITargetFaults)[];
    const cleared = Object.fromEntries(names.map((name) => [name, NO_TARGET_FAULTS[name]]));
    return () => group.setFaults(target, cleared);
  }
}

class TargetPartition extends FaultInjector {
  override readonly kind = FaultKind.TargetPartition;

  override async start(step: IFaultStep, world: ProveWorld): Promise<Injection> {
    const link = pickElement(world.getTargetLinks(), step.pick);
    if (link === undefined) return 'skipped';
    const name = step.size < 0.5 ? 'cutForward' : 'cutBackward';
    await link.setFaults({ [name]: true });
    return () => link.setFaults({ [name]: false });
  }
}

class TargetSilent extends FaultInjector {
  override readonly kind = FaultKind.TargetSilent;

  override start(step: IFaultStep, world: ProveWorld): Promise<Injection> {
    const link = pickElement(world.getTargetLinks(), step.pick);
    link?.markConnectionsSilent();
    return Promise.resolve(link === undefined ? 'skipped' : endNothing);
  }
}

export const TARGET_FAULTS: readonly FaultInjector[] = [
  new TargetSetting(FaultKind.TargetSlow, ({ size }) => ({ slowFactor: size * MAX_SLOWDOWN })),
  new TargetSetting(FaultKind.TargetFailing, ({ size }) => ({ failShare: size })),
  new TargetSetting(FaultKind.TargetTruncating, ({ size }) => ({ truncateShare: size })),
  new TargetSetting(FaultKind.TargetDrain, () => ({ draining: true })),
  new TargetSetting(FaultKind.TargetDown, () => ({ down: true })),
  new TargetPartition(),
  new TargetSilent(),
];
