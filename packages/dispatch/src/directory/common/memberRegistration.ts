/** This node's row in the list of members: put there at the start, and taken off when it leaves. */
import type { Clock, Logger, RandomSource } from '@parsleymux/base';
import type { Authority, IMember } from './authority.js';
import { StoreCallError } from './authority.js';
import type { FollowedTable } from './followedTable.js';

/** Pause between attempts to register, in ms, and by how much of it nodes differ. */
const RETRY_MS = 500;
const RETRY_JITTER = 0.6;
/**
 * Nodes of a new fleet register within this time, in ms: no caller waits, and a store takes some 200
 * writes a second to one table. Of 293 nodes that registered at once 171 were refused or not heard.
 */
const FIRST_REGISTRATION_SPREAD_MS = 1500;
/** How often the node looks whether it is still registered, in ms. */
const REGISTRATION_CHECK_INTERVAL_MS = 1000;

/** Options of a {@link MemberRegistration}. */
export interface IMemberRegistrationOptions {
  readonly authority: Authority;
  readonly members: FollowedTable<IMember>;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Logger;
  readonly self: IMember;
  /** Whether the whole fleet starts for the first time. */
  readonly isFirstStart: boolean;
}

/**
 * @example
 * const registration = new MemberRegistration(options);
 * await registration.run(signal);
 */
export class MemberRegistration {
  private readonly startMs: number;
  /** When this node registered last, in ms of the monotonic clock. */
  private registeredMs: number | undefined;
  private isRetired = false;

  constructor(private readonly options: IMemberRegistrationOptions) {
    this.startMs = options.clock.getMonotonicTime();
  }

  /** Registers, and again whenever the list no longer names this node. Ends when `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, isFirstStart, random } = this.options;
    let isDue = true;
    // Callers of a node that starts again may wait: it writes its row before it reads the list.
    if (isFirstStart) {
      await clock
        .sleep(random.getFloat() * FIRST_REGISTRATION_SPREAD_MS, signal)
        .catch(() => undefined);
    }
    while (!signal.aborted && !this.isRetired) {
      const isRegistered: boolean = !isDue || (await this.register(signal));
      const retryMs = random.getJittered(RETRY_MS, RETRY_JITTER);
      const delayMs = isRegistered ? REGISTRATION_CHECK_INTERVAL_MS : retryMs;
      await clock.sleep(delayMs, signal).catch(() => undefined);
      isDue = !isRegistered || this.isUnlisted();
    }
  }

  /**
   * Takes the node off the list for good. Without an end to looking whether it is listed, a node that
   * stops would miss itself a second later and register again, and be home to services until it is gone.
   * Rejects with a {@link StoreCallError} when the store doesn't do it.
   */
  async retire(signal: AbortSignal): Promise<void> {
    this.isRetired = true;
    await this.options.authority.removeMember(this.options.self.address, signal);
  }

  /**
   * Whether the list may be read for the first time. A node of a new fleet registers before: read too
   * early, the list names nobody who could tell it the news, and it would read all tables itself.
   */
  isFirstListReadDue(): boolean {
    const { clock, isFirstStart } = this.options;
    const isLate = clock.getMonotonicTime() - this.startMs > FIRST_REGISTRATION_SPREAD_MS;
    return !isFirstStart || this.registeredMs !== undefined || isLate;
  }

  /**
   * Another node may have taken this one for gone while it was cut off or suspended. A copy from before
   * the registration says nothing: 100 of 293 nodes registered twice by it.
   */
  private isUnlisted(): boolean {
    const { members, self } = this.options;
    if (members.version === undefined || members.freshMs < (this.registeredMs ?? 0)) return false;
    if (members.isMissing(self.address)) return true;
    return members.get(self.address)?.incarnation !== self.incarnation;
  }

  private async register(signal: AbortSignal): Promise<boolean> {
    const { authority, clock, log, self } = this.options;
    try {
      await authority.putMember(self, signal);
      this.registeredMs = clock.getMonotonicTime();
      log.info('registered', { address: self.address, incarnation: self.incarnation });
      return true;
    } catch (error) {
      if (signal.aborted) return false;
      if (!(error instanceof StoreCallError)) throw error;
      log.warn('not registered yet', { failure: error.failure, reason: error.message });
      return false;
    }
  }
}
