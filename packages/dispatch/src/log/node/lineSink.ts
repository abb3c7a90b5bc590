/** Writes log lines to a file descriptor without blocking on its reader. */
import { write } from 'node:fs';
import type { Clock } from '@parsleymux/base';

/** Largest size of lines that wait for a slow reader, in bytes; further lines are dropped and counted. */
const MAX_PENDING_BYTES = 262_144;
/** Rate limit of a node's log lines, and the burst that it may write after a quiet period. */
const LINES_PER_S = 100;
const BURST_LINES = 400;
/** Tokens of the burst that are reserved for important lines. */
const RESERVED_LINES = 200;
const MS_PER_S = 1000;

/**
 * A bounded, asynchronous sink. A blocking write to a full pipe would stop the node for all callers
 * whenever the reader of the log is slow.
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
  /** Lines dropped since the last notice about dropped lines. */
  private droppedSinceNotice = 0;
  /** Lines dropped in total. */
  dropped = 0;

  constructor(
    private readonly descriptor: number,
    private readonly clock: Clock,
  ) {
    this.refilledMs = clock.getMonotonicTime();
  }

  /** Writes or drops a line. Important lines have priority when the rate limit is reached. */
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
      // The reader has closed the pipe: the lines are lost, and the error can't be reported anywhere.
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
