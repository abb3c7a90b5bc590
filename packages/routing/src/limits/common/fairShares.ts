/** A resource of one node that members share: requests in hand, bytes of bodies. */

/** Options of a {@link FairShares}. */
export interface IFairSharesOptions {
  /** All that there is. */
  readonly capacity: number;
  /** Share of the capacity up to which nobody is limited. Default 0.5. */
  readonly unrestrictedShare?: number;
}

const DEFAULT_UNRESTRICTED_SHARE = 0.5;

/**
 * Gives to whoever asks while there is plenty. Once more than the free share is taken, each member
 * is held to an equal part among those that hold any: otherwise one member's flood would leave
 * the others without, and the others' callers would see refusals that their own load never caused.
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

  /** Takes `amount` for `member`; undefined when it may not have it. The result gives it back. */
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

  /** All that is taken now. */
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
