/** Observes the ends of connections that carry several requests at once. */
import type { Socket } from 'node:net';
import type { IDisposable } from '@parsleymux/base';
import { toDisposable } from '@parsleymux/base';

const listenersBySocket = new WeakMap<Socket, Set<() => void>>();

/**
 * Calls `listener` once the connection is closed, at once if it already is. A response's own event is not enough:
 * Node.js emits it only for the response that is being written, not for those that wait behind it. All
 * listeners of a connection share one of its own.
 *
 * @example
 * const subscription = watchConnection(response.req.socket, () => abort.abort());
 * response.once('close', () => void subscription.dispose());
 */
export function watchConnection(socket: Socket, listener: () => void): IDisposable {
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
