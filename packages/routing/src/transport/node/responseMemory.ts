/** Holds the bodies of incomplete responses, within a limit for all of them together. */

const FIRST_BLOCK_BYTES = 4096;
const MAX_BLOCK_BYTES = 262_144;

/**
 * Limits the memory of all incomplete responses. A response that exceeds it is not necessarily one that is
 * large itself, so the largest one is given up.
 *
 * @example
 * const memory = new ResponseMemory(67_108_864);
 * const buffer = memory.open(() => closeConnection());
 */
export class ResponseMemory {
  private readonly buffers = new Set<ResponseBuffer>();
  private total = 0;

  constructor(private readonly limitBytes: number) {}

  /** Memory in use, in bytes. */
  get usedBytes(): number {
    return this.total;
  }

  /** Opens an empty buffer; `onEvict` is called if it is the largest one when the limit is exceeded. */
  open(onEvict: () => void): ResponseBuffer {
    return new ResponseBuffer(this, onEvict);
  }

  /** Called by a buffer that has grown, or shrunk, by a number of bytes. */
  recordGrowth(buffer: ResponseBuffer, bytes: number): void {
    this.total += bytes;
    if (buffer.allocatedBytes > 0) this.buffers.add(buffer);
    else this.buffers.delete(buffer);
    while (this.total > this.limitBytes) this.discardLargest();
  }

  private discardLargest(): void {
    const [first, ...others] = this.buffers;
    if (first === undefined) return;
    const largest = others.reduce((left, right) => {
      return right.allocatedBytes > left.allocatedBytes ? right : left;
    }, first);
    largest.dispose();
    largest.onEvict();
  }
}

/**
 * The body of one response. Small chunks are copied into blocks: each would otherwise keep the much larger
 * buffer that was read from the socket.
 */
export class ResponseBuffer {
  private chunks: Uint8Array[] = [];
  private block: Buffer | undefined;
  private blockUsed = 0;
  private allocated = 0;

  constructor(
    private readonly memory: ResponseMemory,
    readonly onEvict: () => void,
  ) {}

  /** Memory that the buffer uses, in bytes. */
  get allocatedBytes(): number {
    return this.allocated;
  }

  push(chunk: Uint8Array): void {
    // Most responses have one chunk, which needs no copy.
    if (this.chunks.length === 0) {
      this.chunks.push(chunk);
      this.recordAllocated(chunk.byteLength);
      return;
    }
    for (let offset = 0; offset < chunk.byteLength;) {
      const block = this.getBlock();
      if (block === undefined) return;
      const copied = Math.min(chunk.byteLength - offset, block.byteLength - this.blockUsed);
      block.set(chunk.subarray(offset, offset + copied), this.blockUsed);
      this.blockUsed += copied;
      offset += copied;
    }
  }

  /** Removes and returns the content. */
  take(): readonly Uint8Array[] {
    const taken =
      this.block === undefined
        ? this.chunks
        : [...this.chunks, this.block.subarray(0, this.blockUsed)];
    this.dispose();
    return taken;
  }

  /** Discards the content. */
  dispose(): void {
    this.chunks = [];
    this.block = undefined;
    this.blockUsed = 0;
    this.recordAllocated(-this.allocated);
  }

  /** Returns a block with room; undefined if the buffer was evicted because of it. */
  private getBlock(): Buffer | undefined {
    if (this.block !== undefined && this.blockUsed < this.block.byteLength) return this.block;
    if (this.block !== undefined) this.chunks.push(this.block);
    const bytes = Math.min(MAX_BLOCK_BYTES, Math.max(FIRST_BLOCK_BYTES, this.allocated));
    this.block = Buffer.allocUnsafeSlow(bytes);
    this.blockUsed = 0;
    this.recordAllocated(bytes);
    return this.block;
  }

  private recordAllocated(bytes: number): void {
    this.allocated += bytes;
    this.memory.recordGrowth(this, bytes);
  }
}
