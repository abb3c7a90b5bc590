/**
 * Ensures that a request that is not idempotent runs at most once across the fleet.
 *
 * Before a node dispatches the request, it claims the caller's key with one conditional write.
 * The claim is not a lease: only its winner may dispatch, once, however long it is paused in
 * between. The outcome is recorded under the key and replayed to later requests. A claim whose
 * request provably did not run is released; one whose outcome is unknown never runs again.
 */
import type { Clock, IDisposable, RandomSource } from '@parsleymux/base';
import type { IGuardedAttempt, IResponse } from '@parsleymux/routing';
import { DispatchGuard } from '@parsleymux/routing';
import type { IAttemptOutcome } from '../../attempt/common/attemptRegistry.js';
import { AttemptEnd, AttemptRegistry } from '../../attempt/common/attemptRegistry.js';
import { waitWithTimeout } from '../../attempt/common/waitWithTimeout.js';
import { markReplayed } from '../../claim/common/responseCodec.js';
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
import { ClaimResolver } from './claimResolver.js';
import type { IClaimGuardOptions } from './claimGuardOptions.js';
import { withGuardDefaults } from './claimGuardOptions.js';
import { ClaimRunner } from './claimRunner.js';
import { OutcomeSettler } from './outcomeSettler.js';

/**
 * Dispatch guard that stores its claims in the platform's table.
 *
 * @example
 * const guard = new ClaimGuard({ table, objects, clock, random, invariants, nodeAddress, peer });
 * const response = await guard.execute(attempt, signal);
 */
export class ClaimGuard extends DispatchGuard implements IDisposable {
  /** Handles look-ups of this node's claims by other nodes. */
  readonly lookUpHandler: ClaimLookUpHandler;
  private readonly clock: Clock;
  private readonly random: RandomSource;
  private readonly metrics: ClaimMetrics;
  private readonly retention: Retention;
  private readonly store: ClaimStore;
  private readonly registry = new AttemptRegistry();
  private readonly retrier: BackgroundRetrier;
  private readonly runner: ClaimRunner;
  private readonly resolver: ClaimResolver;

  constructor(givenOptions: IClaimGuardOptions) {
    super();
    const options = withGuardDefaults(givenOptions);
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
    this.resolver = new ClaimResolver({ ...shared, peer, settler: new OutcomeSettler(shared) });
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
      this.checkDeadlineAndCaller(guarded, signal);
      const localResponse = await this.joinLocal(guarded, identity, rowKey);
      if (localResponse !== undefined) return this.replay(guarded, localResponse);
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

  /** Number of outcomes and releases that are not yet written to the store. */
  getPendingRecordCount(): number {
    return this.retrier.getPendingCount();
  }

  /** Resolves when every outcome is written to the store. Shutdown waits for it, up to its own limit. */
  flush(): Promise<void> {
    return this.retrier.flush();
  }

  dispose(): void {
    this.retrier.dispose();
  }

  /** Returns the unchanged response to the caller of the attempt, or throws its error. */
  private async finish(
    guarded: IGuardedAttempt,
    identity: IClaimIdentity,
    outcome: IAttemptOutcome,
  ): Promise<IResponse> {
    if (outcome.response !== undefined) return outcome.response;
    const error = outcome.error ?? makeOutcomeUnknown(true);
    const isUnknown = outcome.end === AttemptEnd.Unknown;
    if (!isUnknown || guarded.request.route.lookUpPath === '') throw error;
    // A look-up at the targets may find the outcome. Otherwise the error of the attempt is more
    // specific than "outcome unknown".
    try {
      const rowKey = formatClaimRowKey(identity.member, identity.claimKey);
      const found = await this.resolveLocal(guarded, identity, rowKey, outcome);
      if (found !== undefined) return found;
    } catch {
      throw error;
    }
    throw error;
  }

  private replay(guarded: IGuardedAttempt, response: IResponse): IResponse {
    this.metrics.replays.inc({ member: guarded.request.member });
    return response;
  }

  private checkDeadlineAndCaller(guarded: IGuardedAttempt, signal: AbortSignal): void {
    if (signal.aborted) throw makeCallerGone();
    if (this.clock.getMonotonicTime() >= guarded.request.deadlineMs) throw makeDeadlinePassed();
  }

  /**
   * Checks the row before a request is refused for overload or for the age of its key. Under
   * overload, only a key that did not run may be refused as not run. Checking instead of claiming
   * avoids a write and a release. A key whose creation time exceeds the retention may have no row
   * although it ran, and running it again could run it twice.
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

  /** Returns the recorded response, or the version at which the row may be claimed again. */
  private async resolveKnown(
    guarded: IGuardedAttempt,
    identity: IClaimIdentity,
    known: IVersionedClaim,
  ): Promise<IResponse | number> {
    const { request } = guarded;
    const resolution = await this.resolver.resolve(request, identity, known);
    return resolution.response ?? resolution.claimableVersion;
  }

  /** Waits for an attempt of this process, which also works while the store is unavailable. */
  private async joinLocal(
    guarded: IGuardedAttempt,
    identity: IClaimIdentity,
    rowKey: string,
  ): Promise<IResponse | undefined> {
    const attempt = this.registry.findByRow(rowKey);
    if (attempt === undefined || isNotRun(attempt.getOutcome())) return undefined;
    if (attempt.digest !== identity.digest) throw makeKeyConflict();
    const remainingMs = this.resolver.getTimeLeft(guarded.request);
    const outcome = await waitWithTimeout(this.clock, attempt.ended, remainingMs);
    if (outcome === undefined) throw makeStillRunning();
    if (isNotRun(outcome)) return undefined;
    if (outcome.response !== undefined) return markReplayed(outcome.response);
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
    const resolution = await this.resolveKnown(guarded, identity, known);
    return typeof resolution === 'number' ? undefined : resolution;
  }
}

function isNotRun(outcome: IAttemptOutcome | undefined): boolean {
  return outcome?.end === AttemptEnd.NotRun;
}
