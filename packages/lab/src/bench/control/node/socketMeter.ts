/** Counts the bytes on all sockets of this process, by remote and local port. */
import { subscribe } from 'node:diagnostics_channel';
import type { Socket } from 'node:net';

interface ISocketMessage {
  readonly socket: Socket;
}

/** Payload bytes in both directions, without TCP and IP overhead. */
export interface ISocketBytes {
  readonly platform: number;
  readonly others: number;
}

/**
 * Tracks all sockets opened after its creation.
 *
 * @example
 * const meter = new SocketMeter(platformPort, new Set([controlPort]));
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
