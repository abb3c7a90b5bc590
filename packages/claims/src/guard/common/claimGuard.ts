/**
 * Lets a request that is not idempotent run at most once across the fleet.
 *
 * Whoever is about to dispatch claims the caller's key by one conditional write. The claim has
 * no lease: only its winner ever dispatches, once, however long it is paused in between. Its
 * outcome is recorded under the key and replayed to later requests. A claim that provably did
 * not run is released; one whose outcome nobody knows is never run again.
 */
import type { Clock, IDisposable, RandomSource } from '@parsleymux/base';
import type { IResponse, IGuardedAttempt } from '@parsleymux/routing';
import { DispatchGuard } from '@parsleymux/routing';
import type { IAttemptOutcome } from '../../attempt/common/attemptRegistry.js';
import { AttemptEnd, AttemptRegistry } from '../../attempt/common/attemptRegistry.js';
import { waitAtMost } from '../../attempt/common/waitAtMost.js';
import { markReplayed } from '../../claim/common/answerCodec.js';
import type { IVersionedClaim } from '../../claim/common/claim.js';
import { ClaimState } from '../../claim/common/claim.js';
import type { IClaimIdentity } from '../../claim/common/claimIdentity.js';
import { formatClaimRowKey, getClaimIdentity } from '../../claim/common/claimIdentity.js';
import { getKeyTime } from '../../claim/common/keyTime.js';
import { Retention } from '../../expiry/common/retention.js';
import type { ClaimMetrics } from '../../metrics/common/claimMetrics.js';
import { ClaimLookUpHandler } from '../../peer/common/claimLookUpHandler.js';
import { ClaimStore } from '../../store/common/claimStore.js';
import { BackgroundRetrier } from './backgroundRetrier.js';
import {
  makeAnswerNotKept,
  makeCallerGone,
  makeDeadlinePassed,
  makeKeyConflict,
  makeKeyExpired,
  makeOutcomeUnknown,
  makeStillRunning,
  makeStoreUnavailable,
} from './claimErrors.js';
import { ClaimFollower } from './claimFollower.js';
import type { IClaimGuardOptions } from './claimGuardOptions.js';
import { withGuardDefaults } from './claimGuardOptions.js';
import { ClaimRunner } from './claimRunner.js';
import { OutcomeSettler } from './outcomeSettler.js';

/**
 * The guard over the platform's table.
 *
 * @example
 * const guard = new ClaimGuard({ table, objects, clock, random, invariants, nodeAddress, peer });
 * const answer = await guard.execute(attempt, signal);
 */
export class ClaimGuard extends DispatchGuard implements IDisposable {
  /** Serves other nodes' questions about this node's claims. */
  readonly lookUpHandler: ClaimLookUpHandler;
  private readonly clock: Clock;
  private readonly random: RandomSource;
  private readonly metrics: ClaimMetrics;
  private readonly retention: Retention;
  private readonly store: ClaimStore;
  private readonly registry = new AttemptRegistry();
  private readonly retrier: BackgroundRetrier;
  private readonly runner: ClaimRunner;
  private readonly follower: ClaimFollower;

  constructor(given: IClaimGuardOptions) {
    super();
    const options = withGuardDefaults(given);
    const { clock, random, committer, peer, metrics } = options;
    const { registry } = this;
    const store = new ClaimStore({ committer, clock, random });
    const retrier = new BackgroundRetrier({ clock, random });
    const handler = new ClaimLookUpHandler({ registry, clock });
    const shared = { ...options, store, retrier, handler, registry };
    this.clock = clock;
    this.random = random;
    this.metrics = metrics;
    this.retention = new Retention(options.retentionS);
    this.store = store;
    this.retrier = retrier;
    this.lookUpHandler = handler;
    this.runner = new ClaimRunner(shared);
    this.follower = new ClaimFollower({ ...shared, peer, settler: new OutcomeSettler(shared) });
    metrics.addGauges({
      getPendingRecords: () => retrier.getPendingCount(),
      getTransactions: () => committer.getTransactionCount(),
      getRows: () => committer.getRowCount(),
    });
  }

  override async execute(guarded: IGuardedAttempt, signal: AbortSignal): Promise<IResponse> {
    const identity = getClaimIdentity(guarded.request);
    const rowKey = formatClaimRowKey(identity.member, identity.claimKey);
    let known: IVersionedClaim | undefined;
    for (;;) {
      this.checkStillWanted(guarded, signal);
      const joined = await this.joinLocal(guarded, identity, rowKey);
      if (joined !== undefined) return this.replay(guarded, joined);
      known ??= await this.findBeforeRefusing(guarded, rowKey);
      const version = known === undefined ? 0 : await this.resolveKnown(guarded, identity, known);
      if (typeof version !== 'number') return this.replay(guarded, version);
      const refusal = guarded.estimateRefusal();
      if (refusal !== undefined) throw refusal;
      const result = await this.runner.run(guarded, identity, version, signal);
      if (result.outcome !== undefined) return this.finish(guarded, identity, result.outcome);
      known = result.current;
    }
  }

  /** Outcomes and releases that are not in the store yet. */
  getPendingRecordCount(): number {
    return this.retrier.getPendingCount();
  }

  /** Resolves when the store has every outcome; shutdown waits for it, within its own limit. */
  flush(): Promise<void> {
    return this.retrier.flush();
  }

  dispose(): void {
    this.retrier.dispose();
  }

  /** What the caller of the attempt itself is given: the answer as it came, or the true error. */
  private async finish(
    guarded: IGuardedAttempt,
    identity: IClaimIdentity,
    outcome: IAttemptOutcome,
  ): Promise<IResponse> {
    if (outcome.answer !== undefined) return outcome.answer;
    const error = outcome.error ?? makeOutcomeUnknown(true);
    const isUnknown = outcome.end === AttemptEnd.Unknown;
    if (!isUnknown || guarded.request.route.lookUpPath === '') throw error;
    // The targets may know what this caller could not be told; without their word the error
    // of the run itself says more than "unknown".
    try {
      const rowKey = formatClaimRowKey(identity.member, identity.claimKey);
      const found = await this.resolveLocal(guarded, identity, rowKey, outcome);
      if (found !== undefined) return found;
    } catch {
      throw error;
    }
    throw error;
  }

  private replay(guarded: IGuardedAttempt, answer: IResponse): IResponse {
    this.metrics.replays.inc({ member: guarded.request.member });
    return answer;
  }

  private checkStillWanted(guarded: IGuardedAttempt, signal: AbortSignal): void {
    if (signal.aborted) throw makeCallerGone();
    if (this.clock.getMonotonicTime() >= guarded.request.deadlineMs) throw makeDeadlinePassed();
  }

  /**
   * Under overload a key that ran must still be told so; only a key that did not run may be
   * refused as not run. Checking instead of claiming spares the store a write and a release.
   * A key that tells its age and is older than records are kept has no row whether it ran or
   * not; run again, it could run twice.
   */
  private async findBeforeRefusing(
    guarded: IGuardedAttempt,
    rowKey: string,
  ): Promise<IVersionedClaim | undefined> {
    const refusal = guarded.estimateRefusal();
    const isTooOld = this.isKeyTooOld(guarded);
    if (refusal === undefined && !isTooOld) return undefined;
    const known = await this.find(rowKey);
    if (known === undefined && isTooOld) throw makeKeyExpired();
    const isFree = known === undefined || known.claim.state === ClaimState.NotRun;
    if (isFree && refusal !== undefined) throw refusal;
    return known;
  }

  private isKeyTooOld(guarded: IGuardedAttempt): boolean {
    const keyTimeMs = getKeyTime(guarded.request.idempotencyKey ?? '');
    if (keyTimeMs === undefined) return false;
    return this.retention.isKeyTooOld(keyTimeMs, this.clock.getWallTime());
  }

  private async find(rowKey: string): Promise<IVersionedClaim | undefined> {
    try {
      return (await this.store.check(rowKey, 0)).current;
    } catch {
      throw makeStoreUnavailable(this.random.getFloat());
    }
  }

  /** The recorded answer, or the version at which the row may be claimed again. */
  private async resolveKnown(
    guarded: IGuardedAttempt,
    identity: IClaimIdentity,
    known: IVersionedClaim,
  ): Promise<IResponse | number> {
    const { request } = guarded;
    const followed = await this.follower.resolve(request, identity, known);
    return followed.answer ?? followed.claimableVersion;
  }

  /** Waits for an attempt of this very process: that works with the store out, too. */
  private async joinLocal(
    guarded: IGuardedAttempt,
    identity: IClaimIdentity,
    rowKey: string,
  ): Promise<IResponse | undefined> {
    const attempt = this.registry.findByRow(rowKey);
    if (attempt === undefined || isNotRun(attempt.getOutcome())) return undefined;
    if (attempt.digest !== identity.digest) throw makeKeyConflict();
    const leftMs = this.follower.getTimeLeft(guarded.request);
    const outcome = await waitAtMost(this.clock, attempt.ended, leftMs);
    if (outcome === undefined) throw makeStillRunning();
    if (isNotRun(outcome)) return undefined;
    if (outcome.answer !== undefined) return markReplayed(outcome.answer);
    return this.resolveLocal(guarded, identity, rowKey, outcome);
  }

  private async resolveLocal(
    guarded: IGuardedAttempt,
    identity: IClaimIdentity,
    rowKey: string,
    outcome: IAttemptOutcome,
  ): Promise<IResponse | undefined> {
    if (outcome.end === AttemptEnd.RanNotKept) throw makeAnswerNotKept();
    const checked = await this.store.check(rowKey, 0).catch(() => undefined);
    const known = checked?.current;
    if (known === undefined) throw makeOutcomeUnknown(true);
    const followed = await this.resolveKnown(guarded, identity, known);
    return typeof followed === 'number' ? undefined : followed;
  }
}

function isNotRun(outcome: IAttemptOutcome | undefined): boolean {
  return outcome?.end === AttemptEnd.NotRun;
}
