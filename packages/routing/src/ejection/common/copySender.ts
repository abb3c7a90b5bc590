/** Sends copies of idempotent requests, whose responses no caller awaits, on fresh connections. */
import type { IHomeContext } from '../../home/common/homeOptions.js';
import type { SlotPool } from '../../home/common/slotPool.js';
import type { TargetHandle } from '../../target/common/targetHandle.js';
import { TransportError, TransportFailure } from '../../transport/common/targetTransport.js';
import type { IRequestSample } from './requestSampler.js';

const FIRST_SERVER_ERROR = 500;

/** Result of a copy. */
export interface ICopyResult {
  readonly succeeded: boolean;
  /** The target responded, possibly with a failure. */
  readonly hasResponded: boolean;
  /** The target reported that it is draining. */
  readonly draining: boolean;
  readonly latencyMs: number;
}

const NO_RESPONSE: ICopyResult = {
  succeeded: false,
  hasResponded: false,
  draining: false,
  latencyMs: Infinity,
};

/** A copy to send. */
export interface ICopy {
  readonly handle: TargetHandle;
  readonly sample: IRequestSample;
  /** Time limit of the exchange in ms. */
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
}

/** Sends request copies for one service. */
export class CopySender {
  constructor(
    private readonly context: IHomeContext,
    private readonly member: string,
    private readonly pool: SlotPool,
  ) {}

  /** Sends one copy. Returns undefined when it was not sent for lack of a free slot or connection. */
  async send(copy: ICopy): Promise<ICopyResult | undefined> {
    const slot = this.pool.tryReserveOn(copy.handle);
    if (slot === undefined) return undefined;
    const timeout = new AbortController();
    const startMs = this.context.clock.getMonotonicTime();
    const timer = this.context.clock.startTimer(copy.timeoutMs, () => {
      timeout.abort(new Error('copy timed out'));
    });
    try {
      return await this.sendCopy(copy, AbortSignal.any([timeout.signal, copy.signal]));
    } catch (error) {
      return this.toResult(error, startMs);
    } finally {
      void timer.dispose();
      slot.release();
    }
  }

  private toResult(error: unknown, startMs: number): ICopyResult | undefined {
    const failure = error instanceof TransportError ? error.failure : undefined;
    if (failure === TransportFailure.NoConnection) return undefined;
    if (failure !== TransportFailure.TooLarge) return NO_RESPONSE;
    // The target responded, but the body exceeds the limit of a copy. If that counted as silence, every
    // check and trial of a service with large responses would be evidence against healthy targets.
    const latencyMs = this.context.clock.getMonotonicTime() - startMs;
    return { succeeded: true, hasResponded: true, draining: false, latencyMs };
  }

  private async sendCopy(copy: ICopy, signal: AbortSignal): Promise<ICopyResult> {
    const { sample, handle } = copy;
    const response = await this.context.transport.send(
      {
        target: handle.address,
        member: this.member,
        method: sample.method,
        path: sample.path,
        headers: sample.headers,
        body: sample.body,
        timeoutMs: copy.timeoutMs,
      },
      { signal, freshConnection: true, maxResponseBytes: this.context.maxResponseBytes },
    );
    return {
      succeeded: response.status < FIRST_SERVER_ERROR && !response.notRun,
      hasResponded: true,
      draining: response.draining,
      latencyMs: response.latencyMs,
    };
  }
}
