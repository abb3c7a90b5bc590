/** Many clients at once that keep their connections open, each on a plain socket. */
import type { Socket } from 'node:net';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import type { IDisposable } from '@parsleymux/base';
import { parseTargetAddress } from '@parsleymux/routing';
import type { Script } from '../common/crowdScripts.js';

const POLL_MS = 50;
/** Time without any progress after which a crowd is considered quiet, in ms. */
const QUIET_MS = 1500;
/** Time after which connections that are still open count as held for ever, in ms. */
const CLOSE_LIMIT_MS = 60_000;

/** Options of a {@link Crowd}. */
export interface ICrowdOptions {
  readonly address: string;
  /** What each client sends; one client for each script. */
  readonly scripts: readonly Script[];
  /** Whether the clients read what the node sends. Default true. */
  readonly isReading?: boolean;
}

/**
 * Opens all connections at once, and sends on each as fast as the node reads.
 *
 * @example
 * const crowd = new Crowd({ address, scripts });
 * await crowd.waitUntilQuiet();
 */
export class Crowd implements IDisposable {
  private readonly clients: readonly CrowdClient[];

  constructor({ address, scripts, isReading = true }: ICrowdOptions) {
    this.clients = scripts.map((script) => new CrowdClient(address, script, isReading));
  }

  /** Clients whose connection the node has not closed. */
  get openCount(): number {
    return this.clients.filter(({ isClosed }) => !isClosed).length;
  }

  /** Statuses of the responses that the clients have read. */
  listStatuses(): readonly number[] {
    return this.clients.flatMap((client) => client.listStatuses());
  }

  /** Resolves when the node has read nothing, sent nothing and closed nothing for a while. */
  async waitUntilQuiet(): Promise<void> {
    let lastProgress = -1;
    for (let quietMs = 0; quietMs < QUIET_MS; quietMs += POLL_MS) {
      const progress = this.clients.reduce((sum, client) => sum + client.progress, 0);
      if (progress !== lastProgress) quietMs = 0;
      lastProgress = progress;
      await sleep(POLL_MS);
    }
  }

  /** Resolves when the node has closed all connections; rejects if it holds some for ever. */
  async waitUntilClosed(): Promise<void> {
    for (let waitedMs = 0; this.openCount > 0; waitedMs += POLL_MS) {
      if (waitedMs > CLOSE_LIMIT_MS) {
        throw new Error(`the node holds ${this.openCount} connections`);
      }
      await sleep(POLL_MS);
    }
  }

  dispose(): void {
    for (const client of this.clients) client.dispose();
  }
}

class CrowdClient implements IDisposable {
  isClosed = false;
  private readonly socket: Socket;
  private readonly parts: Iterator<Buffer>;
  private receivedBytes = 0;
  /** Beginning of what was received: enough for the statuses of refusals. */
  private text = '';

  constructor(address: string, script: Script, isReading: boolean) {
    this.parts = script()[Symbol.iterator]();
    // The client does not close its side when the node has closed its own.
    this.socket = connect({ ...parseTargetAddress(address), allowHalfOpen: true });
    this.socket.on('error', () => undefined);
    const onEnd = () => {
      this.isClosed = true;
    };
    this.socket.once('end', onEnd);
    this.socket.once('close', onEnd);
    this.socket.on('drain', () => {
      this.send();
    });
    if (isReading) {
      this.socket.on('data', (chunk: Buffer) => {
        this.receivedBytes += chunk.byteLength;
        if (this.text.length < 65_536) this.text += chunk.toString('latin1');
      });
    }
    this.send();
  }

  /** Grows with everything that the node reads, sends or closes. */
  get progress(): number {
    const sent = this.socket.bytesWritten - this.socket.writableLength;
    return sent + this.receivedBytes + (this.isClosed ? 1 : 0);
  }

  listStatuses(): readonly number[] {
    return [...this.text.matchAll(/HTTP\/1\.1 (\d{3}) /g)].map(([, status]) => Number(status));
  }

  dispose(): void {
    this.socket.destroy();
  }

  private send(): void {
    while (!this.socket.destroyed) {
      const part = this.parts.next();
      if (part.done === true || !this.socket.write(part.value)) return;
    }
  }
}
