/** Holds requests back under which one target after the other crashes. */
import type { Clock, Event, Logger } from '@parsleymux/base';
import { Emitter } from '@parsleymux/base';
import type { ICrashHistoryRecord } from './crashHistory.js';
import { ConnectionLossLog } from './connectionLossLog.js';
import { CRASHES_TO_QUARANTINE, CrashHistory } from './crashHistory.js';

/** Requests that a node keeps in mind at most: some 500 bytes each. */
const MAX_HISTORIES = 1024;
/** Without another crash, a request that is not held back is forgotten after this time, in ms. */
const RETENTION_MS = 600_000;
/** One that is held back and comes no more is forgotten after this time, in ms. */
const QUARANTINED_RETENTION_MS = 86_400_000;
/** Others are told of a request from this many crashes on: most crashes are no request's fault. */
const CRASHES_TO_SHARE = 2;

/** One attempt of a request at one target. */
export interface IAttempt {
  readonly fingerprints: readonly string[];
  /** Identifier of the request, for logs. */
  readonly requestId: string;
  /** The target, and its life. */
  readonly target: string;
  readonly grantedMs: number;
}

/** Options of a {@link RequestQuarantine}. */
export interface IRequestQuarantineOptions {
  readonly clock: Clock;
  readonly log: Logger;
  /** Default: 1,024. */
  readonly maxHistories?: number;
}

/**
 * A request that makes the targets that run it crash looks like any other: the targets are doubted, and
 * each copy of it is granted the soundest of those that are left. To be noticed, it has to be known by
 * what it asks for. Three targets lost under one request, with no success of it between, convict it;
 * a target that answers afterwards was not lost, one that went down together with others was lost for
 * another reason, and copies that ran side by side count once. So targets that crash for causes of their own convict nobody.
 *
 * @example
 * quarantine.recordLoss(attempt);
 * const holdMs = quarantine.getHoldMs(fingerprints);
 */
export class RequestQuarantine {
  private readonly histories = new Map<string, CrashHistory>();
  /** Fingerprints of the requests under which a target was lost, by the target's life. */
  private readonly accusers = new Map<string, Set<string>>();
  private readonly losses = new ConnectionLossLog();
  private readonly changed = new Emitter<ICrashHistoryRecord>();
  private readonly decisionChanged = new Emitter<ICrashHistoryRecord>();
  private readonly expired = new Emitter<string>();

  /** Fires with a case that other nodes have to know of, changed by what was seen here. */
  readonly onDidChange: Event<ICrashHistoryRecord> = this.changed.onDidFire;
  /** Fires when the verdict on a request changes by what was seen here; it has to outlive the fleet. */
  readonly onDidChangeDecision: Event<ICrashHistoryRecord> = this.decisionChanged.onDidFire;
  /** Fires with the fingerprint of a held request that is forgotten, since it came no more. */
  readonly onDidExpire: Event<string> = this.expired.onDidFire;

  constructor(private readonly options: IRequestQuarantineOptions) {}

  /** For how long a request may not be sent yet, in ms; 0 if it may be. */
  getHoldMs(fingerprints: readonly string[]): number {
    const nowMs = this.now;
    return fingerprints.reduce((longest, fingerprint) => {
      return Math.max(longest, this.histories.get(fingerprint)?.getHoldMs(nowMs) ?? 0);
    }, 0);
  }

  /** A request is granted a target. After a hold that is a trial: others have to wait for its outcome. */
  recordGrant({ fingerprints, requestId }: Pick<IAttempt, 'fingerprints' | 'requestId'>): void {
    for (const fingerprint of fingerprints) this.startTrial(fingerprint, requestId);
  }

  /** The connection of an attempt was lost before its answer was whole. */
  recordConnectionLoss(attempt: IAttempt): void {
    for (const fingerprint of attempt.fingerprints)
      this.recordConnectionLossOf(fingerprint, attempt);
  }

  /** A target ran the request to a good end, so the request crashes nothing. */
  recordSuccess(fingerprints: readonly string[]): void {
    for (const fingerprint of fingerprints) this.release(fingerprint, 'it succeeded');
  }

  /** A target answered an attempt that it was granted after it had seemed to be lost. */
  recordResponse(target: string, grantedMs: number): void {
    for (const fingerprint of [...(this.accusers.get(target) ?? [])]) {
      const found = this.histories.get(fingerprint);
      if (found === undefined) continue;
      const crashesBefore = found.crashCount;
      if (!this.updateHistory(found, () => found.removeCrash(target, grantedMs))) continue;
      // Whoever was told of the verdict has to hear that it does not stand.
      const isRefuted = crashesBefore === CRASHES_TO_QUARANTINE;
      if (isRefuted) this.release(fingerprint, 'a target was not lost');
      else if (found.crashCount === 0) this.histories.delete(fingerprint);
    }
  }

  /** Lets a request go. False if nothing is known of it. */
  release(fingerprint: string, reason: string): boolean {
    const found = this.histories.get(fingerprint);
    if (found === undefined || found.crashCount === 0) return false;
    const wasTold = found.crashCount >= CRASHES_TO_SHARE;
    const wasConvicted = found.isQuarantined;
    this.updateHistory(found, () => {
      found.clear(this.now);
    });
    if (!wasTold) {
      this.histories.delete(fingerprint);
      return true;
    }
    this.options.log.info('request is no longer suspected', { fingerprint, reason });
    this.announce(found, wasConvicted);
    return true;
  }

  /** Takes what another node, or the store, knows of a request. */
  applyRecord(record: ICrashHistoryRecord): void {
    const known = this.histories.get(record.fingerprint);
    // That nothing speaks against a request is no news where nothing is known of it.
    if (known === undefined && record.crashes.length === 0) return;
    const found = known ?? this.addHistory(record.fingerprint);
    const wasHeld = found.isHeld(this.now);
    const crashesBefore = found.crashCount;
    if (!this.updateHistory(found, () => found.merge(record, this.now))) return;
    const isHeld = found.isHeld(this.now);
    // The sender did not know enough for the verdict: then it comes from here.
    const isDecidedHere = Math.max(crashesBefore, record.crashes.length) < CRASHES_TO_QUARANTINE;
    if (isDecidedHere && found.isQuarantined) this.announce(found, true);
    if (isHeld === wasHeld) return;
    const { fingerprint } = record;
    this.options.log.warn(isHeld ? 'request is held back' : 'request is let go', {
      fingerprint,
      crashes: found.crashCount,
      holdMs: Math.round(found.getHoldMs(this.now)),
      source: 'another node',
    });
  }

  /** Requests that are held back, or may be tried once. */
  listQuarantined(): readonly ICrashHistoryRecord[] {
    return this.listRecords(({ isQuarantined: isConvicted }) => isConvicted);
  }

  /** What all nodes have to know, also which requests were found harmless lately. */
  listShared(): readonly ICrashHistoryRecord[] {
    this.removeExpired();
    const oldestMs = this.now - RETENTION_MS;
    return this.listRecords((found) => found.isQuarantined || found.lastClearedMs > oldestMs);
  }

  /** Cases, and targets by which they are looked up; both are bounded. */
  countEntries(): number {
    return this.histories.size + this.accusers.size;
  }

  private get now(): number {
    return this.options.clock.getMonotonicTime();
  }

  private listRecords(isListed: (found: CrashHistory) => boolean): readonly ICrashHistoryRecord[] {
    const nowMs = this.now;
    return [...this.histories.values()].filter(isListed).map((found) => found.toRecord(nowMs));
  }

  private startTrial(fingerprint: string, requestId: string): void {
    const found = this.histories.get(fingerprint);
    if (found?.isQuarantined !== true) return;
    found.startTrial(this.now);
    this.options.log.warn('held request is tried once more', {
      request: requestId,
      fingerprint,
      trials: found.trialCount,
      holdMs: Math.round(found.getHoldMs(this.now)),
    });
    this.announce(found, true);
  }

  private recordConnectionLossOf(fingerprint: string, attempt: IAttempt): void {
    const { grantedMs, requestId, target } = attempt;
    const found = this.histories.get(fingerprint) ?? this.addHistory(fingerprint);
    const wasConvicted = found.isQuarantined;
    const nowMs = this.now;
    this.losses.record(target, fingerprint, nowMs);
    const isCounted = this.updateHistory(found, () => {
      // By now it is known what else was lost at the moments of the earlier ones.
      if (!wasConvicted) {
        found.removeUnrelatedCrashes((atMs) => this.losses.isCommonCause(fingerprint, atMs));
      }
      return found.recordConnectionLoss({ target, grantedMs, atMs: nowMs });
    });
    if (!isCounted) return;
    if (found.crashCount < CRASHES_TO_SHARE) return;
    this.options.log.warn('targets are lost under one request', {
      request: requestId,
      fingerprint,
      target,
      crashes: found.crashCount,
      isHeld: found.isHeld(nowMs),
      holdMs: Math.round(found.getHoldMs(nowMs)),
    });
    this.announce(found, found.isQuarantined && !wasConvicted);
  }

  private announce(found: CrashHistory, isDecision: boolean): void {
    const record = found.toRecord(this.now);
    this.changed.fire(record);
    if (isDecision) this.decisionChanged.fire(record);
  }

  /** Changes a case, and keeps the look-up by target in step with it. */
  private updateHistory<T>(found: CrashHistory, apply: () => T): T {
    const before = found.listTargets();
    const result = apply();
    const after = found.listTargets();
    for (const target of before) if (!after.includes(target)) this.removeFingerprint(target, found);
    for (const target of after) {
      const accusers = this.accusers.get(target) ?? new Set();
      this.accusers.set(target, accusers.add(found.fingerprint));
    }
    return result;
  }

  private removeFingerprint(target: string, { fingerprint }: CrashHistory): void {
    const accusers = this.accusers.get(target);
    accusers?.delete(fingerprint);
    if (accusers?.size === 0) this.accusers.delete(target);
  }

  private addHistory(fingerprint: string): CrashHistory {
    this.ensureCapacity();
    const found = new CrashHistory(fingerprint);
    this.histories.set(fingerprint, found);
    return found;
  }

  /**
   * Makes room. When hundreds of requests are lost with a rack, each has one crash against it; those that
   * have crashed most stay, and of the others the newest.
   */
  private ensureCapacity(): void {
    const { maxHistories = MAX_HISTORIES } = this.options;
    if (this.histories.size < maxHistories) return;
    const oldestMs = this.now - RETENTION_MS;
    for (const found of this.histories.values()) {
      if (!found.isQuarantined && found.lastChangeMs < oldestMs) this.remove(found);
    }
    if (this.histories.size < maxHistories) return;
    const [weakest] = [...this.histories.values()].sort((left, right) => {
      return left.crashCount - right.crashCount || left.lastChangeMs - right.lastChangeMs;
    });
    if (weakest !== undefined) this.remove(weakest);
  }

  /** Without it, nodes would tell each other for ever of requests that were mended long ago. */
  private removeExpired(): void {
    const oldestMs = this.now - QUARANTINED_RETENTION_MS;
    for (const found of this.histories.values()) {
      if (!found.isQuarantined || found.lastChangeMs > oldestMs) continue;
      this.remove(found);
      this.options.log.info('held request is forgotten', { fingerprint: found.fingerprint });
      this.expired.fire(found.fingerprint);
    }
  }

  private remove(found: CrashHistory): void {
    this.histories.delete(found.fingerprint);
    for (const target of found.listTargets()) this.removeFingerprint(target, found);
  }
}
