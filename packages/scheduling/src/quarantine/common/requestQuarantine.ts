/** Quarantines poison requests: those that crash one target after another. */
import type { Clock, Event, Logger } from '@parsleymux/base';
import { Emitter } from '@parsleymux/base';
import type { ICrashHistoryRecord } from './crashHistory.js';
import { ConnectionLossLog } from './connectionLossLog.js';
import { CRASHES_TO_QUARANTINE, CrashHistory } from './crashHistory.js';

/** Most requests that a node tracks, at some 500 bytes each. */
const MAX_HISTORIES = 1024;
/** Evidence against a request that isn't quarantined, or its release, expires after this time, in ms. */
const RETENTION_MS = 600_000;
/** A quarantined request is no longer tracked this long after its last crash, in ms. */
const QUARANTINED_RETENTION_MS = 86_400_000;
/** Other nodes are notified of a request from its second crash on: requests don't cause most crashes. */
const CRASHES_TO_SHARE = 2;

/** One attempt of a request at one target. */
export interface IAttempt {
  readonly fingerprints: readonly string[];
  /** Identifier of the request, for logs. */
  readonly requestId: string;
  /** The target and its incarnation, see `formatIncarnation`. */
  readonly target: string;
  /** When the target was granted, in ms of the monotonic clock. */
  readonly grantedMs: number;
}

/** Options of a {@link RequestQuarantine}. */
export interface IRequestQuarantineOptions {
  readonly clock: Clock;
  readonly log: Logger;
  /** Most requests tracked. Default: 1,024. */
  readonly maxHistories?: number;
}

/**
 * Tracks which requests crash the targets that run them. Otherwise only the targets would be suspected, and
 * each copy of the request would be granted the healthiest target that is left. Requests are identified by
 * fingerprints of their content. A request is quarantined once three targets were lost while they were
 * running it, with no success in between. A target that responds afterwards doesn't count, nor does one
 * that failed together with others; concurrent copies count once. So targets that crash for other reasons
 * don't cause a quarantine.
 *
 * @example
 * quarantine.recordConnectionLoss(attempt);
 * const holdMs = quarantine.getHoldMs(fingerprints);
 */
export class RequestQuarantine {
  private readonly histories = new Map<string, CrashHistory>();
  /** Fingerprints of the requests that a target was running when it was lost, by target incarnation. */
  private readonly fingerprintsByTarget = new Map<string, Set<string>>();
  private readonly losses = new ConnectionLossLog();
  private readonly changed = new Emitter<ICrashHistoryRecord>();
  private readonly decisionChanged = new Emitter<ICrashHistoryRecord>();
  private readonly expired = new Emitter<string>();

  /** Fires with a history that a local observation changed and that other nodes need. */
  readonly onDidChange: Event<ICrashHistoryRecord> = this.changed.onDidFire;
  /** Fires when a local observation changes a quarantine decision, which then has to be persisted. */
  readonly onDidChangeDecision: Event<ICrashHistoryRecord> = this.decisionChanged.onDidFire;
  /** Fires with the fingerprint of a quarantined request that expired, as it crashed no target for long. */
  readonly onDidExpire: Event<string> = this.expired.onDidFire;

  constructor(private readonly options: IRequestQuarantineOptions) {}

  /** How much longer a request must not be sent, in ms; 0 if it may be. */
  getHoldMs(fingerprints: readonly string[]): number {
    const nowMs = this.now;
    return fingerprints.reduce((longest, fingerprint) => {
      return Math.max(longest, this.histories.get(fingerprint)?.getHoldMs(nowMs) ?? 0);
    }, 0);
  }

  /** Records that a request is granted a target. After a hold, this is a trial and holds other copies. */
  recordGrant({ fingerprints, requestId }: Pick<IAttempt, 'fingerprints' | 'requestId'>): void {
    for (const fingerprint of fingerprints) this.startTrial(fingerprint, requestId);
  }

  /** Records that the connection of an attempt was lost before the response was complete. */
  recordConnectionLoss(attempt: IAttempt): void {
    for (const fingerprint of attempt.fingerprints) this.recordLoss(fingerprint, attempt);
  }

  /** Records that a target completed the request, which releases it. */
  recordSuccess(fingerprints: readonly string[]): void {
    for (const fingerprint of fingerprints) this.release(fingerprint, 'it succeeded');
  }

  /** Records that a target responded to an attempt granted at `grantedMs`; removes its earlier crashes. */
  recordResponse(target: string, grantedMs: number): void {
    for (const fingerprint of [...(this.fingerprintsByTarget.get(target) ?? [])]) {
      const history = this.histories.get(fingerprint);
      if (history === undefined) continue;
      const crashesBefore = history.crashCount;
      if (!this.updateHistory(history, () => history.removeCrash(target, grantedMs))) continue;
      // Nodes that were notified of the quarantine decision must be notified that it is withdrawn.
      const isRefuted = crashesBefore === CRASHES_TO_QUARANTINE;
      if (isRefuted) this.release(fingerprint, 'a target was not lost');
      else if (history.crashCount === 0) this.histories.delete(fingerprint);
    }
  }

  /** Releases a request. Returns false if there is no evidence against it. */
  release(fingerprint: string, reason: string): boolean {
    const history = this.histories.get(fingerprint);
    if (history === undefined || history.crashCount === 0) return false;
    const wasShared = history.crashCount >= CRASHES_TO_SHARE;
    const wasQuarantined = history.isQuarantined;
    this.updateHistory(history, () => {
      history.clear(this.now);
    });
    if (!wasShared) {
      this.histories.delete(fingerprint);
      return true;
    }
    this.options.log.info('request is no longer suspected', { fingerprint, reason });
    this.announce(history, wasQuarantined);
    return true;
  }

  /** Merges a record received from another node or read from the store. */
  applyRecord(record: ICrashHistoryRecord): void {
    const known = this.histories.get(record.fingerprint);
    // A record without crashes adds nothing for a request that isn't tracked here.
    if (known === undefined && record.crashes.length === 0) return;
    const history = known ?? this.addHistory(record.fingerprint);
    const wasHeld = history.isHeld(this.now);
    const crashesBefore = history.crashCount;
    if (!this.updateHistory(history, () => history.merge(record, this.now))) return;
    const isHeld = history.isHeld(this.now);
    // Neither side had enough crashes alone, so this node makes the decision and announces it.
    const isDecidedHere = Math.max(crashesBefore, record.crashes.length) < CRASHES_TO_QUARANTINE;
    if (isDecidedHere && history.isQuarantined) this.announce(history, true);
    if (isHeld === wasHeld) return;
    const { fingerprint } = record;
    this.options.log.warn(isHeld ? 'request is held back' : 'request is let go', {
      fingerprint,
      crashes: history.crashCount,
      holdMs: Math.round(history.getHoldMs(this.now)),
      source: 'another node',
    });
  }

  /** Lists all quarantined requests, whether they are held or due for a trial. */
  listQuarantined(): readonly ICrashHistoryRecord[] {
    return this.listRecords(({ isQuarantined }) => isQuarantined);
  }

  /** Lists the records to share with other nodes: quarantined and recently released requests. */
  listShared(): readonly ICrashHistoryRecord[] {
    this.removeExpired();
    const oldestMs = this.now - RETENTION_MS;
    return this.listRecords((history) => history.isQuarantined || history.lastClearedMs > oldestMs);
  }

  /** Counts the tracked requests and the targets that index them; both are bounded. */
  countEntries(): number {
    return this.histories.size + this.fingerprintsByTarget.size;
  }

  private get now(): number {
    return this.options.clock.getMonotonicTime();
  }

  private listRecords(
    isListed: (history: CrashHistory) => boolean,
  ): readonly ICrashHistoryRecord[] {
    const nowMs = this.now;
    return [...this.histories.values()].filter(isListed).map((history) => history.toRecord(nowMs));
  }

  private startTrial(fingerprint: string, requestId: string): void {
    const history = this.histories.get(fingerprint);
    if (history?.isQuarantined !== true) return;
    history.startTrial(this.now);
    this.options.log.warn('held request is tried once more', {
      request: requestId,
      fingerprint,
      trials: history.trialCount,
      holdMs: Math.round(history.getHoldMs(this.now)),
    });
    this.announce(history, true);
  }

  private recordLoss(fingerprint: string, attempt: IAttempt): void {
    const { grantedMs, requestId, target } = attempt;
    const history = this.histories.get(fingerprint) ?? this.addHistory(fingerprint);
    const wasQuarantined = history.isQuarantined;
    const nowMs = this.now;
    this.losses.record(target, fingerprint, nowMs);
    const isCounted = this.updateHistory(history, () => {
      // All losses concurrent with the earlier crashes are known by now.
      if (!wasQuarantined) {
        history.removeUnrelatedCrashes((atMs) => this.losses.isCommonCause(fingerprint, atMs));
      }
      return history.recordConnectionLoss({ target, grantedMs, atMs: nowMs });
    });
    if (!isCounted) return;
    if (history.crashCount < CRASHES_TO_SHARE) return;
    this.options.log.warn('targets are lost under one request', {
      request: requestId,
      fingerprint,
      target,
      crashes: history.crashCount,
      isHeld: history.isHeld(nowMs),
      holdMs: Math.round(history.getHoldMs(nowMs)),
    });
    this.announce(history, history.isQuarantined && !wasQuarantined);
  }

  private announce(history: CrashHistory, isDecision: boolean): void {
    const record = history.toRecord(this.now);
    this.changed.fire(record);
    if (isDecision) this.decisionChanged.fire(record);
  }

  /** Changes a history and updates the index by target accordingly. */
  private updateHistory<T>(history: CrashHistory, apply: () => T): T {
    const before = history.listTargets();
    const result = apply();
    const after = history.listTargets();
    for (const target of before) if (!after.includes(target)) this.removeTarget(target, history);
    for (const target of after) {
      const fingerprints = this.fingerprintsByTarget.get(target) ?? new Set();
      this.fingerprintsByTarget.set(target, fingerprints.add(history.fingerprint));
    }
    return result;
  }

  private removeTarget(target: string, { fingerprint }: CrashHistory): void {
    const fingerprints = this.fingerprintsByTarget.get(target);
    fingerprints?.delete(fingerprint);
    if (fingerprints?.size === 0) this.fingerprintsByTarget.delete(target);
  }

  private addHistory(fingerprint: string): CrashHistory {
    this.ensureCapacity();
    const history = new CrashHistory(fingerprint);
    this.histories.set(fingerprint, history);
    return history;
  }

  /**
   * Evicts histories to make room for one more: expired ones, or else the one with the fewest and oldest
   * crashes. The loss of a rack adds hundreds of requests with one crash each, which must not evict those
   * with more.
   */
  private ensureCapacity(): void {
    const { maxHistories = MAX_HISTORIES } = this.options;
    if (this.histories.size < maxHistories) return;
    const oldestMs = this.now - RETENTION_MS;
    for (const history of this.histories.values()) {
      if (!history.isQuarantined && history.lastChangeMs < oldestMs) this.remove(history);
    }
    if (this.histories.size < maxHistories) return;
    const [leastEvidence] = [...this.histories.values()].sort((left, right) => {
      return left.crashCount - right.crashCount || left.lastChangeMs - right.lastChangeMs;
    });
    if (leastEvidence !== undefined) this.remove(leastEvidence);
  }

  /** Removes expired quarantined requests; otherwise nodes would exchange them forever. */
  private removeExpired(): void {
    const oldestMs = this.now - QUARANTINED_RETENTION_MS;
    for (const history of this.histories.values()) {
      if (!history.isQuarantined || history.lastChangeMs > oldestMs) continue;
      this.remove(history);
      this.options.log.info('quarantined request expired', { fingerprint: history.fingerprint });
      this.expired.fire(history.fingerprint);
    }
  }

  private remove(history: CrashHistory): void {
    this.histories.delete(history.fingerprint);
    for (const target of history.listTargets()) this.removeTarget(target, history);
  }
}
