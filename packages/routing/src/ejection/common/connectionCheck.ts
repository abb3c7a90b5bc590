/**
 * Distinguishes a dead connection from a silent target. A middlebox can lose the state of a
 * connection, which then stays silent permanently while new connections work; if that counted as
 * evidence against the target, a healthy target would be ejected. Silence on a reused connection
 * therefore first triggers a request copy on a fresh one. If the target responds in time, all older
 * connections are retired and the pending silences discarded; if not, they are recorded as evidence.
 */
import type { Clock } from '@parsleymux/base';

/** Within this time after a retirement, silence is not attributed to old connections, in ms. */
const RETIREMENT_GRACE_MS = 3000;

/** Options of a {@link ConnectionCheck}. */
export interface IConnectionCheckOptions {
  readonly clock: Clock;
  /**
   * Sends a request copy on a fresh connection. True when the target responded in time; undefined
   * when it had no free slot for the copy, which is no evidence.
   */
  tryFreshConnection(): Promise<boolean | undefined>;
  retireConnections(): void;
  /** Records that many silences as evidence against the target. */
  recordSilences(silences: number): void;
}

/** Checks the connections of one target. */
export class ConnectionCheck {
  private pendingSilences = 0;
  private isRunning = false;
  private retiredAtMs = -Infinity;

  constructor(private readonly options: IConnectionCheckOptions) {}

  /** Handles a silence on a connection that is reused unless `isFresh`. */
  async handleSilence(isFresh: boolean): Promise<void> {
    const { clock } = this.options;
    const isRecentlyRetired = clock.getMonotonicTime() - this.retiredAtMs < RETIREMENT_GRACE_MS;
    if (isFresh || isRecentlyRetired) {
      this.options.recordSilences(1);
      return;
    }
    this.pendingSilences += 1;
    if (this.isRunning) return;
    await this.run();
  }

  private async run(): Promise<void> {
    this.isRunning = true;
    const hasResponded = await this.options.tryFreshConnection();
    this.isRunning = false;
    const silences = this.pendingSilences;
    this.pendingSilences = 0;
    if (hasResponded === true) {
      this.retiredAtMs = this.options.clock.getMonotonicTime();
      this.options.retireConnections();
    } else {
      this.options.recordSilences(hasResponded === undefined ? silences : silences + 1);
    }
  }
}
