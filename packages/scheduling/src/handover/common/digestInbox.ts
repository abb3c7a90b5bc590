/** Keeps the newest digest of each service, and decides when a home applies it. */
import { DIGEST_INTERVAL_MS, SHARE_INTERVAL_MS } from '../../grants/common/sharingIntervals.js';

/** Older digests are not applied, in ms. */
const MAX_AGE_MS = 3000;
/** A digest of this age has no successor, in ms: its sender is gone, idle, or can't be heard. */
const OVERDUE_MS = DIGEST_INTERVAL_MS + SHARE_INTERVAL_MS;
/** Time for which the last message of a sender is remembered, in ms. */
const FORGET_MS = 60_000;
const MAX_SENDERS = 8;

/** Identifies a message of a home. */
export interface IDigestOrigin {
  readonly sender: string;
  /** When the sending process started, in ms since the Unix epoch. */
  readonly startedMs: number;
  /** Increases with each message of the process. */
  readonly sequence: bigint;
  /** Whether the sender stops, so that it sends no other. */
  readonly isLast: boolean;
}

/** Why a digest is applied. */
export type HandoverCause = 'takeover' | 'sender stops' | 'sender silent';

/** A digest to apply. */
export interface ITakenDigest<T> {
  readonly digest: T;
  readonly sender: string;
  readonly cause: HandoverCause;
  /** Time since the receipt, in ms. */
  readonly ageMs: number;
}

interface IHeard extends IDigestOrigin {
  readonly receivedMs: number;
}

interface IServiceEntry<T> {
  readonly senders: Map<string, IHeard>;
  newest: (IHeard & { readonly digest: T }) | undefined;
}

/**
 * Messages may be lost, doubled and reordered. Each digest is taken once.
 *
 * @example
 * inbox.record('booking', origin, digest, nowMs);
 * const taken = inbox.take('booking', true, nowMs);
 */
export class DigestInbox<T> {
  private readonly services = new Map<string, IServiceEntry<T>>();

  /** Records a digest; returns false if it is older than one that was received from the sender. */
  record(service: string, origin: IDigestOrigin, digest: T, nowMs: number): boolean {
    const entry: IServiceEntry<T> = this.services.get(service) ?? {
      senders: new Map<string, IHeard>(),
      newest: undefined,
    };
    const { senders } = entry;
    if (isOutdated(origin, senders.get(origin.sender), nowMs)) return false;
    const heard = { ...origin, receivedMs: nowMs };
    // Reinserted to mark it as the latest.
    senders.delete(origin.sender);
    senders.set(origin.sender, heard);
    const [oldest] = senders.keys();
    if (senders.size > MAX_SENDERS && oldest !== undefined) senders.delete(oldest);
    entry.newest = { ...heard, digest };
    this.services.set(service, entry);
    return true;
  }

  /**
   * The newest digest, at a grant request. A home that already decides (`isIdle` is false) gets it only when the
   * sender no longer decides.
   */
  take(service: string, isIdle: boolean, nowMs: number): ITakenDigest<T> | undefined {
    const entry = this.services.get(service);
    if (entry?.newest === undefined) return undefined;
    const { digest, isLast, receivedMs, sender } = entry.newest;
    const ageMs = nowMs - receivedMs;
    if (!isIdle && !isLast && ageMs < OVERDUE_MS) return undefined;
    entry.newest = undefined;
    if (ageMs > MAX_AGE_MS) return undefined;
    const cause = isLast ? 'sender stops' : 'sender silent';
    return { digest, sender, ageMs, cause: isIdle ? 'takeover' : cause };
  }

  /** Removes all services other than these. */
  removeOthers(services: ReadonlySet<string>): void {
    for (const service of this.services.keys()) {
      if (!services.has(service)) this.services.delete(service);
    }
  }
}

function isOutdated(origin: IDigestOrigin, last: IHeard | undefined, nowMs: number): boolean {
  if (last === undefined) return false;
  if (origin.startedMs === last.startedMs) return origin.sequence <= last.sequence;
  return origin.startedMs < last.startedMs && nowMs - last.receivedMs < FORGET_MS;
}
