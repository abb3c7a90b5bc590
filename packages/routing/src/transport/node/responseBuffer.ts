/** Holds the body of an incomplete response. */
import type { MemoryAccount, MemoryBudget } from '@parsleymux/base';

const FIRST_BLOCK_BYTES = 4096;
const MAX_BLOCK_BYTES = 262_144;

/**
 * The body of one response. Small chunks are copied into blocks: each would otherwise keep the much larger
 * buffer that was read from the socket.
 */
export class ResponseBuffer {
  private chunks: Uint8Array[] = [];
  private block: Buffer | undefined;
  private blockUsed = 0;
  private readonly account: MemoryAccount;

  /** `onEvict` is called if it is the largest one when the budget is exceeded. */
  constructor(budget: MemoryBudget, onEvict: () => void) {
    this.account = budget.open(() => {
      this.dispose();
      onEvict();
    });
  }

  push(chunk: Uint8Array): void {
    // Most responses have one chunk, which needs no copy.
    if (this.chunks.length === 0) {
      this.chunks.push(chunk);
      this.account.add(chunk.byteLength);
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
    this.account.close();
  }

  /** Returns a block with room; undefined if the buffer was evicted because of it. */
  private getBlock(): Buffer | undefined {
    if (this.block !== undefined && this.blockUsed < this.block.byteLength) return this.block;
    if (this.block !== undefined) this.chunks.push(this.block);
    const bytes = Math.min(MAX_BLOCK_BYTES, Math.max(FIRST_BLOCK_BYTES, this.account.bytes));
    this.block = Buffer.allocUnsafeSlow(bytes);
    this.blockUsed = 0;
    this.account.add(bytes);
    return this.block;
  }
}
