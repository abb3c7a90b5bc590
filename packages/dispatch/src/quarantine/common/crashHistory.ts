/** What speaks against one request: the targets that were lost while they ran it. */

/** Targets that a request has to crash before it is held back. */
export const CRASHES_TO_QUARANTINE = 3;
/** Crashes that are kept of one case: more say no more, and records stay small. */
const MAX_CRASHES = 8;
/**
 * Attempts that ran side by side and were lost within this time of each other, in ms, were lost for
 * one reason: a rack that loses power takes every copy of a request with it that runs there.
 */
const COMMON_CAUSE_WINDOW_MS = 50;
/** How long a request is held back before it may be tried once more, in ms; then ten times as long. */
const FIRST_HOLD_MS = 60_000;
const HOLD_FACTOR = 10;
const MAX_HOLD_MS = 6_000_000;

/** One target that was lost while it ran the request. */
export interface ICrash {
  /** The target, and the life of it that ended. */
  readonly target: string;
  /** In ms of the monotonic clock. */
  readonly atMs: number;
}

/** An attempt whose connection was lost before an answer was whole. */
export interface ILostAttempt extends ICrash {
  readonly grantedMs: number;
}

/** A case as other nodes and the store know it; times are ages, for nodes have clocks of their own. */
export interface ICrashHistoryRecord {
  readonly fingerprint: string;
  readonly crashes: readonly { readonly target: string; readonly ageMs: number }[];
  /** Times that it was tried again after a hold. */
  readonly trials: number;
  /** For how long it is held back yet, in ms; 0 when it may be tried. */
  readonly holdMs: number;
  /** Since it was cleared, in ms; undefined if it never was. */
  readonly clearedAgeMs?: number | undefined;
}

/**
 * One request's case.
 *
 * @example
 * crashCase.recordLoss({ target: 'i-7', grantedMs, atMs });
 * if (crashCase.isHeld(nowMs)) refuse();
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

  /** Targets that were lost under it, each with the life that ended. */
  listTargets(): readonly string[] {
    return [...this.crashes.keys()];
  }

  get trialCount(): number {
    return this.trials;
  }

  /** When the last target was lost under it, in ms of the monotonic clock. */
  get lastChangeMs(): number {
    return Math.max(this.lastLossMs, this.clearedMs);
  }

  /** Whether it has crashed so many targets that it isn't simply sent any more. */
  get isQuarantined(): boolean {
    return this.crashes.size >= CRASHES_TO_QUARANTINE;
  }

  /** When it was found harmless last, in ms of the monotonic clock. */
  get lastClearedMs(): number {
    return this.clearedMs;
  }

  isHeld(nowMs: number): boolean {
    return this.isQuarantined && nowMs < this.heldUntilMs;
  }

  getHoldMs(nowMs: number): number {
    return this.isQuarantined ? Math.max(0, this.heldUntilMs - nowMs) : 0;
  }

  /** True if it counts: it is neither known nor explained by what took another copy at that moment. */
  recordConnectionLoss({ atMs, grantedMs, target }: ILostAttempt): boolean {
    const isSideBySide =
      grantedMs <= this.lastLossMs && atMs - this.lastLossMs < COMMON_CAUSE_WINDOW_MS;
    if (this.crashes.has(target) || isSideBySide) return false;
    this.addCrash(target, atMs);
    this.startHold(atMs);
    return true;
  }

  /** Leaves out crashes that turned out to have another cause. */
  removeUnrelatedCrashes(isExplained: (atMs: number) => boolean): void {
    for (const [target, atMs] of this.crashes) if (isExplained(atMs)) this.crashes.delete(target);
  }

  /** The target answered after it had been taken for crashed: only the connection was lost. */
  removeCrash(target: string, answeredMs: number): boolean {
    const atMs = this.crashes.get(target);
    if (atMs === undefined || atMs >= answeredMs) return false;
    return this.crashes.delete(target);
  }

  /** A target has run it to a good end, or an operator lets it go. What came before counts no more. */
  clear(nowMs: number): void {
    this.crashes.clear();
    this.trials = 0;
    this.heldUntilMs = -Infinity;
    this.clearedMs = nowMs;
  }

  /** It is sent once more after its hold; until its outcome is known nobody sends it again. */
  startTrial(nowMs: number): void {
    this.trials += 1;
    this.heldUntilMs = nowMs + getHoldLengthMs(this.trials);
  }

  /** Takes what another node knows. True if anything is new. */
  merge(record: ICrashHistoryRecord, nowMs: number): boolean {
    const before = this.formatSharedState();
    const wasConvicted = this.isQuarantined;
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
    // Crashes that two nodes saw may convict it together, though neither has held it back.
    if (!wasConvicted) this.startHold(nowMs);
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

  /** What other nodes have to know of it. */
  private formatSharedState(): string {
    return `${[...this.crashes.keys()].join(' ')}/${this.trials}/${this.clearedMs}`;
  }
}

function getHoldLengthMs(trials: number): number {
  return Math.min(MAX_HOLD_MS, FIRST_HOLD_MS * HOLD_FACTOR ** trials);
}
