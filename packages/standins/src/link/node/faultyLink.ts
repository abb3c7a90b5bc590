/**
 * A TCP relay that injects network faults. Cutting one direction discards its bytes and leaves both
 * connections open, as a one-way partition does: neither end receives a close or a reset.
 */
import type { AddressInfo, Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import type { IDisposable } from '@parsleymux/base';
import { mergeFaults } from '../../control/common/faultSettings.js';

const DEFAULT_HOST = '127.0.0.1';
const RESET_PROBE = '\r\n';

/** Active faults, for existing and new connections. */
export interface ILinkFaults {
  /** Discard bytes from the client to the server. */
  readonly cutForward: boolean;
  /** Discard bytes from the server to the client. */
  readonly cutBackward: boolean;
  /** Delay in each direction, in ms. */
  readonly delayMs: number;
  /** Refuse new connections; existing ones are unaffected. */
  readonly refuse: boolean;
}

/** No faults and no delay. */
export const NO_LINK_FAULTS: ILinkFaults = {
  cutForward: false,
  cutBackward: false,
  delayMs: 0,
  refuse: false,
};

/** Options of a {@link FaultyLink}. */
export interface IFaultyLinkOptions {
  /** IP address and port to relay to. */
  readonly to: string;
  /** Address within 127.0.0.0/8. Default 127.0.0.1. */
  readonly host?: string;
  readonly faults?: Partial<ILinkFaults>;
}

interface IRelayedConnection {
  readonly client: Socket;
  readonly upstream: Socket;
  isSilent: boolean;
}

/**
 * A relay to one address.
 *
 * @example
 * const link = new FaultyLink({ to: '127.0.0.1:9000' });
 * await link.start();
 * link.setFaults({ cutBackward: true });
 * link.dispose();
 */
export class FaultyLink implements IDisposable {
  private readonly options: IFaultyLinkOptions;
  private readonly connections = new Set<IRelayedConnection>();
  private readonly server: Server;
  private port = 0;
  private faults: ILinkFaults;
  private bytesDiscarded = 0;

  constructor(options: IFaultyLinkOptions) {
    this.options = options;
    this.faults = { ...NO_LINK_FAULTS, ...options.faults };
    this.server = createServer({ allowHalfOpen: true }, (client) => {
      this.acceptConnection(client);
    });
  }

  async start(): Promise<void> {
    if (!this.faults.refuse) await this.listen();
  }

  /** IP address and port to connect to. */
  getAddress(): string {
    return `${this.options.host ?? DEFAULT_HOST}:${this.port}`;
  }

  getFaults(): ILinkFaults {
    return this.faults;
  }

  getConnectionCount(): number {
    return this.connections.size;
  }

  /** Number of bytes discarded by cuts and on silenced connections. */
  getBytesDiscarded(): number {
    return this.bytesDiscarded;
  }

  /** Replaces the given faults. */
  async setFaults(patch: Partial<ILinkFaults>): Promise<void> {
    this.faults = mergeFaults(this.faults, patch);
    if (this.faults.refuse) this.stopListening();
    else if (!this.server.listening) await this.listen();
  }

  /** Permanently discards all further bytes of the open connections; new connections work. */
  markConnectionsSilent(): void {
    for (const connection of this.connections) connection.isSilent = true;
  }

  /** Resets every open connection at both ends. */
  resetConnections(): void {
    for (const { client, upstream } of this.connections) {
      client.resetAndDestroy();
      upstream.resetAndDestroy();
    }
  }

  dispose(): void {
    this.stopListening();
    for (const { client, upstream } of this.connections) {
      client.destroy();
      upstream.destroy();
    }
  }

  /** Listens on the previous port, if any, because clients know no other. */
  private async listen(): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.port, this.options.host ?? DEFAULT_HOST, () => {
        this.server.off('error', reject);
        resolve();
      });
    });
    this.port = (this.server.address() as AddressInfo).port;
  }

  /** Open connections continue, so the close event is not awaited: it occurs only after they end. */
  private stopListening(): void {
    if (this.server.listening) this.server.close();
  }

  private acceptConnection(client: Socket): void {
    const [host, port] = parseAddress(this.options.to);
    const upstream = connect({ host, port, allowHalfOpen: true });
    const connection: IRelayedConnection = { client, upstream, isSilent: false };
    this.connections.add(connection);
    this.forwardBytes(connection, client, upstream, () => this.faults.cutForward);
    this.forwardBytes(connection, upstream, client, () => this.faults.cutBackward);
    client.on('end', () => {
      this.forwardEnd(connection, upstream, () => this.faults.cutForward);
    });
    upstream.on('end', () => {
      // libuv reports a reset that arrives together with data as an orderly end. Forwarding that end
      // would make a truncated response look complete. A write tells the two apart: it fails on a
      // reset connection and succeeds after an orderly end, and servers skip an empty line.
      upstream.write(RESET_PROBE, (error) => {
        if (error) this.forwardReset(connection, client, () => this.faults.cutBackward);
        else this.forwardEnd(connection, client, () => this.faults.cutBackward);
      });
    });
  }

  /** Forwards one direction of a connection. */
  private forwardBytes(
    connection: IRelayedConnection,
    from: Socket,
    to: Socket,
    isCut: () => boolean,
  ): void {
    from.setNoDelay(true);
    from.on('data', (chunk) => {
      this.forwardLater(connection, to, isCut, chunk.length, () => {
        writeWithBackPressure(from, to, chunk);
      });
    });
    from.on('error', () => {
      this.forwardReset(connection, to, isCut);
    });
    from.on('close', () => {
      // A cut hides the close from the other side, which keeps waiting as on a real network.
      if (!connection.isSilent && !isCut()) to.destroySoon();
      if (to.destroyed) this.connections.delete(connection);
    });
  }

  private forwardEnd(connection: IRelayedConnection, to: Socket, isCut: () => boolean): void {
    this.forwardLater(connection, to, isCut, 0, () => to.end());
  }

  private forwardReset(connection: IRelayedConnection, to: Socket, isCut: () => boolean): void {
    this.forwardLater(connection, to, isCut, 0, () => to.resetAndDestroy());
  }

  /** Checks for a cut with each chunk, so that a new cut takes effect immediately. */
  private forwardLater(
    connection: IRelayedConnection,
    to: Socket,
    isCut: () => boolean,
    byteCount: number,
    callback: () => void,
  ): void {
    this.runAfterDelay(() => {
      if (connection.isSilent || isCut()) this.bytesDiscarded += byteCount;
      else if (!to.destroyed) callback();
    });
  }

  private runAfterDelay(callback: () => void): void {
    if (this.faults.delayMs === 0) callback();
    else setTimeout(callback, this.faults.delayMs);
  }
}

/** Pauses reading while the receiver's buffer is full, which bounds memory use. */
function writeWithBackPressure(from: Socket, to: Socket, chunk: Buffer): void {
  if (to.write(chunk)) return;
  from.pause();
  to.once('drain', () => from.resume());
}

function parseAddress(address: string): readonly [host: string, port: number] {
  const colon = address.lastIndexOf(':');
  return [address.slice(0, colon), Number(address.slice(colon + 1))];
}
