/**
 * A TCP relay between two parties, with the faults of a network between them. Cutting one
 * direction swallows its bytes and leaves both connections open, as a one-way partition does:
 * neither end sees a close or a reset.
 */
import type { AddressInfo, Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import type { IDisposable } from '@parsleymux/base';
import { mergeFaults } from '../../control/common/faultSettings.js';

const DEFAULT_HOST = '127.0.0.1';
const RESET_PROBE = '\r\n';

/** Faults in force, on connections that are open and those to come. */
export interface ILinkFaults {
  /** Swallow what goes from the connecting party to the other. */
  readonly cutForward: boolean;
  /** Swallow what comes back. */
  readonly cutBackward: boolean;
  /** Delay in each direction, in ms. */
  readonly delayMs: number;
  /** Refuse further connections; those that are open go on. */
  readonly refuse: boolean;
}

/** A link that carries everything at once. */
export const NO_LINK_FAULTS: ILinkFaults = {
  cutForward: false,
  cutBackward: false,
  delayMs: 0,
  refuse: false,
};

/** Options of a {@link FaultyLink}. */
export interface IFaultyLinkOptions {
  /** IP number and port to relay to. */
  readonly to: string;
  /** Address within 127.0.0.0/8. Default 127.0.0.1. */
  readonly host?: string;
  readonly faults?: Partial<ILinkFaults>;
}

interface IRelayedConnection {
  readonly near: Socket;
  readonly far: Socket;
  isSilent: boolean;
}

/**
 * A relay of one address.
 *
 * @example
 * const link = new FaultyLink({ to: '127.0.0.1:9000' });
 * await link.start();
 * link.setFaults({ cutBackward: true });
 * link.dispose();
 */
export class FaultyLink implements IDisposable {
  private readonly options: IFaultyLinkOptions;
  private readonly pairs = new Set<IRelayedConnection>();
  private readonly server: Server;
  private port = 0;
  private faults: ILinkFaults;
  private bytesDiscarded = 0;

  constructor(options: IFaultyLinkOptions) {
    this.options = options;
    this.faults = { ...NO_LINK_FAULTS, ...options.faults };
    this.server = createServer({ allowHalfOpen: true }, (near) => {
      this.acceptConnection(near);
    });
  }

  async start(): Promise<void> {
    if (!this.faults.refuse) await this.listen();
  }

  /** IP number and port to connect to. */
  getAddress(): string {
    return `${this.options.host ?? DEFAULT_HOST}:${this.port}`;
  }

  getFaults(): ILinkFaults {
    return this.faults;
  }

  getConnectionCount(): number {
    return this.pairs.size;
  }

  /** Bytes that a cut or a silence kept from arriving. */
  getBytesDiscarded(): number {
    return this.bytesDiscarded;
  }

  /** Changes the faults in part. */
  async setFaults(patch: Partial<ILinkFaults>): Promise<void> {
    this.faults = mergeFaults(this.faults, patch);
    if (this.faults.refuse) this.stopListening();
    else if (!this.server.listening) await this.listen();
  }

  /** Swallows whatever the open connections carry from now on; later ones work. */
  markConnectionsSilent(): void {
    for (const pair of this.pairs) pair.isSilent = true;
  }

  /** Resets every open connection at both ends. */
  resetConnections(): void {
    for (const { near, far } of this.pairs) {
      near.resetAndDestroy();
      far.resetAndDestroy();
    }
  }

  dispose(): void {
    this.stopListening();
    for (const { near, far } of this.pairs) {
      near.destroy();
      far.destroy();
    }
  }

  /** On the former port when there was one, since the other party knows no other. */
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

  /** Connections that are open go on; a server that waited for their end would wait for ever. */
  private stopListening(): void {
    if (this.server.listening) this.server.close();
  }

  private acceptConnection(near: Socket): void {
    const [host, port] = parseAddress(this.options.to);
    const far = connect({ host, port, allowHalfOpen: true });
    const pair: IRelayedConnection = { near, far, isSilent: false };
    this.pairs.add(pair);
    this.forwardBytes(pair, near, far, () => this.faults.cutForward);
    this.forwardBytes(pair, far, near, () => this.faults.cutBackward);
    near.on('end', () => {
      this.forwardEnd(pair, far, () => this.faults.cutForward);
    });
    far.on('end', () => {
      // libuv reports a reset that arrives together with data as an orderly end. Passed on as one,
      // it would make an answer that broke off look whole. A reset connection takes no byte; one
      // that ended in order does, and servers skip an empty line.
      far.write(RESET_PROBE, (error) => {
        if (error) this.forwardReset(pair, near, () => this.faults.cutBackward);
        else this.forwardEnd(pair, near, () => this.faults.cutBackward);
      });
    });
  }

  /** Copies one direction. */
  private forwardBytes(
    pair: IRelayedConnection,
    from: Socket,
    to: Socket,
    isCut: () => boolean,
  ): void {
    from.setNoDelay(true);
    from.on('data', (chunk) => {
      this.forwardLater(pair, to, isCut, chunk.length, () => {
        writeWithBackPressure(from, to, chunk);
      });
    });
    from.on('error', () => {
      this.forwardReset(pair, to, isCut);
    });
    from.on('close', () => {
      // A cut hides the end of one side from the other, which then waits as on a real network.
      if (!pair.isSilent && !isCut()) to.destroySoon();
      if (to.destroyed) this.pairs.delete(pair);
    });
  }

  private forwardEnd(pair: IRelayedConnection, to: Socket, isCut: () => boolean): void {
    this.forwardLater(pair, to, isCut, 0, () => to.end());
  }

  private forwardReset(pair: IRelayedConnection, to: Socket, isCut: () => boolean): void {
    this.forwardLater(pair, to, isCut, 0, () => to.resetAndDestroy());
  }

  /** A cut is asked for anew with each piece, so that it acts at once. */
  private forwardLater(
    pair: IRelayedConnection,
    to: Socket,
    isCut: () => boolean,
    byteCount: number,
    act: () => void,
  ): void {
    this.runAfterDelay(() => {
      if (pair.isSilent || isCut()) this.bytesDiscarded += byteCount;
      else if (!to.destroyed) act();
    });
  }

  private runAfterDelay(act: () => void): void {
    if (this.faults.delayMs === 0) act();
    else setTimeout(act, this.faults.delayMs);
  }
}

/** Stops reading while the receiver is slow, so that a slow reader does not fill our memory. */
function writeWithBackPressure(from: Socket, to: Socket, chunk: Buffer): void {
  if (to.write(chunk)) return;
  from.pause();
  to.once('drain', () => from.resume());
}

function parseAddress(address: string): readonly [host: string, port: number] {
  const colon = address.lastIndexOf(':');
  return [address.slice(0, colon), Number(address.slice(colon + 1))];
}
