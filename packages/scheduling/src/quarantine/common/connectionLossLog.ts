/** Recent connection losses, to distinguish a common cause from a crash caused by one request. */

/** Losses within this time of each other, in ms, may have one cause; their reports arrive some ms apart. */
const COMMON_CAUSE_WINDOW_MS = 50;
/** Number of other targets lost at the same time that indicates a common cause, as a rack without power. */
const MIN_OTHER_TARGETS = 2;
/** How long losses are kept, in ms: callers repeat a failed request within this time. */
const RETENTION_MS = 60_000;
const MAX_LOSSES = 512;

interface IConnectionLoss {
  readonly target: string;
  readonly atMs: number;
  /** Requests whose connections to the target were lost. */
  readonly fingerprints: Set<string>;
}

/**
 * Records which targets lost connections, and when. A target that is crashed by a request fails alone; a
 * power or network failure affects several targets at the same time.
 *
 * @example
 * lossLog.record('i-7', fingerprint, nowMs);
 * if (lossLog.isCommonCause(fingerprint, atMs)) ignore();
 */
export class ConnectionLossLog {
  private readonly losses: IConnectionLoss[] = [];

  record(target: string, fingerprint: string, atMs: number): void {
    const known = this.losses.findLast((loss) => loss.target === target);
    if (known !== undefined && atMs - known.atMs <= COMMON_CAUSE_WINDOW_MS) {
      known.fingerprints.add(fingerprint);
      return;
    }
    this.losses.push({ target, atMs, fingerprints: new Set([fingerprint]) });
    this.removeOld(atMs - RETENTION_MS);
  }

  /** Whether several targets that weren't running this request were lost at about the same time. */
  isCommonCause(fingerprint: string, atMs: number): boolean {
    const otherLosses = this.losses.filter((loss) => {
      const isSimultaneous = Math.abs(loss.atMs - atMs) <= COMMON_CAUSE_WINDOW_MS;
      return isSimultaneous && !loss.fingerprints.has(fingerprint);
    });
    return otherLosses.length >= MIN_OTHER_TARGETS;
  }

  private removeOld(oldestMs: number): void {
    const firstKept = this.losses.findIndex(({ atMs }) => atMs >= oldestMs);
    this.losses.splice(0, Math.max(firstKept, this.losses.length - MAX_LOSSES));
  }
}
