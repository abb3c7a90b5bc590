/** Connects sockets to targets. */
import type { Socket } from 'node:net';
import { parseTargetAddress } from './targetAddress.js';

/** Starts to connect a socket; the socket's events report the result. */
export abstract class TargetConnector {
  abstract open(socket: Socket, target: string): void;
}

/** Connects over TCP. */
export class TcpTargetConnector extends TargetConnector {
  override open(socket: Socket, target: string): void {
    socket.connect(parseTargetAddress(target));
  }
}
