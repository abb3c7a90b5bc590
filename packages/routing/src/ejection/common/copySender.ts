/** Sends copies of idempotent requests that no caller waits for, on connections of their own. */
import type { IHomeContext } from '../../home/common/homeOptions.js';
import type { SlotPool } from '../../home/common/slotPool.js';
import type { TargetHandle } from '../../target/common/targetHandle.js';
import { TransportError, TransportFailure } from '../../transport/common/targetTransport.js';
import type { IRequestSample } from './requestSampler.js';

const FIRST_SERVER_ERROR = 500;

/** What a copy showed. */
export interface ICopyResult {
  readonly succeeded: boolean;
  /** The target answered, be it with a failure. */
  readonly answered: boolean;
  readonly draining: boolean;
  readonly latencyMs: number;
}

const NO_ANSWER: ICopyResult = {
  succeeded: false,
  answered: false,
  draining: false,
  latencyMs: Infinity,
};

/** One copy. */
export interface ICopy {
  readonly handle: TargetHandle;
  readonly sample: IRequestSample;
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
}

/** Sends copies for one service. */
export class CopySender {
  constructor(
    private readonly context: IHomeContext,
    private readonly member: string,
    private readonly pool: SlotPool,
  ) {}

  /** Undefined when it was not sent: no slot or no connection to spare. */
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
    if (failure !== TransportFailure.TooLarge) return NO_ANSWER;
    // The target did answer, with more than a copy may hold. Taken for silence, every check and
    // trial of a service with large answers would accuse healthy targets.
    const latencyMs = this.context.clock.getMonotonicTime() - startMs;
    return { succeeded: true, answered: true, draining: false, latencyMs };
  }

  private async sendCopy(copy: ICopy, signal: AbortSignal): Promise<ICopyResult> {
    const { sample, handle } = copy;
    const answer = await this.context.transport.send(
      {
        target: handle.address,
        member: this.member,
        method: sample.method,
        path: sample.path,
        headers: sample.headers,
        body: sample.body,
        timeoutMs: copy.timeoutMs,
      },
      { signal, freshConnection: true, maxAnswerBytes: this.context.maxResponseBytes },
    );
    return {
      succeeded: answer.status < FIRST_SERVER_ERROR && !answer.notRun,
      answered: true,
      draining: answer.draining,
      latencyMs: answer.latencyMs,
    };
  }
}
