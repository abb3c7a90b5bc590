/** Limits the requests that clients send ahead of their responses. */
import type { Server } from 'node:http';
import type { Socket } from 'node:net';
import { getConnectionEvent } from './connectionLimit.js';

/** Open requests of a connection from which on it is not read, and at which it is read again. */
const MAX_OPEN = 64;
const RESUME_OPEN = 32;
/** Size of the pieces in which input is parsed, in bytes: one read of the socket may contain thousands of requests. */
const PIECE_BYTES = 4096;

/** Options of a {@link PipelineLimit}. */
export interface IPipelineLimitOptions {
  readonly server: Server;
  /** Returns the number of requests of a connection without a complete response. */
  readonly countOpen: (socket: Socket) => number;
}

/**
 * Stops reading a connection on which many requests wait for their responses. TCP flow control then stops the client.
 *
 * @example
 * const limit = new PipelineLimit({ server, countOpen });
 * response.once('close', () => limit.startReading(socket));
 */
export class PipelineLimit {
  private readonly stopped = new WeakSet<Socket>();
  private readonly countOpen: (socket: Socket) => number;

  constructor({ server, countOpen }: IPipelineLimitOptions) {
    this.countOpen = countOpen;
    server.on(getConnectionEvent(server), (socket: Socket) => {
      this.watch(socket);
    });
  }

  /** Must be called when a response of the connection is complete. */
  startReading(socket: Socket): void {
    if (!this.stopped.has(socket) || this.countOpen(socket) > RESUME_OPEN) return;
    this.stopped.delete(socket);
    socket.resume();
  }

  /** Passes what the socket receives to the server's parser in pieces, as long as the limit allows it. */
  private watch(socket: Socket): void {
    const [parse] = socket.listeners('data') as ((chunk: Buffer) => void)[];
    if (parse === undefined) return;
    socket.off('data', parse);
    socket.on('data', (chunk: Buffer) => {
      for (let offset = 0; offset < chunk.byteLength; offset += PIECE_BYTES) {
        if (socket.destroyed) return;
        if (this.countOpen(socket) >= MAX_OPEN) {
          this.stop(socket, chunk.subarray(offset));
          return;
        }
        parse.call(socket, chunk.subarray(offset, offset + PIECE_BYTES));
      }
    });
  }

  /** Keeps the rest of the input in the socket's buffer, whose size is limited. */
  private stop(socket: Socket, rest: Buffer): void {
    this.stopped.add(socket);
    socket.pause();
    socket.unshift(rest);
  }
}
