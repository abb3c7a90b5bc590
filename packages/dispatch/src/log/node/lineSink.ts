/** Writes log lines to a file descriptor without ever waiting for its reader. */
import { write } from 'node:fs';
import type { Clock } from '@parsleymux/base';

/** Lines that wait for a slow reader, in bytes; what comes on top is dropped and counted. */
const MAX_PENDING_BYTES = 262_144;
/** Lines a second that a node may write, and how many it may write at once after a quiet time. */
const LINES_PER_S = 100;
const BURST_LINES = 400;
/** Of these, lines that tell nothing bad leave this many to those that do. */
const RESERVED_LINES = 200;
const MS_PER_S = 1000;

/**
 * A bounded, asynchronous sink. A blocking write to a full pipe would stop the whole node, for
 * every caller, because somebody does not read its log.
 *
 * @example
 * const sink = new LineSink(1, clock);
 * sink.write('{"message":"started"}', true);
 */
export class LineSink {
  private pending: string[] = [];
  private pendingBytes = 0;
  private isWriting = false;
  private tokens = BURST_LINES;
  private refilledMs: number;
  /** Lines that were dropped since the last line that said so, and in all. */
  private droppedSinceNotice = 0;
  dropped = 0;

  constructor(
    private readonly descriptor: number,
    private readonly clock: Clock,
  ) {
    this.refilledMs = clock.getMonotonicTime();
  }

  /** `isImportant` keeps the line ahead of others when there are too many. */
  write(line: string, isImportant: boolean): void {
    if (!this.takeToken(isImportant)) {
      this.dropped += 1;
      this.droppedSinceNotice += 1;
      return;
    }
    if (this.droppedSinceNotice > 0) {
      const lines = this.droppedSinceNotice;
      this.droppedSinceNotice = 0;
      this.push(JSON.stringify({ level: 'warn', message: 'log lines dropped', lines }));
    }
    this.push(line);
  }

  private takeToken(isImportant: boolean): boolean {
    const nowMs = this.clock.getMonotonicTime();
    const gained = ((nowMs - this.refilledMs) * LINES_PER_S) / MS_PER_S;
    this.tokens = Math.min(BURST_LINES, this.tokens + gained);
    this.refilledMs = nowMs;
    const minTokens = isImportant ? 1 : RESERVED_LINES;
    if (this.tokens < minTokens || this.pendingBytes > MAX_PENDING_BYTES) return false;
    this.tokens -= 1;
    return true;
  }

  private push(line: string): void {
    this.pending.push(line);
    this.pendingBytes += line.length;
    if (!this.isWriting) this.flush();
  }

  private flush(): void {
    const text = `${this.pending.join('\n')}\n`;
    this.pending = [];
    this.pendingBytes = 0;
    this.isWriting = true;
    this.writeRest(Buffer.from(text));
  }

  private writeRest(bytes: Buffer): void {
    write(this.descriptor, bytes, (error, written) => {
      // Nobody is left to read: the lines are lost, and there is nowhere to say so.
      const rest = error === null ? bytes.subarray(written) : bytes.subarray(bytes.length);
      if (rest.length > 0) {
        this.writeRest(rest);
        return;
      }
      this.isWriting = false;
      if (this.pending.length > 0) this.flush();
    });
  }
}
