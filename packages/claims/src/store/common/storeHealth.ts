/**
 * Knows when the store has fallen silent. Each claim that gets no answer may stand and must be
 * released later, so going on claiming into the silence would hold every caller for the platform's
 * timeout and pile up releases for hours; callers would notice slow refusals, operators memory.
 */
import type { Clock, RandomSource } from '@parsleymux/base';

const DEFAULT_FAILURE_LIMIT = 3;
const DEFAULT_PROBE_MS = 500;

/** Options of a {@link StoreHealth}. */
export interface IStoreHealthOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Asks the store something harmless. */
  readonly probe: () => Promise<unknown>;
  /** Unanswered calls in a row from which the store counts as out. Default 3. */
  readonly failureLimit?: number;
  /** Mean time between two probes while it is out, in ms. Default 500. */
  readonly probeMs?: number;
}

/**
 * Counts unanswered calls, and probes while the store is out.
 *
 * @example
 * if (health.isOut()) throw makeStoreUnavailable();
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

  /** An answer came, whatever it said. */
  recordResponse(): void {
    this.failures = 0;
  }

  /** A call stayed unanswered. */
  recordNoResponse(): void {
    this.failures += 1;
  }

  /** Whether claims are refused unsent. Asking starts a probe when one is due. */
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
