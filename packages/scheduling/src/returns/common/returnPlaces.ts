/** Remembers which callers were told to return, and when. */

/** A caller may come this much before its time, in ms: Retry-After is rounded to 10 ms. */
const EARLY_TOLERANCE_MS = 20;
/** A place expires this long after its time, in ms: time for a new connection and the request. */
const CLAIM_MS = 250;
/** Longest time to the return of a place of another home, in ms; the ages of its request are bounded alike. */
const MAX_REMOTE_MS = 60_000;
const MAX_PLACES = 4096;
/** Weight of one place in the learned share of claimed places of a lane, and number of lanes with such a share. */
const CLAIM_WEIGHT = 0.05;
const MAX_CLAIM_SHARES = 1024;
/** Bounds a summary to less than 2 KB as JSON, with names and keys of up to 24 bytes. */
const MAX_SUMMARY_PLACES = 24;

/** Room that was promised to a caller. */
export interface IReturnPlace {
  /** Time of the return, in ms of the monotonic clock. */
  readonly atMs: number;
  /** First arrival of the request, in ms of the monotonic clock. */
  readonly firstMs: number;
  /** Service to which the caller returns; undefined if it is that of all places. */
  readonly service?: string | undefined;
}

/** Identifies a caller of a lane: a tenant's quota, or the slots of a service. */
export interface IReturningCaller {
  readonly lane: string;
  readonly key: string;
}

/** How promised returns ended. */
export interface IReturnCounts {
  readonly promised: number;
  /** Callers that came at their time and found room. */
  readonly kept: number;
  /** Refusals of callers that came before their time. */
  readonly early: number;
  readonly expired: number;
  /** Callers that came at their time and found no room. */
  readonly missed: number;
}

export const RETURN_RESULTS = ['promised', 'kept', 'early', 'expired', 'missed'] as const;

/** One promised place for another home; times are relative, because clocks differ. */
export interface IPlaceSummary extends IReturningCaller {
  readonly inMs: number;
  readonly ageMs: number;
}

/**
 * Places by lane and caller. Operations take constant time, apart from a pass over all places at most
 * every 250 ms while the bound is reached.
 *
 * @example
 * places.put({ lane: 'north', key: 'f1' }, { atMs: nowMs + 300, firstMs: nowMs }, nowMs);
 * places.count('north', nowMs); // 1
 */
export class ReturnPlaces {
  private readonly lanes = new Map<string, Map<string, IReturnPlace>>();
  private readonly totals = { promised: 0, kept: 0, early: 0, expired: 0, missed: 0 };
  /** Learned shares of places whose callers come at their time, by lane. */
  private readonly claimShares = new Map<string, number>();
  private size = 0;
  private sweptMs = -Infinity;

  constructor(private readonly maxPlaces = MAX_PLACES) {}

  get counts(): IReturnCounts {
    return { ...this.totals };
  }

  /** The place of a caller, which has not expired. */
  find({ key, lane }: IReturningCaller, nowMs: number): IReturnPlace | undefined {
    const place = this.lanes.get(lane)?.get(key);
    if (place === undefined || !isExpired(place, nowMs)) return place;
    this.settleExpired({ key, lane });
    return undefined;
  }

  /** Whether the caller has a place and comes at its time. */
  isDue(caller: IReturningCaller, nowMs: number): boolean {
    const place = this.find(caller, nowMs);
    return place !== undefined && place.atMs - nowMs <= EARLY_TOLERANCE_MS;
  }

  /**
   * Number of promised places of a lane that are expected to be claimed: callers that don't come, or not at
   * their time, take little room from others.
   */
  countExpected(lane: string, nowMs: number): number {
    return this.count(lane, nowMs) * (this.claimShares.get(lane) ?? 1);
  }

  /** Number of promised places of a lane. */
  count(lane: string, nowMs: number): number {
    const places = this.lanes.get(lane);
    if (places === undefined) return 0;
    for (const [key, place] of places) {
      if (!isExpired(place, nowMs)) break;
      this.settleExpired({ lane, key });
    }
    return places.size;
  }

  /** Promises a place; returns false if too many are remembered. */
  put(caller: IReturningCaller, place: IReturnPlace, nowMs: number): boolean {
    if (!this.set(caller, place, nowMs)) return false;
    this.totals.promised += 1;
    return true;
  }

  /** Records that a caller was served, whether or not at its time. */
  recordServed(caller: IReturningCaller, nowMs: number): void {
    const isKept = this.isDue(caller, nowMs);
    if (!this.remove(caller)) return;
    if (isKept) this.totals.kept += 1;
    this.recordClaim(caller, isKept);
  }

  /** Records that a caller was refused before its time; it keeps its place. */
  recordEarly(): void {
    this.totals.early += 1;
  }

  /** Removes the place of a caller that came at its time and is refused again. */
  recordMissed(caller: IReturningCaller): void {
    if (!this.remove(caller)) return;
    this.totals.missed += 1;
    this.recordClaim(caller, true);
  }

  /** The next places of callers that return to `service`, for another home. */
  summarize(nowMs: number, service?: string): readonly IPlaceSummary[] {
    const all = [...this.lanes].flatMap(([lane, places]) => {
      const own = [...places].filter(([, place]) => place.service === service);
      return own.map(([key, { atMs, firstMs }]) => {
        return { lane, key, inMs: Math.round(atMs - nowMs), ageMs: Math.round(nowMs - firstMs) };
      });
    });
    const open = all.filter(({ inMs }) => inMs >= -CLAIM_MS);
    return open.sort((left, right) => left.inMs - right.inMs).slice(0, MAX_SUMMARY_PLACES);
  }

  /** Adds another home's places that are valid; those of this home take precedence. */
  merge(summary: readonly IPlaceSummary[], nowMs: number, service?: string): void {
    for (const { ageMs, inMs, key, lane } of summary.slice(0, MAX_SUMMARY_PLACES)) {
      const isValid =
        inMs >= -CLAIM_MS && inMs <= MAX_REMOTE_MS && ageMs >= 0 && ageMs <= MAX_REMOTE_MS;
      if (!isValid || this.find({ lane, key }, nowMs) !== undefined) continue;
      this.set({ lane, key }, { atMs: nowMs + inMs, firstMs: nowMs - ageMs, service }, nowMs);
    }
  }

  private set(caller: IReturningCaller, place: IReturnPlace, nowMs: number): boolean {
    const { key, lane } = caller;
    this.remove(caller);
    if (this.size >= this.maxPlaces) this.removeExpired(nowMs);
    const places = this.lanes.get(lane) ?? new Map<string, IReturnPlace>();
    const [oldest] = places.keys();
    if (this.size >= this.maxPlaces) {
      if (oldest === undefined) return false;
      this.remove({ lane, key: oldest });
    }
    places.set(key, place);
    this.lanes.set(lane, places);
    this.size += 1;
    return true;
  }

  private removeExpired(nowMs: number): void {
    if (nowMs - this.sweptMs < CLAIM_MS) return;
    this.sweptMs = nowMs;
    for (const [lane, places] of this.lanes) {
      for (const [key, place] of places)
        if (isExpired(place, nowMs)) this.settleExpired({ lane, key });
    }
  }

  private settleExpired(caller: IReturningCaller): void {
    if (!this.remove(caller)) return;
    this.totals.expired += 1;
    this.recordClaim(caller, false);
  }

  private recordClaim({ lane }: IReturningCaller, isClaimed: boolean): void {
    const share = this.claimShares.get(lane) ?? 1;
    // Reinserted to mark it as the most recently used.
    this.claimShares.delete(lane);
    this.claimShares.set(lane, share + CLAIM_WEIGHT * (Number(isClaimed) - share));
    const [oldest] = this.claimShares.keys();
    if (this.claimShares.size > MAX_CLAIM_SHARES && oldest !== undefined) {
      this.claimShares.delete(oldest);
    }
  }

  private remove({ key, lane }: IReturningCaller): boolean {
    const places = this.lanes.get(lane);
    if (places?.delete(key) !== true) return false;
    this.size -= 1;
    if (places.size === 0) this.lanes.delete(lane);
    return true;
  }
}

function isExpired({ atMs }: IReturnPlace, nowMs: number): boolean {
  return nowMs - atMs > CLAIM_MS;
}
