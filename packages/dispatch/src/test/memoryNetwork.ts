/** An in-memory network for the datagrams between the nodes of a test. */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import type { ManualClock } from '@parsleymux/base';
import { SeededRandom } from '@parsleymux/base';
import { DatagramSchema } from '@parsleymux/schema';
import type { DatagramBody } from '../grants/common/datagramChannel.js';
import { DatagramChannel } from '../grants/common/datagramChannel.js';

const DELAY_MS = 1;
const SEED = 3;

/** Encodes datagrams, delivers them after a delay, and drops a share of them. */
export class MemoryNetwork {
  readonly handlers = new Map<string, (sender: string, body: DatagramBody) => void>();
  readonly random = new SeededRandom(SEED);
  lossShare = 0;
  private readonly stoppedChannels = new Set<DatagramChannel>();

  constructor(readonly clock: ManualClock) {}

  open(address: string): DatagramChannel {
    return new MemoryChannel(address, this);
  }

  /** Drops all further datagrams that are sent on a channel, as if its process had ended. */
  stopSending(channel: DatagramChannel): void {
    this.stoppedChannels.add(channel);
  }

  hasStopped(channel: DatagramChannel): boolean {
    return this.stoppedChannels.has(channel);
  }
}

class MemoryChannel extends DatagramChannel {
  constructor(
    override readonly address: string,
    private readonly network: MemoryNetwork,
  ) {
    super();
  }

  override send(address: string, body: DatagramBody): void {
    if (this.network.hasStopped(this)) return;
    if (this.network.random.getFloat() < this.network.lossShare) return;
    const bytes = toBinary(DatagramSchema, create(DatagramSchema, { body }));
    this.network.clock.startTimer(DELAY_MS, () => {
      const received = fromBinary(DatagramSchema, bytes).body;
      if (received.case === undefined) return;
      this.network.handlers.get(address)?.(this.address, received);
    });
  }

  override setHandler(handler: (sender: string, body: DatagramBody) => void): void {
    this.network.handlers.set(this.address, handler);
  }

  override dispose(): void {
    this.network.handlers.delete(this.address);
  }
}
