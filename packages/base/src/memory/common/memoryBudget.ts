/** Limits the memory that many owners use together. */

/** Largest size of an account, in bytes, that may use the reserve. */
const SMALL_BYTES = 65_536;

/** Options of a {@link MemoryBudget}. */
export interface IMemoryBudgetOptions {
  /** Maximum of all accounts together, in bytes. */
  readonly limitBytes: number;
  /** Share of the limit that is kept for accounts of up to 64 KiB, from 0 to 1. Default 0. */
  readonly reserveShare?: number;
}

/**
 * Counts the bytes of its accounts. When they exceed the limit, the largest account is evicted: small ones are
 * not affected by those that use most of the memory.
 *
 * @example
 * const budget = new MemoryBudget({ limitBytes: 67_108_864 });
 * const account = budget.open(() => closeConnection());
 * account.add(chunk.byteLength);
 */
export class MemoryBudget {
  private readonly accounts = new Set<MemoryAccount>();
  private readonly limitBytes: number;
  private readonly largeLimitBytes: number;
  private total = 0;
  private evictions = 0;

  constructor({ limitBytes, reserveShare = 0 }: IMemoryBudgetOptions) {
    this.limitBytes = limitBytes;
    this.largeLimitBytes = limitBytes * (1 - reserveShare);
  }

  /** Memory in use, in bytes. */
  get usedBytes(): number {
    return this.total;
  }

  /** Number of accounts that were evicted so far. */
  get evictedCount(): number {
    return this.evictions;
  }

  /** Opens an empty account; `onEvict` is called if it is the largest one when the limit is exceeded. */
  open(onEvict: () => void): MemoryAccount {
    return new MemoryAccount(this, onEvict);
  }

  /** Called by an account whose size has changed by `change` bytes. */
  recordChange(account: MemoryAccount, change: number): void {
    this.total += change;
    if (account.bytes > 0) this.accounts.add(account);
    else this.accounts.delete(account);
    if (change <= 0) return;
    while (this.total > this.limitBytes && this.discardLargest(0));
    if (account.bytes <= SMALL_BYTES) return;
    while (this.total > this.largeLimitBytes && this.discardLargest(SMALL_BYTES));
  }

  /** Evicts the largest account of more than `minBytes`; returns false if there is none. */
  private discardLargest(minBytes: number): boolean {
    let largest: MemoryAccount | undefined;
    for (const account of this.accounts) {
      const isCandidate = account.isEvictable && account.bytes > minBytes;
      if (isCandidate && account.bytes > (largest?.bytes ?? 0)) largest = account;
    }
    if (largest === undefined) return false;
    this.evictions += 1;
    largest.discard();
    return true;
  }
}

/** The memory of one owner. */
export class MemoryAccount {
  private size = 0;
  private isClosed = false;
  private isProtected = false;

  constructor(
    private readonly budget: MemoryBudget,
    private readonly onEvict: () => void,
  ) {}

  /** Memory that the owner uses, in bytes. */
  get bytes(): number {
    return this.size;
  }

  get isEvictable(): boolean {
    return !this.isProtected;
  }

  /** Adds bytes, or subtracts them if negative. Has no effect after the account was closed or evicted. */
  add(bytes: number): void {
    if (this.isClosed || bytes === 0) return;
    this.size += bytes;
    this.budget.recordChange(this, bytes);
  }

  /** From now on, the account is not evicted. */
  markProtected(): void {
    this.isProtected = true;
  }

  /** Ends the account: its bytes are no longer counted. */
  close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    const bytes = this.size;
    this.size = 0;
    this.budget.recordChange(this, -bytes);
  }

  /** Called by the budget. */
  discard(): void {
    this.close();
    this.onEvict();
  }
}
