/** Protobuf datagrams over UDP. */
import { once } from 'node:events';
import type { RemoteInfo, Socket } from 'node:dgram';
import { createSocket } from 'node:dgram';
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import type { Logger } from '@parsleymux/base';
import { parseTargetAddress } from '@parsleymux/routing';
import { DatagramSchema } from '@parsleymux/schema';
import type { DatagramBody } from '../common/datagramChannel.js';
import { DatagramChannel } from '../common/datagramChannel.js';

/** Minimum interval between log lines of one kind, in ms. */
const LOG_INTERVAL_MS = 1000;

/** A channel over a bound UDP socket. */
export class UdpChannel extends DatagramChannel {
  private onDatagram: (sender: string, body: DatagramBody) => void = () => undefined;
  private isClosed = false;
  private readonly lastLogMs = { unsent: -Infinity, malformed: -Infinity };
  /** Number of datagrams that could not be sent, and of those that could not be decoded. */
  readonly counts = { unsent: 0, malformed: 0 };

  private constructor(
    private readonly socket: Socket,
    override readonly address: string,
    private readonly log: Logger,
  ) {
    super();
    socket.on('message', (bytes, sender) => {
      this.receive(bytes, sender);
    });
    // The socket emits errors of earlier sends; they are only counted, since datagrams may be lost anyway.
    socket.on('error', (error) => {
      this.counts.unsent += 1;
      this.log.warn('datagram socket error', { reason: error.message });
    });
  }

  /** Binds to an IP address and port; with port 0 the system chooses a port. */
  static async open(address: string, log: Logger): Promise<UdpChannel> {
    const { host, port } = parseTargetAddress(address);
    const socket = createSocket('udp4');
    socket.bind(port, host);
    await once(socket, 'listening');
    return new UdpChannel(socket, `${host}:${socket.address().port}`, log);
  }

  override send(address: string, body: DatagramBody): void {
    // Retransmissions of reports may be pending when the node stops; sending on a closed socket throws.
    if (this.isClosed) return;
    const bytes = this.encode(body);
    if (bytes === undefined) return;
    const { host, port } = parseTargetAddress(address);
    this.socket.send(bytes, port, host, (error) => {
      if (error !== null) this.counts.unsent += 1;
    });
  }

  override setHandler(handler: (sender: string, body: DatagramBody) => void): void {
    this.onDatagram = handler;
  }

  override dispose(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.socket.close();
  }

  private receive(bytes: Uint8Array, sender: RemoteInfo): void {
    const body = this.decode(bytes);
    if (body !== undefined) this.onDatagram(`${sender.address}:${sender.port}`, body);
  }

  /** Callers are timers too, where an exception would end the process. */
  private encode(body: DatagramBody): Uint8Array | undefined {
    try {
      return toBinary(DatagramSchema, create(DatagramSchema, { body }));
    } catch (error) {
      this.counts.unsent += 1;
      this.logDropped('unsent', `datagram ${body.case} can't be encoded`, error);
      return undefined;
    }
  }

  private decode(bytes: Uint8Array): DatagramBody | undefined {
    try {
      const { body } = fromBinary(DatagramSchema, bytes);
      return body.case === undefined ? undefined : body;
    } catch (error) {
      this.counts.malformed += 1;
      this.logDropped('malformed', 'malformed datagram dropped', error);
      return undefined;
    }
  }

  private logDropped(kind: keyof UdpChannel['counts'], message: string, error: unknown): void {
    const nowMs = performance.now();
    if (nowMs - this.lastLogMs[kind] < LOG_INTERVAL_MS) return;
    this.lastLogMs[kind] = nowMs;
    const reason = error instanceof Error ? error.message : String(error);
    this.log.warn(message, { reason, total: this.counts[kind] });
  }
}
