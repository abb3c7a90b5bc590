/** Datagrams between nodes, which may be lost, duplicated or delayed. */
import type { IDisposable } from '@parsleymux/base';
import type { Datagram } from '@parsleymux/schema';

/** Body of a datagram: one of the schema's messages. */
export type DatagramBody = Exclude<Datagram['body'], { case: undefined }>;

/** Sends datagrams to nodes by address and delivers incoming ones to a handler. */
export abstract class DatagramChannel implements IDisposable {
  /** Address at which other nodes reach this one: IP address and port. */
  abstract readonly address: string;

  /** Sends without waiting; datagrams that can't be sent are counted and dropped. */
  abstract send(address: string, body: DatagramBody): void;

  /** Sets the handler that is called with each received datagram. */
  abstract setHandler(handler: (sender: string, body: DatagramBody) => void): void;

  abstract dispose(): void | Promise<void>;
}
