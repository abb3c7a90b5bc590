/** Sends copies of idempotent requests that no caller waits for, on connections of their own. */
import type { IHomeContext } from '../../home/common/homeOptions.js';
import type { SlotPool } from '../../home/common/slotPool.js';
import type { TargetHandle } from '../../target/common/targetHandle.js';
import type { IRequestSample } from './requestSample.js';

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

  /** Undefined when the target has no slot to spare for it. */
  async send(copy: ICopy): Promise<ICopyResult | undefined> {
    const slot = this.pool.takeOf(copy.handle);
    if (slot === undefined) return undefined;
    const timeout = new AbortController();
    const timer = this.context.clock.startTimer(copy.timeoutMs, () => {
      timeout.abort(new Error('copy timed out'));
    });
    try {
      return await this.sendCopy(copy, AbortSignal.any([timeout.signal, copy.signal]));
    } catch {
      return NO_ANSWER;
    } finally {
      void timer.dispose();
      slot.release();
    }
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
      { signal, freshConnection: true, maxAnswerBytes: this.context.maxAnswerBytes },
    );
    return {
      succeeded: answer.status < FIRST_SERVER_ERROR && !answer.notRun,
      answered: true,
      draining: answer.draining,
      latencyMs: answer.latencyMs,
    };
  }
}
