/** Messages between nodes that may be lost, repeated or late. */
import type { IDisposable } from '@parsleymux/base';
import type { Datagram } from '@parsleymux/schema';

/** Body of a datagram: one of the messages of the schema. */
export type DatagramBody = Exclude<Datagram['body'], { case: undefined }>;

/** Sends datagrams to nodes by address and passes on those that arrive. */
export abstract class DatagramChannel implements IDisposable {
  /** Address by which other nodes reach this one: IP number and port. */
  abstract readonly address: string;

  /** Sends without waiting; what can't be sent is counted and lost. */
  abstract send(address: string, body: DatagramBody): void;

  /** Calls the handler with each datagram that arrives. */
  abstract setHandler(handler: (sender: string, body: DatagramBody) => void): void;

  abstract dispose(): void | Promise<void>;
}
