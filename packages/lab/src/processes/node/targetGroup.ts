/** Starts the target stand-ins of one service in one child process. */
import type { IExecution, IExecutionsBody, ITargetFaults } from '@parsleymux/standins';
import type { IServiceLayout, ILabTarget } from '../common/worldLayout.js';
import { FAILURE_DOMAINS } from '../common/worldLayout.js';
import { requestJson } from './jsonRequest.js';
import type { ProcessFleet } from './processFleet.js';
import { Program } from './programs.js';

interface ITargetReady {
  readonly targets: readonly { readonly address: string; readonly control: string }[];
}

/**
 * Targets that run in one process and share one record of executions.
 *
 * @example
 * const group = await startTargetGroup(fleet, service, 1);
 * await group.setFaults(group.targets[0], { failShare: 0.5 });
 */
export class TargetGroup {
  constructor(readonly targets: readonly ILabTarget[]) {}

  async setFaults(target: ILabTarget, faults: Partial<ITargetFaults>): Promise<void> {
    await requestJson(target.control, 'POST', '/control/faults', faults);
  }

  async clearFaults(): Promise<void> {
    for (const target of this.targets)
      await requestJson(target.control, 'DELETE', '/control/faults');
  }

  async markConnectionsSilent(target: ILabTarget): Promise<void> {
    await requestJson(target.control, 'POST', '/control/silence');
  }

  async fetchExecutions(): Promise<readonly IExecution[]> {
    const control = this.targets[0]?.control;
    if (control === undefined) return [];
    const body = (await requestJson(control, 'GET', '/control/executions')) as IExecutionsBody;
    return body.executions;
  }
}

/**
 * Starts the targets of a service, with the same number in each failure domain.
 *
 * @example
 * const group = await startTargetGroup(fleet, service, 1);
 */
export async function startTargetGroup(
  fleet: ProcessFleet,
  service: IServiceLayout,
  seed: number,
): Promise<TargetGroup> {
  const domains = FAILURE_DOMAINS.flatMap((domain) => {
    return new Array<string>(service.targetsPerDomain).fill(domain);
  });
  const targets = domains.map((_, index) => ({
    member: service.member,
    service: service.name,
    slots: service.slots,
    maxConnections: service.maxConnections,
    meanServiceMs: service.meanServiceMs,
    seed: seed * 100 + index,
  }));
  const child = fleet.start({
    name: `targets ${service.member}/${service.name}`,
    script: Program.Target,
    args: ['--config', JSON.stringify({ targets })],
  });
  const ready = (await child.waitForReady()) as ITargetReady;
  return new TargetGroup(
    ready.targets.map(({ address, control }, index) => ({
      member: service.member,
      service: service.name,
      failureDomain: domains[index] ?? '',
      address,
      control,
    })),
  );
}
