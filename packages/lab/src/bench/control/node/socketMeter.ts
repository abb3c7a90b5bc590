/** Counts the bytes of all sockets of this process, by the port at the far or near end. */
import { subscribe } from 'node:diagnostics_channel';
import type { Socket } from 'node:net';

interface ISocketMessage {
  readonly socket: Socket;
}

/** Payload bytes both ways; what TCP and IP add is not in them. */
export interface ISocketBytes {
  readonly platform: number;
  readonly others: number;
}

/**
 * Watches sockets from its creation on.
 *
 * @example
 * const meter = new SocketMeter(platformPort, [controlPort]);
 * meter.getBytes();
 */
export class SocketMeter {
  private readonly open = new Set<Socket>();
  private readonly closed = { platform: 0, others: 0 };

  constructor(
    private readonly platformPort: number,
    private readonly ignoredPorts: ReadonlySet<number>,
  ) {
    const onSocket = (message: unknown) => {
      this.add((message as ISocketMessage).socket);
    };
    subscribe('net.client.socket', onSocket);
    subscribe('net.server.socket', onSocket);
  }

  getBytes(): ISocketBytes {
    const total = { ...this.closed };
    for (const socket of this.open) this.addBytes(socket, socket.remotePort, total);
    return total;
  }

  private add(socket: Socket): void {
    this.open.add(socket);
    let { remotePort } = socket;
    socket.once('connect', () => {
      remotePort = socket.remotePort;
    });
    socket.once('close', () => {
      this.open.delete(socket);
      this.addBytes(socket, remotePort, this.closed);
    });
  }

  private addBytes(
    socket: Socket,
    remotePort: number | undefined,
    total: { platform: number; others: number },
  ): void {
    if (socket.localPort !== undefined && this.ignoredPorts.has(socket.localPort)) return;
    const bytes = socket.bytesRead + socket.bytesWritten;
    if (remotePort === this.platformPort) total.platform += bytes;
    else total.others += bytes;
  }
}
