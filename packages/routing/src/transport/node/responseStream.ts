/** The body of a large answer, passed on as its reader asks for it. */

/** Bytes that may wait for the reader before the source is paused. */
const HIGH_WATER_BYTES = 65_536;

/** Options of an {@link ResponseStream}. */
export interface IResponseStreamOptions {
  /** Lets the source go on; called when the reader has taken all that was waiting. */
  readonly resumeSource: () => void;
  /** Called when the reader begins to wait for bytes, and again with false when they came. */
  readonly onReadPendingChange: (isWaiting: boolean) => void;
  /** Called when the reader gives up before the end. */
  readonly onAbandoned: () => void;
}

/** The reader, while it waits for bytes. */
interface IPendingRead {
  readonly resolve: (result: IteratorResult<Uint8Array>) => void;
  readonly reject: (error: Error) => void;
}

/**
 * Holds a bounded number of bytes between a source and one reader.
 *
 * A reader slower than its source would make the process hold the whole body; so the source is
 * paused above a limit, and TCP then slows the target itself.
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

  /** Adds bytes; false asks the source to pause until it is resumed. */
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

  /** The answer is whole. */
  end(): void {
    this.isEnded = true;
    this.takePendingRead()?.resolve({ done: true, value: undefined });
  }

  /** The answer broke: the reader gets what came, then this error. */
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
