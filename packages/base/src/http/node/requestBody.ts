/** Reads the complete body of a request within limits of its size, its time and the memory. */
import type { IncomingMessage } from 'node:http';
import type { Clock } from '../../clock/common/clock.js';
import type { IDisposable } from '../../lifecycle/common/disposable.js';
import { GrowingBuffer } from '../../memory/common/growingBuffer.js';
import type { MemoryAccount, MemoryBudget } from '../../memory/common/memoryBudget.js';

/** The result of reading a body. */
export const BodyResult = {
  Complete: 'complete',
  /** It is larger than the limit, or its announced length is. */
  TooLarge: 'too-large',
  /** The caller left, or the body is malformed. */
  Aborted: 'aborted',
  /** It was not complete by its deadline. */
  Late: 'late',
  /** It was the largest one when the memory budget was exceeded. */
  Evicted: 'evicted',
} as const;

export type BodyResult = (typeof BodyResult)[keyof typeof BodyResult];

/** Options of a {@link RequestBody}. */
export interface IRequestBodyOptions {
  readonly clock: Clock;
  /** Default: the memory is not counted. */
  readonly budget?: MemoryBudget;
  /** Maximum size, in bytes. */
  readonly maxBytes: number;
  /** Time by which the body must be complete, in ms of the monotonic clock; infinite for none. */
  readonly deadlineMs: number;
}

/**
 * The body of one request. Its memory is counted until it is disposed of, and can be reclaimed only while the body is
 * incomplete: a complete request may already be at a target.
 *
 * @example
 * const body = new RequestBody({ clock, budget, maxBytes, deadlineMs });
 * if ((await body.read(request)) === BodyResult.Complete) send(body.getContent());
 * body.dispose();
 */
export class RequestBody implements IDisposable {
  private readonly buffer: GrowingBuffer;
  private readonly account: MemoryAccount | undefined;
  private finish: ((result: BodyResult) => void) | undefined;

  constructor(private readonly options: IRequestBodyOptions) {
    this.buffer = new GrowingBuffer(options.maxBytes);
    this.account = options.budget?.open(() => this.finish?.(BodyResult.Evicted));
  }

  /** Returns the content; it is valid until the body is disposed of. */
  getContent(): Uint8Array {
    return this.buffer.getContent();
  }

  /** Resolves when the body is complete or can't be accepted; never rejects. Discards the rest of the latter. */
  read(request: IncomingMessage): Promise<BodyResult> {
    const { clock, deadlineMs, maxBytes } = this.options;
    if (Number(request.headers['content-length'] ?? 0) > maxBytes) {
      request.resume();
      return Promise.resolve(BodyResult.TooLarge);
    }
    return new Promise((resolve) => {
      const remainingMs = Math.max(0, deadlineMs - clock.getMonotonicTime());
      const onLate = () => {
        finish(BodyResult.Late);
      };
      const timer = remainingMs < Infinity ? clock.startTimer(remainingMs, onLate) : undefined;
      const onData = (chunk: Buffer) => {
        this.push(chunk);
      };
      const onEnd = () => {
        finish(BodyResult.Complete);
      };
      const onAborted = () => {
        finish(BodyResult.Aborted);
      };
      const finish = (result: BodyResult) => {
        if (this.finish === undefined) return;
        this.finish = undefined;
        void timer?.dispose();
        request.off('data', onData).off('end', onEnd).off('close', onAborted);
        if (result === BodyResult.Complete) {
          this.account?.markProtected();
        } else {
          this.dispose();
          request.resume();
        }
        resolve(result);
      };
      this.finish = finish;
      request.on('data', onData).once('end', onEnd).once('close', onAborted);
      request.on('error', onAborted);
    });
  }

  /** Releases the memory. No attempt may use the content any more. */
  dispose(): void {
    this.buffer.dispose();
    this.account?.close();
  }

  private push(chunk: Buffer): void {
    if (this.buffer.byteLength + chunk.byteLength > this.options.maxBytes) {
      this.finish?.(BodyResult.TooLarge);
      return;
    }
    this.buffer.push(chunk);
    this.account?.add(chunk.byteLength);
  }
}
