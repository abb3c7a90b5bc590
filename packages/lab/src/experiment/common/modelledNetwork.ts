/** Datagrams between the nodes of an experiment, with delay and random loss. */
import type { Clock, RandomSource } from '@parsleymux/base';
import type { DatagramBody } from '@parsleymux/dispatch';
import { DatagramChannel } from '@parsleymux/dispatch';

/** Options of a {@link ModelledNetwork}. */
export interface IModelledNetworkOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly delayMs: number;
  readonly lossShare: number;
}

type Handler = (sender: string, body: DatagramBody) => void;

/**
 * Delivers datagrams between connected nodes.
 *
 * @example
 * const channel = network.open('node-1');
 */
export class ModelledNetwork {
  private readonly handlers = new Map<string, Handler>();
  private readonly disconnected = new Set<string>();

  constructor(private readonly options: IModelledNetworkOptions) {}

  open(address: string): DatagramChannel {
    return new ModelledChannel(address, this);
  }

  /** Disconnects a node from the network or reconnects it. */
  setDisconnected(address: string, isDisconnected: boolean): void {
    if (isDisconnected) this.disconnected.add(address);
    else this.disconnected.delete(address);
  }

  isDisconnected(address: string): boolean {
    return this.disconnected.has(address);
  }

  setHandler(address: string, handler: Handler): void {
    this.handlers.set(address, handler);
  }

  forward(sender: string, address: string, body: DatagramBody): void {
    const { clock, delayMs, lossShare, random } = this.options;
    if (random.getFloat() < lossShare || this.isDisconnected(sender)) return;
    clock.startTimer(delayMs, () => {
      if (!this.isDisconnected(address)) this.handlers.get(address)?.(sender, body);
    });
  }
}

class ModelledChannel extends DatagramChannel {
  constructor(
    override readonly address: string,
    private readonly network: ModelledNetwork,
  ) {
    super();
  }

  override send(address: string, body: DatagramBody): void {
    this.network.forward(this.address, address, body);
  }

  override setHandler(handler: Handler): void {
    this.network.setHandler(this.address, handler);
  }

  override dispose(): void {
    this.network.setDisconnected(this.address, true);
  }
}
