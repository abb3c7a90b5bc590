/** A socket whose reader can be paused. */
import { Socket } from 'node:net';

/** Servers skip empty lines before a request, so writing one has no effect on the target. */
const END_CHECK_BYTES = '\r\n';
const CONTINUE_PATTERN = /^HTTP\/1\.1 100[ \r]/;
const CONTINUE_LENGTH = 13;
const HEAD_END = '\r\n\r\n';

/**
 * Delivers no data while it is paused: incoming data fills the socket's own buffer, then TCP flow
 * control stops the sender.
 *
 * undici has its own pause. When the connection of a response marked `connection: close` ends
 * during that pause, undici 7.30 fails an assertion in a socket event: an uncaught error that ends
 * the process. One target that resets a connection to a slow reader would end the node for every
 * member. undici's pause is therefore never used, and its parser reads what this socket delivers.
 *
 * @example
 * const socket = new PausableSocket();
 * socket.connect({ host, port });
 */
export class PausableSocket extends Socket {
  private isReadingStopped = false;
  private isEndCheckPending = false;
  /** Whether no byte of the current response has been delivered. */
  private isResponseDue = false;
  /** Called with the size of each chunk before it is delivered; the chunk is dropped if it returns false. */
  checkChunk: (bytes: number) => boolean = () => true;

  override read(size?: number): unknown {
    if (this.isReadingStopped) return null;
    const chunk = super.read(size) as unknown;
    if (!(chunk instanceof Uint8Array)) return chunk;
    if (!this.checkChunk(chunk.byteLength)) return null;
    return this.isResponseDue ? this.removeContinue(chunk) : chunk;
  }

  /** Must be called when a request is sent. */
  markResponseDue(): void {
    this.isResponseDue = true;
  }

  /**
   * Verifies the next end of the stream before it is delivered.
   *
   * When a reset arrives together with data, libuv reports an orderly end. A response that only the
   * end of its connection delimits would then look complete though its target crashed midway. A
   * write distinguishes the two: it fails on a connection that was reset and succeeds on one that
   * ended in an orderly way. By then the other side no longer reads requests.
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

  /**
   * Removes interim responses `100 Continue` from the beginning of a response. They may be sent to any request (RFC
   * 9110, section 15.2.1), but undici fails the request.
   */
  private removeContinue(chunk: Uint8Array): Uint8Array | null {
    let rest = Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength);
    while (CONTINUE_PATTERN.test(rest.toString('latin1', 0, CONTINUE_LENGTH))) {
      const end = rest.indexOf(HEAD_END);
      if (end === -1) break;
      rest = rest.subarray(end + HEAD_END.length);
    }
    if (rest.byteLength === 0) return null;
    this.isResponseDue = false;
    return rest;
  }

  /** Pauses the reader. */
  stopReading(): void {
    this.isReadingStopped = true;
  }

  /** Resumes the reader in a later turn of the event loop: it may be processing a chunk now. */
  startReading(): void {
    if (!this.isReadingStopped) return;
    this.isReadingStopped = false;
    setImmediate(() => {
      if (!this.isReadingStopped && !this.destroyed) this.emit('readable');
    });
  }
}
