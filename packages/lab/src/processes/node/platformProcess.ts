/** Starts and controls the platform stand-in in a child process. */
import type { IPlatformCounters, IPlatformFaults } from '@parsleymux/standins';
import type { IVm } from '@parsleymux/store';
import { requestJson } from './jsonRequest.js';
import type { ProcessFleet } from './processFleet.js';
import { Program } from './programs.js';

interface IPlatformReady {
  readonly address: string;
  readonly control: string;
}

/**
 * Client of a platform stand-in's control interface.
 *
 * @example
 * const platform = await startPlatform(fleet, { vmLagMs: 1000 });
 * await platform.setFaults({ outage: 'refused' });
 */
export class PlatformProcess {
  constructor(
    readonly address: string,
    private readonly control: string,
  ) {}

  async setFaults(faults: Partial<IPlatformFaults>): Promise<void> {
    await requestJson(this.control, 'POST', '/control/faults', faults);
  }

  async clearFaults(): Promise<void> {
    await requestJson(this.control, 'DELETE', '/control/faults');
  }

  async fetchCounters(): Promise<IPlatformCounters> {
    return (await requestJson(this.control, 'GET', '/control/counters')) as IPlatformCounters;
  }

  async registerVm(vm: IVm): Promise<void> {
    await requestJson(this.control, 'PUT', '/control/vms', vm);
  }

  async removeVm(address: string): Promise<void> {
    const path = `/control/vms?address=${encodeURIComponent(address)}`;
    await requestJson(this.control, 'DELETE', path);
  }
}

/**
 * Starts the platform stand-in with `faults` active from the start.
 *
 * @example
 * const platform = await startPlatform(fleet, { vmLagMs: 1000 });
 */
export async function startPlatform(
  fleet: ProcessFleet,
  faults: Partial<IPlatformFaults>,
): Promise<PlatformProcess> {
  const child = fleet.start({
    name: 'platform',
    script: Program.Platform,
    args: ['--config', JSON.stringify({ faults })],
  });
  const { address, control } = (await child.waitForReady()) as IPlatformReady;
  return new PlatformProcess(address, control);
}
