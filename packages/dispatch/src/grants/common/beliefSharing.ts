/** Homes at work tell the nodes that would take over from them what they believe of targets. */
import { create } from '@bufbuild/protobuf';
import type { Clock, IDisposable } from '@parsleymux/base';
import type { Belief, Beliefs } from '@parsleymux/schema';
import { BeliefSchema, BeliefsSchema } from '@parsleymux/schema';
import type { BookedTarget } from '../../home/common/bookedTarget.js';
import type { HomeService } from '../../home/common/homeService.js';
import type { ServiceBook } from '../../home/common/serviceBook.js';
import type { DatagramChannel } from './datagramChannel.js';
import { decodeBornMs, encodeBornMs } from './grantMessages.js';
import { AT_WORK_MS, SHARE_EVERY_MS } from './homePace.js';

/** Older beliefs have drifted back to what is true of any target, in ms. */
const OLDEST_MS = 15_000;
/** Beliefs in one datagram: about 20 bytes each. */
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
  handleBeliefs(message: Beliefs): void {
    const nowMs = this.options.clock.getMonotonicTime();
    const book = this.options.homes.getBook(message.service);
    for (const { ageMs, bornMs, leaving, suspicionPermille, targetId } of message.beliefs) {
      if (leaving) book.applyLeaving(targetId, decodeBornMs(bornMs));
      book.applyEvidence(targetId, decodeBornMs(bornMs), {
        suspicion: suspicionPermille / PERMILLE,
        updatedMs: nowMs - ageMs,
      });
    }
  }

  dispose(): void {
    void this.timer?.dispose();
  }

  private announce(service: string, book: ServiceBook): void {
    if (!book.isAtWork(AT_WORK_MS)) return;
    const nowMs = this.options.clock.getMonotonicTime();
    const beliefs = book.listTargets().flatMap((target) => encodeBelief(target, nowMs) ?? []);
    if (beliefs.length === 0) return;
    const { channel, rankHomes } = this.options;
    for (let first = 0; first < beliefs.length; first += MAX_BELIEFS) {
      const part = beliefs.slice(first, first + MAX_BELIEFS);
      const value = create(BeliefsSchema, { service, beliefs: part });
      for (const home of rankHomes(service)) {
        if (home !== channel.address) channel.send(home, { case: 'beliefs', value });
      }
    }
  }
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
