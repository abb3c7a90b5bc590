/** Creates, rotates, revokes and verifies operator keys in the platform's table. */
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
/** Same as the retention of the audit log, whose entries refer to the key. */
const ENDED_KEY_RETENTION_MS = 90 * MS_PER_DAY;
/** Row that marks that the fleet's first key was created; only the platform's owner removes it. */
const BOOTSTRAP_ROW_KEY = 'keys/@fleet-bootstrapped';

/** Options of a {@link KeyStore}. */
export interface IKeyStoreOptions {
  readonly table: TableService;
  readonly clock: Clock;
  readonly random: RandomSource;
}

/** A key that was just created. Its secret is not available again later. */
export interface ICreatedKey {
  readonly row: IKeyRow;
  readonly key: string;
}

/** Parameters of a new key. */
export interface ICreateKeyRequest {
  readonly member: string;
  readonly note: string;
  /** Identifier of the requesting operator's key. */
  readonly operator: string;
}

/** A change to an existing key. */
export interface IKeyRequest {
  readonly member: string;
  readonly id: string;
  readonly operator: string;
}

/**
 * Stores keys. Every change is written in one transaction with its entry in the audit log.
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
   * Returns the row of the key in `text`, or undefined if the key is not in force.
   * Throws StoreUnavailable if the row can't be read.
   */
  async verify(text: string, signal?: AbortSignal): Promise<IKeyRow | undefined> {
    const key = parseOperatorKey(text);
    if (key === undefined) return undefined;
    const row = await this.cache.read(formatKeyRowKey(key.member, key.id), signal);
    if (row === undefined || !compareSecrets(hashSecret(key.secret), row.hash)) return undefined;
    return isKeyInForce(row, this.options.clock.getWallTime()) ? row : undefined;
  }

  /** Creates a key. Throws LimitExceeded, StoreUnavailable. */
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

  /** Lists the member's keys, including revoked ones. Throws StoreUnavailable. */
  async list(member: string, signal?: AbortSignal): Promise<readonly IKeyRow[]> {
    return this.retry.run(signal, async () => {
      const rows = await this.options.table.scan({ prefix: formatKeyPrefix(member) }, signal);
      return rows.map(decodeKeyRow);
    });
  }

  /** Revokes the key; every node rejects it within seconds. Throws NotFound. */
  async revoke(request: IKeyRequest, signal?: AbortSignal): Promise<IKeyRow> {
    return this.endKey(request, 'key.revoke', 0, signal);
  }

  /** Creates a successor, and ends the key after `overlapMs`. Throws NotFound. */
  async rotate(
    request: IKeyRequest,
    overlapMs: number,
    signal?: AbortSignal,
  ): Promise<ICreatedKey> {
    const old = await this.endKey(request, 'key.rotate', overlapMs, signal);
    return this.create({ ...request, note: old.note }, signal);
  }

  /**
   * Creates the fleet's first operator key, which is possible only once.
   * Throws Forbidden if it was created before.
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

  /** Inserts the row with `writes`. Of two concurrent calls with the same `guard` row, one fails. */
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
      // The identifier is random, so an existing row is from an earlier attempt whose response was lost.
      const hasWrittenRow = result.conflicts.some((conflict) => conflict.key === rowKey);
      if (!result.committed && !hasWrittenRow) throw createAlreadyBootstrappedError();
      return { row, key: formatOperatorKey(key) };
    });
  }

  /** Ends the key `delayMs` from now; doesn't change a key that has ended. Throws NotFound. */
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
      // A revoked key stays revoked: rotating it must not extend its validity.
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

  /** Removes keys that ended long ago. Without this, each rotation would leave a row permanently. */
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

/** Sets the earlier of both ends: rotating a key twice must not extend its validity. */
function withEnd(row: IKeyRow, requestedMs: number): IKeyRow {
  const endsAtMs = row.endsAtMs === 0 ? requestedMs : Math.min(requestedMs, row.endsAtMs);
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
