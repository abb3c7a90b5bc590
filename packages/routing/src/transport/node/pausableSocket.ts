/** A socket whose reader can be kept waiting. */
import { Socket } from 'node:net';

/** Empty lines before a request are skipped by every server that still reads. */
const END_CHECK_BYTES = '\r\n';

/**
 * Gives its reader nothing while it is paused; what arrives fills the socket's own buffer and then
 * stays with the sender.
 *
 * undici has a pause of its own. When the connection of an answer marked `connection: close` ends
 * while that pause is on, undici 7.30 fails an assertion in a socket event: an uncaught error that
 * ends the process. One target that resets a connection to a slow reader would end the node for
 * every member. So undici's pause is never used, and its parser reads what this socket lets through.
 *
 * @example
 * const socket = new PausableSocket();
 * socket.connect({ host, port });
 */
export class PausableSocket extends Socket {
  private isReadingStopped = false;
  private isEndCheckPending = false;

  override read(size?: number): unknown {
    return this.isReadingStopped ? null : (super.read(size) as unknown);
  }

  /**
   * Has the next end of the stream checked before anybody hears of it.
   *
   * When a reset arrives together with data, libuv reports an orderly end. An answer that only the
   * end of its connection frames would then look whole though its target crashed midway. Writing
   * tells the two apart: a connection that was reset takes no byte, one that ended in order does,
   * and the other side has stopped to read requests by then.
   */
  startEndCheck(): void {
    this.isEndCheckPending = true;
  }

  override push(chunk: unknown, encoding?: BufferEncoding): boolean {
    if (chunk !== null || !this.isEndCheckPending) return super.push(chunk, encoding);
    this.isEndCheckPending = false;
    this.write(END_CHECK_BYTES, (error) => {
      if (error) this.destroy(error);
      else super.push(null);
    });
    return false;
  }

  /** Keeps the reader waiting. */
  stopReading(): void {
    this.isReadingStopped = true;
  }

  /** Lets the reader go on, in a turn of its own: it may be in the middle of a chunk now. */
  startReading(): void {
    if (!this.isReadingStopped) return;
    this.isReadingStopped = false;
    setImmediate(() => {
      if (!this.isReadingStopped && !this.destroyed) this.emit('readable');
    });
  }
}
