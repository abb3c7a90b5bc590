/** Holds requests back under which one target after the other crashes. */
import type { Clock, Event, Logger } from '@parsleymux/base';
import { Emitter } from '@parsleymux/base';
import type { ICaseRecord } from './crashCase.js';
import { LossLog } from './lossLog.js';
import { CRASHES_TO_HOLD, CrashCase } from './crashCase.js';

/** Requests that a node keeps in mind at most: some 500 bytes each. */
const MAX_CASES = 1024;
/** Without another crash, a request that is not held back is forgotten after this time, in ms. */
const FORGET_MS = 600_000;
/** One that is held back and comes no more is forgotten after this time, in ms. */
const FORGET_CONVICTED_MS = 86_400_000;
/** Others are told of a request from this many crashes on: most crashes are no request's fault. */
const CRASHES_TO_TELL = 2;

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
  readonly maxCases?: number;
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
  private readonly cases = new Map<string, CrashCase>();
  /** Fingerprints of the requests under which a target was lost, by the target's life. */
  private readonly accusers = new Map<string, Set<string>>();
  private readonly losses = new LossLog();
  private readonly changed = new Emitter<ICaseRecord>();
  private readonly held = new Emitter<ICaseRecord>();
  private readonly expired = new Emitter<string>();

  /** Fires with a case that other nodes have to know of, changed by what was seen here. */
  readonly onDidChange: Event<ICaseRecord> = this.changed.onDidFire;
  /** Fires when the verdict on a request changes by what was seen here; it has to outlive the fleet. */
  readonly onDidDecide: Event<ICaseRecord> = this.held.onDidFire;
  /** Fires with the fingerprint of a held request that is forgotten, since it came no more. */
  readonly onDidExpire: Event<string> = this.expired.onDidFire;

  constructor(private readonly options: IRequestQuarantineOptions) {}

  /** For how long a request may not be sent yet, in ms; 0 if it may be. */
  getHoldMs(fingerprints: readonly string[]): number {
    const nowMs = this.now;
    return fingerprints.reduce((longest, fingerprint) => {
      return Math.max(longest, this.cases.get(fingerprint)?.getHoldMs(nowMs) ?? 0);
    }, 0);
  }

  /** A request is granted a target. After a hold that is a trial: others have to wait for its outcome. */
  recordGrant({ fingerprints, requestId }: Pick<IAttempt, 'fingerprints' | 'requestId'>): void {
    for (const fingerprint of fingerprints) this.startTrial(fingerprint, requestId);
  }

  /** The connection of an attempt was lost before its answer was whole. */
  recordLoss(attempt: IAttempt): void {
    for (const fingerprint of attempt.fingerprints) this.recordLossOf(fingerprint, attempt);
  }

  /** A target ran the request to a good end, so the request crashes nothing. */
  recordSuccess(fingerprints: readonly string[]): void {
    for (const fingerprint of fingerprints) this.release(fingerprint, 'it succeeded');
  }

  /** A target answered an attempt that it was granted after it had seemed to be lost. */
  recordAnswer(target: string, grantedMs: number): void {
    for (const fingerprint of [...(this.accusers.get(target) ?? [])]) {
      const found = this.cases.get(fingerprint);
      if (found === undefined) continue;
      const crashesBefore = found.crashCount;
      if (!this.updateCase(found, () => found.removeCrash(target, grantedMs))) continue;
      // Whoever was told of the verdict has to hear that it does not stand.
      const isRefuted = crashesBefore === CRASHES_TO_HOLD;
      if (isRefuted) this.release(fingerprint, 'a target was not lost');
      else if (found.crashCount === 0) this.cases.delete(fingerprint);
    }
  }

  /** Lets a request go. False if nothing is known of it. */
  release(fingerprint: string, reason: string): boolean {
    const found = this.cases.get(fingerprint);
    if (found === undefined || found.crashCount === 0) return false;
    const wasTold = found.crashCount >= CRASHES_TO_TELL;
    const wasConvicted = found.isConvicted;
    this.updateCase(found, () => {
      found.clear(this.now);
    });
    if (!wasTold) {
      this.cases.delete(fingerprint);
      return true;
    }
    this.options.log.info('request is no longer suspected', { fingerprint, reason });
    this.announce(found, wasConvicted);
    return true;
  }

  /** Takes what another node, or the store, knows of a request. */
  applyRecord(record: ICaseRecord): void {
    const known = this.cases.get(record.fingerprint);
    // That nothing speaks against a request is no news where nothing is known of it.
    if (known === undefined && record.crashes.length === 0) return;
    const found = known ?? this.open(record.fingerprint);
    const wasHeld = found.isHeld(this.now);
    const crashesBefore = found.crashCount;
    if (!this.updateCase(found, () => found.merge(record, this.now))) return;
    const isHeld = found.isHeld(this.now);
    // The sender did not know enough for the verdict: then it comes from here.
    const isDecidedHere = Math.max(crashesBefore, record.crashes.length) < CRASHES_TO_HOLD;
    if (isDecidedHere && found.isConvicted) this.announce(found, true);
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
  listConvicted(): readonly ICaseRecord[] {
    return this.listRecords(({ isConvicted }) => isConvicted);
  }

  /** What all nodes have to know, also which requests were found harmless lately. */
  listShared(): readonly ICaseRecord[] {
    this.removeExpired();
    const oldestMs = this.now - FORGET_MS;
    return this.listRecords((found) => found.isConvicted || found.lastClearedMs > oldestMs);
  }

  /** Cases, and targets by which they are looked up; both are bounded. */
  countKept(): number {
    return this.cases.size + this.accusers.size;
  }

  private get now(): number {
    return this.options.clock.getMonotonicTime();
  }

  private listRecords(isListed: (found: CrashCase) => boolean): readonly ICaseRecord[] {
    const nowMs = this.now;
    return [...this.cases.values()].filter(isListed).map((found) => found.toRecord(nowMs));
  }

  private startTrial(fingerprint: string, requestId: string): void {
    const found = this.cases.get(fingerprint);
    if (found?.isConvicted !== true) return;
    found.startTrial(this.now);
    this.options.log.warn('held request is tried once more', {
      request: requestId,
      fingerprint,
      trials: found.trialCount,
      holdMs: Math.round(found.getHoldMs(this.now)),
    });
    this.announce(found, true);
  }

  private recordLossOf(fingerprint: string, attempt: IAttempt): void {
    const { grantedMs, requestId, target } = attempt;
    const found = this.cases.get(fingerprint) ?? this.open(fingerprint);
    const wasConvicted = found.isConvicted;
    const nowMs = this.now;
    this.losses.record(target, fingerprint, nowMs);
    const isCounted = this.updateCase(found, () => {
      // By now it is known what else was lost at the moments of the earlier ones.
      if (!wasConvicted) {
        found.removeExplained((atMs) => this.losses.isCommonCause(fingerprint, atMs));
      }
      return found.recordLoss({ target, grantedMs, atMs: nowMs });
    });
    if (!isCounted) return;
    if (found.crashCount < CRASHES_TO_TELL) return;
    this.options.log.warn('targets are lost under one request', {
      request: requestId,
      fingerprint,
      target,
      crashes: found.crashCount,
      isHeld: found.isHeld(nowMs),
      holdMs: Math.round(found.getHoldMs(nowMs)),
    });
    this.announce(found, found.isConvicted && !wasConvicted);
  }

  private announce(found: CrashCase, isDecision: boolean): void {
    const record = found.toRecord(this.now);
    this.changed.fire(record);
    if (isDecision) this.held.fire(record);
  }

  /** Changes a case, and keeps the look-up by target in step with it. */
  private updateCase<T>(found: CrashCase, apply: () => T): T {
    const before = found.listTargets();
    const result = apply();
    const after = found.listTargets();
    for (const target of before) if (!after.includes(target)) this.removeAccuser(target, found);
    for (const target of after) {
      const accusers = this.accusers.get(target) ?? new Set();
      this.accusers.set(target, accusers.add(found.fingerprint));
    }
    return result;
  }

  private removeAccuser(target: string, { fingerprint }: CrashCase): void {
    const accusers = this.accusers.get(target);
    accusers?.delete(fingerprint);
    if (accusers?.size === 0) this.accusers.delete(target);
  }

  private open(fingerprint: string): CrashCase {
    this.removeOld();
    const found = new CrashCase(fingerprint);
    this.cases.set(fingerprint, found);
    return found;
  }

  /**
   * Makes room. When hundreds of requests are lost with a rack, each has one crash against it; those that
   * have crashed most stay, and of the others the newest.
   */
  private removeOld(): void {
    const { maxCases = MAX_CASES } = this.options;
    if (this.cases.size < maxCases) return;
    const oldestMs = this.now - FORGET_MS;
    for (const found of this.cases.values()) {
      if (!found.isConvicted && found.lastMs < oldestMs) this.remove(found);
    }
    if (this.cases.size < maxCases) return;
    const [weakest] = [...this.cases.values()].sort((left, right) => {
      return left.crashCount - right.crashCount || left.lastMs - right.lastMs;
    });
    if (weakest !== undefined) this.remove(weakest);
  }

  /** Without it, nodes would tell each other for ever of requests that were mended long ago. */
  private removeExpired(): void {
    const oldestMs = this.now - FORGET_CONVICTED_MS;
    for (const found of this.cases.values()) {
      if (!found.isConvicted || found.lastMs > oldestMs) continue;
      this.remove(found);
      this.options.log.info('held request is forgotten', { fingerprint: found.fingerprint });
      this.expired.fire(found.fingerprint);
    }
  }

  private remove(found: CrashCase): void {
    this.cases.delete(found.fingerprint);
    for (const target of found.listTargets()) this.removeAccuser(target, found);
  }
}
