/** Observes the ends of connections that carry several requests at once. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { IDisposable } from '@parsleymux/base';
import { toDisposable } from '@parsleymux/base';

const listenersBySocket = new WeakMap<Socket, Set<() => void>>();
/** A request loses its socket when it is destroyed, for example because its body is too large. */
const socketsByRequest = new WeakMap<IncomingMessage, Socket>();

/**
 * Calls `listener` once the connection of a response is closed, at once if it already is. The response's own event
 * is not enough: Node.js emits it only for the response that is being written, not for those that wait behind
 * it. All listeners of a connection share one of its own. Must first be called when the request arrives.
 *
 * @example
 * const subscription = watchConnection(response, () => abort.abort());
 * response.once('close', () => void subscription.dispose());
 */
export function watchConnection(response: ServerResponse, listener: () => void): IDisposable {
  const socket = socketsByRequest.get(response.req) ?? response.req.socket;
  socketsByRequest.set(response.req, socket);
  if (socket.destroyed) {
    listener();
    return toDisposable(() => undefined);
  }
  const listeners = listenersBySocket.get(socket) ?? startWatching(socket);
  listeners.add(listener);
  return toDisposable(() => {
    listeners.delete(listener);
  });
}

function startWatching(socket: Socket): Set<() => void> {
  const listeners = new Set<() => void>();
  listenersBySocket.set(socket, listeners);
  socket.once('close', () => {
    for (const listener of listeners) listener();
    listeners.clear();
  });
  return listeners;
}
