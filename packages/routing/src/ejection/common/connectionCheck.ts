/**
 * Tells a silent connection from a silent target. Something between two ends can lose track of a
 * connection, which then stays silent for good while new ones work; blamed on the target, that
 * ejects a healthy one. So silence on a used connection first calls for a copy on a fresh one: if
 * that is answered in good time, the connections opened until then are retired and the target is
 * not charged; if not, it is charged with all that was pending.
 */
import type { Clock } from '@parsleymux/base';

/** Soon after a retirement, silence can't be the fault of the retired connections any more. */
const RETIREMENT_GRACE_MS = 3000;

/** What a check needs of its surroundings. */
export interface IConnectionCheckOptions {
  readonly clock: Clock;
  /**
   * Sends a copy on a fresh connection; true when it was answered in time, undefined when the
   * target had no slot to spare for it, which says nothing.
   */
  tryFreshConnection(): Promise<boolean | undefined>;
  retireConnections(): void;
  /** Charges the target with so many silences. */
  recordSilences(silences: number): void;
}

/** The check of one target. */
export class ConnectionCheck {
  private pendingSilences = 0;
  private isRunning = false;
  private retiredAtMs = -Infinity;

  constructor(private readonly options: IConnectionCheckOptions) {}

  /** Silence was met, on a connection that had served before unless `isFresh`. */
  async handleSilence(isFresh: boolean): Promise<void> {
    const { clock } = this.options;
    const isLateForBlame = clock.getMonotonicTime() - this.retiredAtMs < RETIREMENT_GRACE_MS;
    if (isFresh || isLateForBlame) {
      this.options.recordSilences(1);
      return;
    }
    this.pendingSilences += 1;
    if (this.isRunning) return;
    await this.run();
  }

  private async run(): Promise<void> {
    this.isRunning = true;
    const isAnswered = await this.options.tryFreshConnection();
    this.isRunning = false;
    const silences = this.pendingSilences;
    this.pendingSilences = 0;
    if (isAnswered === true) {
      this.retiredAtMs = this.options.clock.getMonotonicTime();
      this.options.retireConnections();
    } else {
      this.options.recordSilences(isAnswered === undefined ? silences : silences + 1);
    }
  }
}
