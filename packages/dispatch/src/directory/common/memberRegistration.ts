/** Registers this node in the list of members at its start, and removes it at shutdown. */
import type { Clock, Logger, RandomSource } from '@parsleymux/base';
import type { Authority, IMember } from './authority.js';
import { StoreCallError } from './authority.js';
import type { FollowedTable } from './followedTable.js';

/** Delay between attempts to register, in ms, and its jitter as a share of it. */
const RETRY_MS = 500;
const RETRY_JITTER = 0.6;
/**
 * Nodes of a new fleet spread their registrations over this time, in ms. No caller is waiting, and the
 * store accepts some 200 writes a second to one table: when 293 nodes registered at the same time, 171 of
 * the writes were rejected or timed out.
 */
const FIRST_REGISTRATION_SPREAD_MS = 1500;
/** How often the node checks whether it is still registered, in ms. */
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
 * Keeps this node registered until it shuts down.
 *
 * @example
 * const registration = new MemberRegistration(options);
 * await registration.run(signal);
 */
export class MemberRegistration {
  private readonly startMs: number;
  /** When this node last registered, in ms of the monotonic clock. */
  private registeredMs: number | undefined;
  private isRetired = false;

  constructor(private readonly options: IMemberRegistrationOptions) {
    this.startMs = options.clock.getMonotonicTime();
  }

  /** Registers this node, and again whenever it is missing from the list. Ends when `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, isFirstStart, random } = this.options;
    let isDue = true;
    // After a restart, callers may be waiting, so the node registers without delay.
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
   * Permanently removes the node from the list, and stops the checks whether it is listed. Otherwise a
   * stopping node would register again a second later, and be the home of services until it exits. Rejects
   * with a {@link StoreCallError} if the call to the store fails.
   */
  async retire(signal: AbortSignal): Promise<void> {
    this.isRetired = true;
    await this.options.authority.removeMember(this.options.self.address, signal);
  }

  /**
   * Whether the list may be read for the first time. A node of a new fleet registers first: read too early,
   * the list would contain no peer to receive updates from, and the node would read all tables itself.
   */
  isFirstListReadDue(): boolean {
    const { clock, isFirstStart } = this.options;
    const isLate = clock.getMonotonicTime() - this.startMs > FIRST_REGISTRATION_SPREAD_MS;
    return !isFirstStart || this.registeredMs !== undefined || isLate;
  }

  /**
   * Whether the list no longer contains this node: another node may have removed it while it was partitioned
   * or suspended. A copy of the list from before the registration is ignored, as it made 100 of 293 nodes
   * register twice.
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
