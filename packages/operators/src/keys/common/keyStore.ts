/** Operators' keys in the platform's table: created, rotated, revoked, verified. */
import type { Clock, RandomSource } from '@parsleymux/base';
import { MS_PER_DAY, MuxError, ResultCode, RunState } from '@parsleymux/base';
import type { IAuditEntry } from '@parsleymux/config';
import { encodeAuditEntry, formatAuditKey, StoreRetry } from '@parsleymux/config';
import type { ITableRow, ITableWrite, TableService } from '@parsleymux/store';
import { KeyCache } from './keyCache.js';
import type { IKeyRow } from './keyRow.js';
import { formatKeyPrefix, formatKeyRowKey, isKeyInForce } from './keyRow.js';
import type { IOperatorKey } from './operatorKey.js';
import {
  compareSecrets,
  createOperatorKey,
  FLEET_MEMBER,
  formatOperatorKey,
  hashSecret,
  parseOperatorKey,
} from './operatorKey.js';

const MAX_KEYS_PER_MEMBER = 50;
/** As long as the audit log that names the key. */
const ENDED_KEY_RETENTION_MS = 90 * MS_PER_DAY;
/** This row stands for "the fleet has had its first key"; only the platform's owner removes it. */
const BOOTSTRAP_ROW_KEY = 'keys/@fleet-bootstrapped';

/** Options of a {@link KeyStore}. */
export interface IKeyStoreOptions {
  readonly table: TableService;
  readonly clock: Clock;
  readonly random: RandomSource;
}

/** A key just made. This is the only time that its secret can be seen. */
export interface ICreatedKey {
  readonly row: IKeyRow;
  readonly key: string;
}

/** What a key is made with. */
export interface ICreateKeyRequest {
  readonly member: string;
  readonly note: string;
  /** Identifier of the asking operator's key. */
  readonly operator: string;
}

/** A change to an existing key. */
export interface IKeyRequest {
  readonly member: string;
  readonly id: string;
  readonly operator: string;
}

/**
 * Keeps keys. Every change is one transaction together with its line in the audit log.
 *
 * @example
 * const { key } = await keys.create({ member: 'dobrescu', note: 'depot', operator: 'k1' });
 */
export class KeyStore {
  private readonly cache: KeyCache;
  private readonly retry: StoreRetry;

  constructor(private readonly options: IKeyStoreOptions) {
    this.cache = new KeyCache(options);
    this.retry = new StoreRetry(options);
  }

  /**
   * The row of the key in `text`, or undefined when it is not in force.
   * Throws StoreUnavailable when that can't be told.
   */
  async verify(text: string, signal?: AbortSignal): Promise<IKeyRow | undefined> {
    const key = parseOperatorKey(text);
    if (key === undefined) return undefined;
    const row = await this.cache.read(formatKeyRowKey(key.member, key.id), signal);
    if (row === undefined || !compareSecrets(hashSecret(key.secret), row.hash)) return undefined;
    return isKeyInForce(row, this.options.clock.getWallTime()) ? row : undefined;
  }

  /** Makes a key. Throws LimitExceeded, StoreUnavailable. */
  async create(request: ICreateKeyRequest, signal?: AbortSignal): Promise<ICreatedKey> {
    const keys = await this.list(request.member, signal);
    const inForce = keys.filter((row) => isKeyInForce(row, this.options.clock.getWallTime()));
    if (inForce.length >= MAX_KEYS_PER_MEMBER) {
      const message = `a member has at most ${MAX_KEYS_PER_MEMBER} keys in force`;
      throw new MuxError({ code: ResultCode.LimitExceeded, message, runState: RunState.NotRun });
    }
    const key = createOperatorKey(request.member);
    const row = this.makeRow(key, request);
    const audit = this.makeAuditWrite(request, 'key.create', key.id);
    return this.storeKeyRow(key, row, [audit, ...this.makeRemovals(keys)], signal);
  }

  /** The member's keys, revoked ones included. Throws StoreUnavailable. */
  async list(member: string, signal?: AbortSignal): Promise<readonly IKeyRow[]> {
    return this.retry.run(signal, async () => {
      const rows = await this.options.table.scan({ prefix: formatKeyPrefix(member) }, signal);
      return rows.map(decodeKeyRow);
    });
  }

  /** Refuses the key from now on; nodes take note within seconds. Throws NotFound. */
  async revoke(request: IKeyRequest, signal?: AbortSignal): Promise<IKeyRow> {
    return this.endKey(request, 'key.revoke', 0, signal);
  }

  /** Makes a successor, and ends the key after `overlapMs`. Throws NotFound. */
  async rotate(
    request: IKeyRequest,
    overlapMs: number,
    signal?: AbortSignal,
  ): Promise<ICreatedKey> {
    const old = await this.endKey(request, 'key.rotate', overlapMs, signal);
    return this.create({ ...request, note: old.note }, signal);
  }

  /**
   * Makes the fleet's first operator key, once in the life of the fleet.
   * Throws Forbidden when that was done before.
   */
  async createBootstrapKey(note: string, signal?: AbortSignal): Promise<ICreatedKey> {
    const key = createOperatorKey(FLEET_MEMBER);
    const request = { member: FLEET_MEMBER, note, operator: 'bootstrap' };
    const marker = await this.retry.run(signal, async () => {
      return this.options.table.read([BOOTSTRAP_ROW_KEY], signal);
    });
    if (marker.length > 0) throw createAlreadyBootstrappedError();
    const row = this.makeRow(key, request);
    const writes = [
      { key: BOOTSTRAP_ROW_KEY, value: JSON.stringify({ atMs: row.createdAtMs }) },
      this.makeAuditWrite(request, 'key.bootstrap', key.id),
    ];
    return this.storeKeyRow(key, row, writes, signal, BOOTSTRAP_ROW_KEY);
  }

  /** Inserts the row with `writes`; of two that need the same absent `guard` row, one fails. */
  private async storeKeyRow(
    key: IOperatorKey,
    row: IKeyRow,
    writes: readonly ITableWrite[],
    signal?: AbortSignal,
    guard?: string,
  ): Promise<ICreatedKey> {
    const rowKey = formatKeyRowKey(key.member, key.id);
    const guards = guard === undefined ? [rowKey] : [rowKey, guard];
    const conditions = guards.map((guardKey) => ({ key: guardKey, version: 0 }));
    const allWrites = [{ key: rowKey, value: JSON.stringify(row) }, ...writes];
    return this.retry.run(signal, async (attempt) => {
      attempt.markSent();
      const result = await this.options.table.transact({ conditions, writes: allWrites }, signal);
      // Its identifier is random: a row of that name is ours, from a try whose answer was lost.
      const isOurs = result.conflicts.some((conflict) => conflict.key === rowKey);
      if (!result.committed && !isOurs) throw createAlreadyBootstrappedError();
      return { row, key: formatOperatorKey(key) };
    });
  }

  /** Ends the key `delayMs` from now, or leaves it as it is when it has ended. Throws NotFound. */
  private async endKey(
    request: IKeyRequest,
    action: string,
    delayMs: number,
    signal?: AbortSignal,
  ): Promise<IKeyRow> {
    const rowKey = formatKeyRowKey(request.member, request.id);
    const nowMs = this.getNowMs();
    const ended = await this.retry.run(signal, async (attempt) => {
      const [stored] = await this.options.table.read([rowKey], signal);
      if (stored === undefined) throw createKeyNotFoundError(request.id);
      const row = decodeKeyRow(stored);
      // A revoked key stays revoked: rotating it must not give it time again.
      if (!isKeyInForce(row, nowMs)) return row;
      const next = withEnd(row, nowMs + delayMs);
      const audit = this.makeAuditWrite(request, action, request.id);
      const writes = [{ key: rowKey, value: JSON.stringify(next) }, audit];
      const conditions = [{ key: rowKey, version: stored.version }];
      attempt.markSent();
      const result = await this.options.table.transact({ conditions, writes }, signal);
      return result.committed ? next : undefined;
    });
    this.cache.clear(rowKey);
    return ended;
  }

  /** Keys that ended long ago; without this each rotation would leave a row for ever. */
  private makeRemovals(keys: readonly IKeyRow[]): readonly ITableWrite[] {
    const limitMs = this.getNowMs() - ENDED_KEY_RETENTION_MS;
    return keys
      .filter(({ endsAtMs }) => endsAtMs > 0 && endsAtMs < limitMs)
      .map(({ member, id }) => ({ key: formatKeyRowKey(member, id), value: null }));
  }

  private makeRow(key: IOperatorKey, request: ICreateKeyRequest): IKeyRow {
    return {
      id: key.id,
      member: key.member,
      hash: hashSecret(key.secret),
      note: request.note,
      createdBy: request.operator,
      createdAtMs: this.getNowMs(),
      endsAtMs: 0,
    };
  }

  private makeAuditWrite(
    request: { readonly member: string; readonly operator: string },
    action: string,
    subject: string,
  ): ITableWrite {
    const atMs = this.getNowMs();
    const { member, operator } = request;
    const entry: IAuditEntry = { atMs, operator, member, action, subject, code: 0, note: '' };
    const key = formatAuditKey(member, atMs, `${action}-${subject}`);
    return { key, value: encodeAuditEntry(entry) };
  }

  private getNowMs(): number {
    return Math.trunc(this.options.clock.getWallTime());
  }
}

function decodeKeyRow(row: ITableRow): IKeyRow {
  return JSON.parse(row.value) as IKeyRow;
}

/** The row with the earlier of both ends: rotating a key twice must not give it time again. */
function withEnd(row: IKeyRow, wantedMs: number): IKeyRow {
  const endsAtMs = row.endsAtMs === 0 ? wantedMs : Math.min(wantedMs, row.endsAtMs);
  return { ...row, endsAtMs };
}

function createKeyNotFoundError(id: string): MuxError {
  const message = `there is no key "${id}"`;
  return new MuxError({ code: ResultCode.NotFound, message, runState: RunState.NotRun });
}

function createAlreadyBootstrappedError(): MuxError {
  const message = 'the fleet has had its first key; ask an operator of the fleet for one';
  return new MuxError({ code: ResultCode.Forbidden, message, runState: RunState.NotRun });
}
