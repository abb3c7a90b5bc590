/** Fair sharing of a node resource, such as concurrent requests or body bytes, among members. */

/** Options of a {@link FairShares}. */
export interface IFairSharesOptions {
  /** Total amount of the resource. */
  readonly capacity: number;
  /** Share of the capacity, from 0 to 1, below which no member is limited. Default 0.5. */
  readonly unrestrictedShare?: number;
}

const DEFAULT_UNRESTRICTED_SHARE = 0.5;

/**
 * Grants every reservation while usage is within the unrestricted share. Above it, each member is
 * limited to an equal part among the members that hold reservations. Otherwise a flood from one member
 * would exhaust the resource, and callers of other members would be refused for load they did not cause.
 *
 * @example
 * const release = shares.reserve('relinieri', 1);
 * if (release === undefined) throw makeMemberLimit(1000);
 * try { await serve(); } finally { release(); }
 */
export class FairShares {
  private readonly capacity: number;
  private readonly unrestrictedAmount: number;
  private readonly reserved = new Map<string, number>();
  private total = 0;

  constructor(options: IFairSharesOptions) {
    this.capacity = options.capacity;
    this.unrestrictedAmount =
      options.capacity * (options.unrestrictedShare ?? DEFAULT_UNRESTRICTED_SHARE);
  }

  /** Reserves `amount` for `member`. Returns the function that releases it, or undefined if refused. */
  reserve(member: string, amount: number): (() => void) | undefined {
    if (!this.isAllowed(member, amount)) return undefined;
    this.add(member, amount);
    let isReleased = false;
    return () => {
      if (isReleased) return;
      isReleased = true;
      this.add(member, -amount);
    };
  }

  /** Total amount that is reserved now. */
  getTotal(): number {
    return this.total;
  }

  private isAllowed(member: string, amount: number): boolean {
    if (this.total + amount > this.capacity) return false;
    if (this.total + amount <= this.unrestrictedAmount) return true;
    const own = this.reserved.get(member) ?? 0;
    const holders = this.reserved.size + (this.reserved.has(member) ? 0 : 1);
    return own + amount <= this.capacity / holders;
  }

  private add(member: string, amount: number): void {
    const own = (this.reserved.get(member) ?? 0) + amount;
    if (own > 0) this.reserved.set(member, own);
    else this.reserved.delete(member);
    this.total += amount;
  }
}
