/** Another node that observes the targets on simulated time. */
import type { Clock } from '@parsleymux/base';
import type { IObservation, IObservationRequest } from '@parsleymux/routing';
import { TargetObserver } from '@parsleymux/routing';
import type { SimulatedTransport } from './simulatedTransport.js';
import { WORK_HEADER } from './simulatedTransport.js';

/** One-way delay between the home and the observer, in ms. */
const ONE_WAY_DELAY_MS = 1;
const FIRST_SERVER_ERROR = 500;
/** Work of a probe, in ms: that of a usual read, since a probe carries no headers of a caller. */
const DEFAULT_WORK_MS = 50;
const MAX_RESPONSE_BYTES = 1_048_576;

/** Sends probes over its own transport. */
export class SimulatedObserver extends TargetObserver {
  constructor(
    private readonly clock: Clock,
    private readonly transport: SimulatedTransport,
  ) {
    super();
  }

  override async observe(request: IObservationRequest): Promise<IObservation> {
    await this.clock.sleep(ONE_WAY_DELAY_MS);
    const observation = await this.sendProbe(request);
    await this.clock.sleep(ONE_WAY_DELAY_MS);
    return observation;
  }

  private async sendProbe(request: IObservationRequest): Promise<IObservation> {
    const headers = [[WORK_HEADER, String(DEFAULT_WORK_MS)]] as const;
    const signal = new AbortController().signal;
    const options = { signal, freshConnection: true, maxResponseBytes: MAX_RESPONSE_BYTES };
    try {
      const sent = { ...request, headers, body: new Uint8Array() };
      const { status, latencyMs } = await this.transport.send(sent, options);
      return { succeeded: status < FIRST_SERVER_ERROR, status, latencyMs };
    } catch {
      return { succeeded: false, status: 0, latencyMs: Infinity };
    }
  }
}
