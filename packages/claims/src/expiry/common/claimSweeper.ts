/**
 * Removes expired claims. Every node iterates over the hash space of every member's keys and
 * sweeps the slices that rendezvous hashing assigns to it among the live nodes. Two nodes may
 * safely sweep the same slice: each removal is conditional on the version that was checked.
 */
import type { Clock, IDisposable, RandomSource } from '@parsleymux/base';
import { hashToInteger, MS_PER_DAY } from '@parsleymux/base';
import type { ITableRow, TableService } from '@parsleymux/store';
import { decodeClaim } from '../../claim/common/claim.js';
import { CLAIM_PREFIX, formatClaimRowKey } from '../../claim/common/claimIdentity.js';
import type { GroupCommitter } from '../../store/common/groupCommitter.js';
import type { Retention } from './retention.js';

const SLICES = 256;
const SLICE_DIGITS = 2;
const HEXADECIMAL = 16;
const PAGE_ROWS = 500;
const DEFAULT_PASS_MS = MS_PER_DAY;
/** Sorts after every key of a member, because '0' follows '/'. */
const AFTER_MEMBER = '0';

/** Options of a {@link ClaimSweeper}. */
export interface IClaimSweeperOptions {
  readonly table: TableService;
  readonly committer: GroupCommitter;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly retention: Retention;
  readonly nodeAddress: string;
  /** Addresses of the live nodes, including this one. */
  readonly getLiveNodes: () => readonly string[];
  /** Duration of one pass over all claims, in ms. Default one day. */
  readonly passMs?: number;
}

/**
 * Sweeps the claims in repeated passes until disposed.
 *
 * @example
 * const sweeper = new ClaimSweeper(options);
 * sweeper.start();
 */
export class ClaimSweeper implements IDisposable {
  private readonly stop = new AbortController();
  private removed = 0;

  constructor(private readonly options: IClaimSweeperOptions) {}

  /** Starts sweeping. The first pass begins at a random time, so that restarted nodes don't sweep in step. */
  start(): void {
    void this.runContinuously().catch(() => undefined);
  }

  dispose(): void {
    this.stop.abort(new Error('disposed'));
  }

  /** Number of rows removed so far. */
  getRemovedCount(): number {
    return this.removed;
  }

  /** Sweeps this node's slices once, with a mean pause of `gapMs` after each. */
  async visitSlices(gapMs: number): Promise<void> {
    let member = await this.findMemberAfter('');
    while (member !== undefined) {
      for (let slice = 0; slice < SLICES; slice++) {
        const prefix = formatSlice(slice);
        if (!this.isSliceAssigned(`${member}/${prefix}`)) continue;
        await this.removeExpired(formatClaimRowKey(member, prefix));
        await this.sleepJittered(gapMs);
      }
      member = await this.findMemberAfter(member);
    }
  }

  private async runContinuously(): Promise<void> {
    const passMs = this.options.passMs ?? DEFAULT_PASS_MS;
    await this.sleepJittered(passMs * this.options.random.getFloat());
    while (!this.stop.signal.aborted) {
      try {
        await this.visitSlices(passMs / SLICES);
      } catch {
        // The store is unavailable or the node is stopping. Expired rows stay until the next pass.
      }
      await this.sleepJittered(passMs);
    }
  }

  private sleepJittered(meanMs: number): Promise<void> {
    const { clock, random } = this.options;
    return clock.sleep(random.getJittered(meanMs, 0.5), this.stop.signal);
  }

  private async findMemberAfter(member: string): Promise<string | undefined> {
    const after = member === '' ? {} : { after: `${CLAIM_PREFIX}${member}${AFTER_MEMBER}` };
    const rows = await this.options.table.scan({ prefix: CLAIM_PREFIX, limit: 1, ...after });
    return rows[0]?.key.split('/')[1];
  }

  private isSliceAssigned(name: string): boolean {
    const nodes = this.options.getLiveNodes();
    const rank = (address: string) => hashToInteger(`${name}@${address}`);
    const localRank = rank(this.options.nodeAddress);
    return nodes.every((address) => rank(address) <= localRank);
  }

  private async removeExpired(prefix: string): Promise<void> {
    let after: string | undefined;
    for (;;) {
      const range = after === undefined ? {} : { after };
      const rows = await this.options.table.scan({ prefix, limit: PAGE_ROWS, ...range });
      const nowMs = this.options.clock.getWallTime();
      const expired = rows.filter((row) => this.hasExpired(row, nowMs));
      await Promise.all(expired.map((row) => this.remove(row)));
      after = rows.at(-1)?.key;
      if (rows.length < PAGE_ROWS) return;
    }
  }

  private hasExpired(row: ITableRow, nowMs: number): boolean {
    return this.options.retention.hasExpired(decodeClaim(row).claim, nowMs);
  }

  private async remove(row: ITableRow): Promise<void> {
    const change = { key: row.key, expectedVersion: row.version, value: null };
    const { committed } = await this.options.committer.commit(change);
    if (committed) this.removed += 1;
  }
}

function formatSlice(slice: number): string {
  return slice.toString(HEXADECIMAL).padStart(SLICE_DIGITS, '0');
}
