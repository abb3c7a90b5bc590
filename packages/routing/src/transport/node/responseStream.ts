/** The body of a large response, streamed at the speed of its reader. */

/** Bytes that may be buffered before the source is paused. */
const HIGH_WATER_BYTES = 65_536;

/** Options of a {@link ResponseStream}. */
export interface IResponseStreamOptions {
  /** Resumes the source; called when the reader has taken all buffered chunks. */
  readonly resumeSource: () => void;
  /**
   * Called with true when the reader starts to wait for data, and with false when the wait has
   * ended.
   */
  readonly onReadPendingChange: (isPending: boolean) => void;
  /** Called when the reader stops before the end. */
  readonly onAbandoned: () => void;
}

/** A read that waits for data. */
interface IPendingRead {
  readonly resolve: (result: IteratorResult<Uint8Array>) => void;
  readonly reject: (error: Error) => void;
}

/**
 * Buffers a bounded number of bytes between a source and one reader.
 *
 * With a slow reader the process would otherwise buffer the whole body. The source is therefore
 * paused above a limit, and TCP flow control then slows the target.
 *
 * @example
 * for await (const chunk of stream) response.write(chunk);
 */
export class ResponseStream implements AsyncIterable<Uint8Array> {
  private readonly options: IResponseStreamOptions;
  private readonly chunks: Uint8Array[] = [];
  private bufferedBytes = 0;
  private pendingRead: IPendingRead | undefined;
  private isEnded = false;
  private error: Error | undefined;

  constructor(options: IResponseStreamOptions) {
    this.options = options;
  }

  /** Adds a chunk; returns false when the source must pause until it is resumed. */
  push(chunk: Uint8Array): boolean {
    const pendingRead = this.takePendingRead();
    if (pendingRead !== undefined) {
      pendingRead.resolve({ done: false, value: chunk });
      return true;
    }
    this.chunks.push(chunk);
    this.bufferedBytes += chunk.byteLength;
    return this.bufferedBytes < HIGH_WATER_BYTES;
  }

  /** Ends the stream: the response is complete. */
  end(): void {
    this.isEnded = true;
    this.takePendingRead()?.resolve({ done: true, value: undefined });
  }

  /** Ends the stream with an error, which the reader receives after the buffered chunks. */
  close(error: Error): void {
    if (this.isEnded) return;
    this.error ??= error;
    this.takePendingRead()?.reject(this.error);
  }

  [Symbol.asyncIterator](): AsyncIterator<Uint8Array> {
    return {
      next: () => this.takeChunk(),
      return: () => this.cancel(),
    };
  }

  private takeChunk(): Promise<IteratorResult<Uint8Array>> {
    const chunk = this.chunks.shift();
    if (chunk !== undefined) {
      this.bufferedBytes -= chunk.byteLength;
      if (this.chunks.length === 0) this.options.resumeSource();
      return Promise.resolve({ done: false, value: chunk });
    }
    if (this.error !== undefined) return Promise.reject(this.error);
    if (this.isEnded) return Promise.resolve({ done: true, value: undefined });
    return new Promise((resolve, reject) => {
      this.pendingRead = { resolve, reject };
      this.options.onReadPendingChange(true);
    });
  }

  private cancel(): Promise<IteratorResult<Uint8Array>> {
    this.chunks.length = 0;
    const isOpen = !this.isEnded && this.error === undefined;
    this.end();
    if (isOpen) this.options.onAbandoned();
    return Promise.resolve({ done: true, value: undefined });
  }

  private takePendingRead(): IPendingRead | undefined {
    const pendingRead = this.pendingRead;
    if (pendingRead === undefined) return undefined;
    this.pendingRead = undefined;
    this.options.onReadPendingChange(false);
    return pendingRead;
  }
}
