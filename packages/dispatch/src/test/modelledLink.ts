/** Network links with a byte rate, for simulations. */
import type { Clock } from '@parsleymux/base';
import { MS_PER_SECOND } from '@parsleymux/base';

/** Transfers that share a link take turns after this many bytes. */
const CHUNK_BYTES = 16_384;
const BITS_PER_BYTE = 8;
const BITS_PER_MEGABIT = 1e6;

/** One direction of a node's link; what is sent waits for what was sent before. */
export class ModelledLink {
  private readonly bytesPerMs: number;
  private freeMs = 0;
  bytes = 0;

  /** `busyShare` is the part of the rate that other traffic takes. */
  constructor(
    private readonly clock: Clock,
    rateMbps: number,
    busyShare = 0,
  ) {
    const bytesPerS = (rateMbps * BITS_PER_MEGABIT) / BITS_PER_BYTE;
    this.bytesPerMs = (bytesPerS * (1 - busyShare)) / MS_PER_SECOND;
  }

  /** Queues bytes, and returns in how many ms the last of them has left the link. */
  reserve(bytes: number): number {
    const nowMs = this.clock.getMonotonicTime();
    this.bytes += bytes;
    this.freeMs = Math.max(nowMs, this.freeMs) + bytes / this.bytesPerMs;
    return this.freeMs - nowMs;
  }
}

/** Both directions of a node's link. */
export interface IModelledLinks {
  readonly egress: ModelledLink;
  readonly ingress: ModelledLink;
}

/** Options of {@link sendBytes}. */
export interface ISendOptions {
  readonly clock: Clock;
  readonly bytes: number;
  readonly egress: ModelledLink;
  readonly ingress: ModelledLink;
  readonly signal?: AbortSignal | undefined;
  /** Called for each chunk. */
  readonly onDidProgress?: (() => void) | undefined;
}

/**
 * Resolves once all bytes have passed the links of the sender and of the receiver. Rejects if the signal
 * aborts before.
 */
export async function sendBytes(options: ISendOptions): Promise<void> {
  const { bytes, clock, egress, ingress, onDidProgress, signal } = options;
  let arrivedInMs = 0;
  for (let sent = 0; sent < bytes; sent += CHUNK_BYTES) {
    const chunk = Math.min(CHUNK_BYTES, bytes - sent);
    await clock.sleep(egress.reserve(chunk), signal);
    arrivedInMs = ingress.reserve(chunk);
    onDidProgress?.();
  }
  await clock.sleep(arrivedInMs, signal);
}
