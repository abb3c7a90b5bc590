/** Homes at work tell the nodes that would take over from them what they believe of targets. */
import { create } from '@bufbuild/protobuf';
import type { Clock, IDisposable } from '@parsleymux/base';
import type { Belief, Beliefs, TargetLimit } from '@parsleymux/schema';
import { BeliefSchema, BeliefsSchema } from '@parsleymux/schema';
import type { BookedTarget } from '../../home/common/bookedTarget.js';
import type { HomeService } from '../../home/common/homeService.js';
import type { ServiceBook } from '../../home/common/serviceBook.js';
import type { DatagramChannel } from './datagramChannel.js';
import { decodeBornMs, decodeRate, encodeBornMs, encodeLimit } from './grantMessages.js';
import { AT_WORK_MS, SHARE_EVERY_MS } from './homePace.js';

/** Older beliefs have drifted back to what is true of any target, in ms. */
const OLDEST_MS = 15_000;
/** Beliefs, and limits, in one datagram: some 20 and 40 bytes each. */
const MAX_BELIEFS = 50;
const PERMILLE = 1000;

/** Options of a {@link BeliefSharing}. */
export interface IBeliefSharingOptions {
  readonly channel: DatagramChannel;
  readonly homes: HomeService;
  readonly clock: Clock;
  /** Homes of a service, best first. */
  readonly rankHomes: (service: string) => readonly string[];
}

/**
 * Without it, every home that starts, stops or dies would take all that the fleet has learnt of its
 * services with it, and the next home would find each gray target again by losing requests to it.
 *
 * @example
 * sharing.start();
 */
export class BeliefSharing implements IDisposable {
  private timer: IDisposable | undefined;

  constructor(private readonly options: IBeliefSharingOptions) {}

  start(): void {
    this.timer = this.options.clock.startTimer(SHARE_EVERY_MS, () => {
      for (const [service, book] of this.options.homes.listBooks()) this.announce(service, book);
      this.start();
    });
  }

  /** Takes what another home believes. */
  handleBeliefs(sender: string, message: Beliefs): void {
    const nowMs = this.options.clock.getMonotonicTime();
    const book = this.options.homes.getBook(message.service);
    for (const { ageMs, bornMs, leaving, suspicionPermille, targetId } of message.beliefs) {
      if (leaving) book.statements.applyLeaving(targetId, decodeBornMs(bornMs));
      book.applyEvidence(targetId, decodeBornMs(bornMs), {
        suspicion: suspicionPermille / PERMILLE,
        updatedMs: nowMs - ageMs,
      });
    }
    for (const limit of message.limits) {
      const { ageMs, granted, rateMilli, targetId } = limit;
      const evidence = { ratePerS: decodeRate(rateMilli), atMs: nowMs - ageMs };
      book.statements.applyLimit(targetId, decodeBornMs(limit.bornMs), evidence, {
        home: sender,
        granted: Number(granted),
      });
    }
  }

  dispose(): void {
    void this.timer?.dispose();
  }

  private announce(service: string, book: ServiceBook): void {
    if (!book.isAtWork(AT_WORK_MS)) return;
    const nowMs = this.options.clock.getMonotonicTime();
    const targets = book.listTargets();
    const beliefs = targets.flatMap((target) => encodeBelief(target, nowMs) ?? []);
    const limits = targets.flatMap((target) => encodeTargetLimit(target, nowMs) ?? []);
    const count = Math.max(beliefs.length, limits.length);
    for (let first = 0; first < count; first += MAX_BELIEFS) {
      const value = create(BeliefsSchema, {
        service,
        beliefs: beliefs.slice(first, first + MAX_BELIEFS),
        limits: limits.slice(first, first + MAX_BELIEFS),
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

/** Also of a target that names no limit any more: other homes would go on keeping to it. */
function encodeTargetLimit(target: BookedTarget, nowMs: number): TargetLimit | undefined {
  const { granted, rateLimit, record } = target;
  const { evidence } = rateLimit;
  if (evidence === undefined) return undefined;
  const { atMs, ratePerS } = evidence;
  const ageMs = nowMs - atMs;
  if (ratePerS === undefined && ageMs > OLDEST_MS) return undefined;
  return encodeLimit({ targetId: record.id, bornMs: record.bornMs, ratePerS, granted }, ageMs);
}

function encodeBelief(target: BookedTarget, nowMs: number): Belief | undefined {
  const evidence = target.belief.getEvidence();
  if (evidence === undefined || nowMs - evidence.updatedMs > OLDEST_MS) return undefined;
  return create(BeliefSchema, {
    targetId: target.record.id,
    ...encodeBornMs(target.record.bornMs),
    leaving: target.isLeaving,
    suspicionPermille: Math.round(evidence.suspicion * PERMILLE),
    ageMs: Math.round(nowMs - evidence.updatedMs),
  });
}
