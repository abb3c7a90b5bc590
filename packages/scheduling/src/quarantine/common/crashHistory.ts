/** Evidence that a request crashes targets: which targets were lost while they were running it. */

/** Number of targets that a request has to crash before it is quarantined. */
export const CRASHES_TO_QUARANTINE = 3;
/** Most crashes kept per request: more add no evidence, and the limit keeps records small. */
const MAX_CRASHES = 8;
/**
 * Concurrent attempts that are lost within this time of each other, in ms, are attributed to one cause: a
 * rack that loses power ends every copy of a request that runs there.
 */
const COMMON_CAUSE_WINDOW_MS = 50;
/** How long a request is held before the first trial, in ms; each trial multiplies it by HOLD_FACTOR. */
const FIRST_HOLD_MS = 60_000;
const HOLD_FACTOR = 10;
const MAX_HOLD_MS = 6_000_000;

/** The loss of one target: its connection closed while it was running the request. */
export interface ICrash {
  /** The target and its incarnation, see `formatIncarnation`. */
  readonly target: string;
  /** In ms of the monotonic clock. */
  readonly atMs: number;
}

/** An attempt whose connection was lost before the response was complete. */
export interface ILostAttempt extends ICrash {
  readonly grantedMs: number;
}

/**
 * A crash history as sent to other nodes and written to the store. Times are ages, because the clocks of
 * nodes are not synchronized.
 */
export interface ICrashHistoryRecord {
  readonly fingerprint: string;
  readonly crashes: readonly { readonly target: string; readonly ageMs: number }[];
  /** How many times the request was tried again after a hold. */
  readonly trials: number;
  /** How much longer the request is held, in ms; 0 when it may be tried. */
  readonly holdMs: number;
  /** Time since the history was cleared, in ms; undefined if it never was. */
  readonly clearedAgeMs?: number | undefined;
}

/**
 * Tracks the targets that one request crashed, and for how long the request is held because of them.
 *
 * @example
 * history.recordConnectionLoss({ target: 'i-7', grantedMs, atMs });
 * if (history.isHeld(nowMs)) refuse();
 */
export class CrashHistory {
  private readonly crashes = new Map<string, number>();
  private trials = 0;
  private heldUntilMs = -Infinity;
  private clearedMs = -Infinity;
  private lastLossMs = -Infinity;

  constructor(readonly fingerprint: string) {}

  get crashCount(): number {
    return this.crashes.size;
  }

  /** Targets that were lost while they were running the request, with their incarnations. */
  listTargets(): readonly string[] {
    return [...this.crashes.keys()];
  }

  get trialCount(): number {
    return this.trials;
  }

  /** When a target was last lost or the history was last cleared, in ms of the monotonic clock. */
  get lastChangeMs(): number {
    return Math.max(this.lastLossMs, this.clearedMs);
  }

  /** Whether the request crashed enough targets to be sent only as a trial. */
  get isQuarantined(): boolean {
    return this.crashes.size >= CRASHES_TO_QUARANTINE;
  }

  /** When the history was last cleared, in ms of the monotonic clock; -Infinity if it never was. */
  get lastClearedMs(): number {
    return this.clearedMs;
  }

  isHeld(nowMs: number): boolean {
    return this.isQuarantined && nowMs < this.heldUntilMs;
  }

  getHoldMs(nowMs: number): number {
    return this.isQuarantined ? Math.max(0, this.heldUntilMs - nowMs) : 0;
  }

  /**
   * Records the loss as a crash and returns true, unless the target is already recorded or another
   * concurrent attempt was lost at about the same time.
   */
  recordConnectionLoss({ atMs, grantedMs, target }: ILostAttempt): boolean {
    const isConcurrent =
      grantedMs <= this.lastLossMs && atMs - this.lastLossMs < COMMON_CAUSE_WINDOW_MS;
    if (this.crashes.has(target) || isConcurrent) return false;
    this.addCrash(target, atMs);
    this.startHold(atMs);
    return true;
  }

  /** Removes crashes that turned out to have another cause. */
  removeUnrelatedCrashes(isUnrelated: (atMs: number) => boolean): void {
    for (const [target, atMs] of this.crashes) if (isUnrelated(atMs)) this.crashes.delete(target);
  }

  /**
   * Removes the crash of a target that responded to an attempt granted after the crash, at `grantedMs`: only
   * the connection had been lost.
   */
  removeCrash(target: string, grantedMs: number): boolean {
    const atMs = this.crashes.get(target);
    if (atMs === undefined || atMs >= grantedMs) return false;
    return this.crashes.delete(target);
  }

  /** Discards all evidence: a target completed the request, or an operator released it. */
  clear(nowMs: number): void {
    this.crashes.clear();
    this.trials = 0;
    this.heldUntilMs = -Infinity;
    this.clearedMs = nowMs;
  }

  /** Starts a trial, with a longer hold: no other copy is sent until the outcome is known. */
  startTrial(nowMs: number): void {
    this.trials += 1;
    this.heldUntilMs = nowMs + getHoldLengthMs(this.trials);
  }

  /** Merges the record of another node. Returns whether that changed anything. */
  merge(record: ICrashHistoryRecord, nowMs: number): boolean {
    const before = this.formatSharedState();
    const wasQuarantined = this.isQuarantined;
    const { clearedAgeMs, crashes, holdMs, trials } = record;
    if (clearedAgeMs !== undefined) this.applyClear(nowMs - clearedAgeMs);
    for (const { ageMs, target } of crashes) {
      const atMs = nowMs - ageMs;
      if (atMs > this.clearedMs && !this.crashes.has(target)) this.addCrash(target, atMs);
    }
    if (this.isQuarantined) {
      this.trials = Math.max(this.trials, trials);
      this.heldUntilMs = Math.max(this.heldUntilMs, nowMs + holdMs);
    }
    // Crashes seen by two nodes may reach the threshold together, when neither node held the request.
    if (!wasQuarantined) this.startHold(nowMs);
    return this.formatSharedState() !== before;
  }

  toRecord(nowMs: number): ICrashHistoryRecord {
    const crashes = [...this.crashes].map(([target, atMs]) => ({ target, ageMs: nowMs - atMs }));
    const isCleared = this.clearedMs > -Infinity;
    return {
      fingerprint: this.fingerprint,
      crashes,
      trials: this.trials,
      holdMs: this.getHoldMs(nowMs),
      ...(isCleared ? { clearedAgeMs: nowMs - this.clearedMs } : {}),
    };
  }

  private applyClear(clearedMs: number): void {
    if (clearedMs <= this.clearedMs || this.lastLossMs > clearedMs) return;
    this.clear(clearedMs);
  }

  private addCrash(target: string, atMs: number): void {
    this.lastLossMs = Math.max(this.lastLossMs, atMs);
    if (this.crashes.size < MAX_CRASHES) this.crashes.set(target, atMs);
  }

  private startHold(nowMs: number): void {
    if (!this.isQuarantined) return;
    this.heldUntilMs = Math.max(this.heldUntilMs, nowMs + getHoldLengthMs(this.trials));
  }

  /** The state that other nodes need, as text, to detect changes. */
  private formatSharedState(): string {
    return `${[...this.crashes.keys()].join(' ')}/${this.trials}/${this.clearedMs}`;
  }
}

function getHoldLengthMs(trials: number): number {
  return Math.min(MAX_HOLD_MS, FIRST_HOLD_MS * HOLD_FACTOR ** trials);
}
