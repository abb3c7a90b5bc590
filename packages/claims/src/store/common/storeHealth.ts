/**
 * Detects when the store stops responding. A claim without a response may have been written and
 * must be released later. Sending more claims to an unresponsive store would delay each refusal by
 * the platform's timeout and accumulate pending releases, and thus memory, for hours.
 */
import type { Clock, RandomSource } from '@parsleymux/base';

const DEFAULT_FAILURE_LIMIT = 3;
const DEFAULT_PROBE_MS = 500;

/** Options of a {@link StoreHealth}. */
export interface IStoreHealthOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Sends the store a request that has no effect. */
  readonly probe: () => Promise<unknown>;
  /** Consecutive calls without a response after which the store is considered unavailable. Default 3. */
  readonly failureLimit?: number;
  /** Mean time between two probes while the store is unavailable, in ms. Default 500. */
  readonly probeMs?: number;
}

/**
 * Counts calls without a response, and probes while the store is unavailable.
 *
 * @example
 * if (health.isUnavailable()) throw makeStoreUnavailable();
 */
export class StoreHealth {
  private readonly options: IStoreHealthOptions;
  private readonly failureLimit: number;
  private readonly probeMs: number;
  private failures = 0;
  private isProbing = false;
  private nextProbeMs = 0;

  constructor(options: IStoreHealthOptions) {
    this.options = options;
    this.failureLimit = options.failureLimit ?? DEFAULT_FAILURE_LIMIT;
    this.probeMs = options.probeMs ?? DEFAULT_PROBE_MS;
  }

  /** Records a response, whatever its content. */
  recordResponse(): void {
    this.failures = 0;
  }

  /** Records a call without a response. */
  recordNoResponse(): void {
    this.failures += 1;
  }

  /** Whether claims should be refused without sending them. Starts a probe if one is due. */
  isUnavailable(): boolean {
    if (this.failures < this.failureLimit) return false;
    const isDue = this.options.clock.getMonotonicTime() >= this.nextProbeMs;
    if (!this.isProbing && isDue) void this.runProbe();
    return true;
  }

  private async runProbe(): Promise<void> {
    const { clock, random, probe } = this.options;
    this.isProbing = true;
    try {
      await probe();
      this.recordResponse();
    } catch {
      this.nextProbeMs = clock.getMonotonicTime() + random.getJittered(this.probeMs);
    }
    this.isProbing = false;
  }
}
