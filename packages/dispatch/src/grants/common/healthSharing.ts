/** Sends the health estimates of active homes to the nodes that would take over from them. */
import { create } from '@bufbuild/protobuf';
import type { Clock, IDisposable } from '@parsleymux/base';
import type { Belief, Beliefs, TargetLimit } from '@parsleymux/schema';
import { BeliefSchema, BeliefsSchema } from '@parsleymux/schema';
import type { TargetState, HomeService, ServiceScheduler } from '@parsleymux/scheduling';
import type { DatagramChannel } from './datagramChannel.js';
import { decodeBornMs, decodeRate, encodeBornMs, encodeLimit } from './grantMessages.js';
import { toUint32 } from './integerFields.js';
import { ACTIVE_MS, SHARE_INTERVAL_MS } from '@parsleymux/scheduling';

/** Older estimates are not sent, in ms: they have converged to the average of all targets. */
const MAX_AGE_MS = 15_000;
/** Maximum number of estimates and of limits in one datagram: about 20 and 40 bytes each. */
const MAX_ENTRIES_PER_DATAGRAM = 50;
const PERMILLE = 1000;

/** Options of a {@link HealthSharing}. */
export interface IHealthSharingOptions {
  readonly channel: DatagramChannel;
  readonly homes: HomeService;
  readonly clock: Clock;
  /** Homes of a service in order of preference. */
  readonly rankHomes: (service: string) => readonly string[];
}

/**
 * Preserves the health estimates when the home of a service changes. Without them, the next home would
 * detect each failing target again by losing requests to it.
 *
 * @example
 * sharing.start();
 */
export class HealthSharing implements IDisposable {
  private timer: IDisposable | undefined;

  constructor(private readonly options: IHealthSharingOptions) {}

  start(): void {
    this.timer = this.options.clock.startTimer(SHARE_INTERVAL_MS, () => {
      for (const [service, scheduler] of this.options.homes.listSchedulers())
        this.announce(service, scheduler);
      this.start();
    });
  }

  /** Applies the estimates and limits of another home. */
  handleBeliefs(sender: string, message: Beliefs): void {
    const nowMs = this.options.clock.getMonotonicTime();
    const scheduler = this.options.homes.getScheduler(message.service);
    for (const { ageMs, bornMs, leaving, suspicionPermille, targetId } of message.beliefs) {
      if (leaving) scheduler.notices.applyDraining(targetId, decodeBornMs(bornMs));
      scheduler.applyEvidence(targetId, decodeBornMs(bornMs), {
        suspicion: suspicionPermille / PERMILLE,
        updatedMs: nowMs - ageMs,
      });
    }
    for (const limit of message.limits) {
      const { ageMs, granted, rateMilli, targetId } = limit;
      const evidence = { ratePerS: decodeRate(rateMilli), atMs: nowMs - ageMs };
      scheduler.notices.applyLimit(targetId, decodeBornMs(limit.bornMs), evidence, {
        home: sender,
        granted: Number(granted),
      });
    }
  }

  dispose(): void {
    void this.timer?.dispose();
  }

  private announce(service: string, scheduler: ServiceScheduler): void {
    if (!scheduler.isActive(ACTIVE_MS)) return;
    const nowMs = this.options.clock.getMonotonicTime();
    const targets = scheduler.listTargets();
    const beliefs = targets.flatMap((target) => encodeBelief(target, nowMs) ?? []);
    const limits = targets.flatMap((target) => encodeTargetLimit(target, nowMs) ?? []);
    const count = Math.max(beliefs.length, limits.length);
    for (let first = 0; first < count; first += MAX_ENTRIES_PER_DATAGRAM) {
      const value = create(BeliefsSchema, {
        service,
        beliefs: beliefs.slice(first, first + MAX_ENTRIES_PER_DATAGRAM),
        limits: limits.slice(first, first + MAX_ENTRIES_PER_DATAGRAM),
      });
      this.send(service, value);
    }
  }

  private send(service: string, value: Beliefs): void {
    const { channel, rankHomes } = this.options;
    for (const home of rankHomes(service)) {
      if (home !== channel.address) channel.send(home, { case: 'beliefs', value });
    }
  }
}

/** Includes targets that no longer advertise a limit; otherwise other homes would keep enforcing it. */
function encodeTargetLimit(target: TargetState, nowMs: number): TargetLimit | undefined {
  const { granted, rateLimit, record } = target;
  const { evidence } = rateLimit;
  if (evidence === undefined) return undefined;
  const { atMs, ratePerS } = evidence;
  const ageMs = nowMs - atMs;
  if (ratePerS === undefined && ageMs > MAX_AGE_MS) return undefined;
  return encodeLimit({ targetId: record.id, bornMs: record.bornMs, ratePerS, granted }, ageMs);
}

function encodeBelief(target: TargetState, nowMs: number): Belief | undefined {
  const evidence = target.health.getEvidence();
  if (evidence === undefined || nowMs - evidence.updatedMs > MAX_AGE_MS) return undefined;
  return create(BeliefSchema, {
    targetId: target.record.id,
    ...encodeBornMs(target.record.bornMs),
    leaving: target.hasReportedDraining,
    suspicionPermille: toUint32(evidence.suspicion * PERMILLE),
    ageMs: toUint32(nowMs - evidence.updatedMs),
  });
}
