/** Which targets were lost when, to tell a common cause from one request's doing. */

/** Losses within this time of each other, in ms, may have one cause: reports differ by some ms. */
const COMMON_CAUSE_WINDOW_MS = 50;
/** Other targets that are lost at the same moment when a rack loses power, at least. */
const MIN_OTHER_TARGETS = 2;
/** How long losses are kept, in ms: a caller repeats a request within this time. */
const RETENTION_MS = 60_000;
const MAX_LOSSES = 512;

interface IConnectionLoss {
  readonly target: string;
  readonly atMs: number;
  /** Requests that were lost with it. */
  readonly fingerprints: Set<string>;
}

/**
 * A target that crashes under a request goes down alone; power or a network takes several at one moment.
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

  /** Whether others were lost at that moment, without this request running there. */
  isCommonCause(fingerprint: string, atMs: number): boolean {
    const others = this.losses.filter((loss) => {
      const isThen = Math.abs(loss.atMs - atMs) <= COMMON_CAUSE_WINDOW_MS;
      return isThen && !loss.fingerprints.has(fingerprint);
    });
    return others.length >= MIN_OTHER_TARGETS;
  }

  private removeOld(oldestMs: number): void {
    const firstKept = this.losses.findIndex(({ atMs }) => atMs >= oldestMs);
    this.losses.splice(0, Math.max(firstKept, this.losses.length - MAX_LOSSES));
  }
}
