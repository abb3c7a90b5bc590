/** Limits what the clients of a server may make the process hold. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { setConnectionLimit } from './connectionLimit.js';
import { PipelineLimit } from './pipelineLimit.js';

/** Time without any byte after which a connection is closed, in ms, unless the server is at work for it. */
const INACTIVITY_MS = 60_000;

/**
 * Limits the connections of a server for peers or for the platform and the requests that wait on each of them, and closes
 * those whose client does not read its responses. Must be called after the listeners for requests were added.
 *
 * @example
 * setServerLimits(server, 256);
 */
export function setServerLimits(server: Server, maxConnections: number): void {
  /** Open requests by connection. */
  const open = new WeakMap<Socket, number>();
  server.setTimeout(INACTIVITY_MS, (socket) => {
    if (!open.has(socket) || socket.writableLength > 0) socket.destroy();
  });
  setConnectionLimit(server, { maxConnections, isIdle: (socket) => !open.has(socket) });
  const pipelines = new PipelineLimit({ server, countOpen: (socket) => open.get(socket) ?? 0 });
  const onRequest = ({ socket }: IncomingMessage, response: ServerResponse) => {
    const count = open.get(socket) ?? 0;
    open.set(socket, count + 1);
    response.once('close', () => {
      const left = (open.get(socket) ?? 1) - 1;
      if (left > 0) open.set(socket, left);
      else open.delete(socket);
      pipelines.startReading(socket);
    });
  };
  server.prependListener('request', onRequest);
  // A listener of this event replaces the default response, so none is added where there is none.
  if (server.listenerCount('checkContinue') > 0) {
    server.prependListener('checkContinue', onRequest);
  }
}
