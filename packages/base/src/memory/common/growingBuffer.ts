/** A contiguous buffer that grows in place, and whose memory is returned without waiting for the garbage collector. */

const FIRST_BYTES = 16_384;

/**
 * Collects the parts of a message of limited size. Parts are copied, since small ones could each keep a much larger
 * buffer; a message in one part is not.
 *
 * @example
 * const buffer = new GrowingBuffer(limits.maxBodyBytes);
 * buffer.push(chunk);
 * send(buffer.getContent());
 * buffer.dispose();
 */
export class GrowingBuffer {
  private single: Uint8Array | undefined;
  private memory: ArrayBuffer | undefined;
  /** Follows the size of the memory. */
  private view = new Uint8Array();
  private size = 0;

  /** Reserves address space for `maxBytes` at most; memory is used as the content grows. */
  constructor(private readonly maxBytes: number) {}

  get byteLength(): number {
    return this.size;
  }

  /** Appends a part. The content must not exceed the maximum size. */
  push(part: Uint8Array): void {
    if (this.size === 0) {
      this.single = part;
    } else {
      this.reserve(this.size + part.byteLength);
      if (this.single !== undefined) this.view.set(this.single);
      this.single = undefined;
      this.view.set(part, this.size);
    }
    this.size += part.byteLength;
  }

  /** Returns the content without copying it; it is valid until the buffer is disposed of. */
  getContent(): Uint8Array {
    if (this.single !== undefined) return this.single;
    return this.memory === undefined ? new Uint8Array() : Buffer.from(this.memory, 0, this.size);
  }

  /** Returns the memory to the system. The content must no longer be in use. */
  dispose(): void {
    this.memory?.resize(0);
    this.memory = undefined;
    this.single = undefined;
    this.size = 0;
  }

  private reserve(bytes: number): void {
    if (this.memory === undefined) {
      this.memory = new ArrayBuffer(0, { maxByteLength: this.maxBytes });
      this.view = new Uint8Array(this.memory);
    }
    if (this.memory.byteLength >= bytes) return;
    const grown = Math.max(bytes, FIRST_BYTES, this.memory.byteLength * 2);
    this.memory.resize(Math.min(this.maxBytes, grown));
  }
}
