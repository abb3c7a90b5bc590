/** Faults of the platform: unavailable, slow, stale, lost responses, or partitioned from one node one way. */
import type { IPlatformFaults } from '@parsleymux/standins';
import { NO_PLATFORM_FAULTS } from '@parsleymux/standins';
import type { IFaultStep } from '../common/faultSchedule.js';
import { FaultKind } from '../common/faultSchedule.js';
import type { Injection } from './faultInjector.js';
import { FaultInjector, endNothing, pickElement } from './faultInjector.js';
import type { ProveWorld } from './proveWorld.js';

const MAX_DELAY_MS = 4000;
const MAX_STALENESS_MS = 8000;
const MAX_LOST_RESPONSES = 10;

/** A fault that sets values of the platform stand-in and later resets them. */
class PlatformSetting extends FaultInjector {
  constructor(
    override readonly kind: FaultKind,
    private readonly makeFaults: (step: IFaultStep) => Partial<IPlatformFaults>,
  ) {
    super();
  }

  override async start(step: IFaultStep, world: ProveWorld): Promise<Injection> {
    const faults = this.makeFaults(step);
    await world.lab.platform.setFaults(faults);
    const names = Object.keys(faults) as (keyof IPlatformFaults)[];
    const cleared = Object.fromEntries(names.map((name) => [name, NO_PLATFORM_FAULTS[name]]));
    return () => world.lab.platform.setFaults(cleared);
  }
}

class PlatformLostResponses extends FaultInjector {
  override readonly kind = FaultKind.PlatformLostResponses;

  override async start(step: IFaultStep, world: ProveWorld): Promise<Injection> {
    const loseNextAnswers = Math.ceil(step.size * MAX_LOST_RESPONSES);
    await world.lab.platform.setFaults({ loseNextAnswers });
    return endNothing;
  }
}

class PlatformPartition extends FaultInjector {
  override readonly kind = FaultKind.PlatformPartition;

  override async start(step: IFaultStep, world: ProveWorld): Promise<Injection> {
    const link = pickElement(world.getPlatformLinks(), step.pick);
    if (link === undefined) return 'skipped';
    const name = step.size < 0.5 ? 'cutForward' : 'cutBackward';
    await link.setFaults({ [name]: true });
    return () => link.setFaults({ [name]: false });
  }
}

export const PLATFORM_FAULTS: readonly FaultInjector[] = [
  new PlatformSetting(FaultKind.PlatformOutage, ({ pick }) => ({
    outage: pick % 2 === 0 ? 'refused' : 'unavailable',
  })),
  new PlatformSetting(FaultKind.PlatformSlow, ({ size }) => ({
    delayMs: Math.round(size * MAX_DELAY_MS),
  })),
  new PlatformSetting(FaultKind.PlatformOneWay, () => ({ oneWay: true })),
  new PlatformSetting(FaultKind.PlatformStale, ({ size }) => ({
    staleMs: Math.round(size * MAX_STALENESS_MS),
  })),
  new PlatformLostResponses(),
  new PlatformPartition(),
];
