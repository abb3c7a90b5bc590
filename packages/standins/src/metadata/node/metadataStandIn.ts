/** A metadata store on loopback that implements the published protocol and injects faults on request. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { IDisposable } from '@parsleymux/base';
import { readJson, sendJson } from '../../server/node/httpBody.js';
import { LoopbackServer } from '../../server/node/loopbackServer.js';
import type { IMetadataCopy, IMetadataTransaction } from '../common/metadataRows.js';
import { MetadataRows } from '../common/metadataRows.js';

/** The fault that applies to all calls. */
export const MetadataFault = {
  None: 'none',
  /** Calls are rejected with 503 and not executed. */
  Busy: 'busy',
  /** Calls are rejected with 429 and not executed. */
  RateLimited: 'limited',
  /** Connections are reset; calls are not executed. */
  Reset: 'reset',
  /** Calls are neither executed nor answered. */
  NoResponse: 'silent',
  /** Calls are executed, but no response is sent. */
  LostResponses: 'lost-answers',
  /** Responses contain invalid JSON. */
  Garbled: 'garbled',
} as const;

export type MetadataFault = (typeof MetadataFault)[keyof typeof MetadataFault];

const MAX_ROWS = 500;
const OK = 200;
const CONFLICT = 412;
const HISTORY_LOST = 410;
const BUSY = 503;
const LIMITED = 429;
const NOT_FOUND = 404;
const MS_PER_S = 1000;

/**
 * A metadata store with its HTTP listener.
 *
 * @example
 * const store = await MetadataStandIn.open();
 * store.put('op', 'config', text);
 */
export class MetadataStandIn implements IDisposable {
  readonly rows = new MetadataRows();
  fault: MetadataFault = MetadataFault.None;
  /** Maximum number of rows per response. */
  maxPageRows = MAX_ROWS;
  /** Store epoch that reads of changes state, in place of the one that all other calls state. */
  feedEra: number | undefined;
  /** Number of further reads of changes that lack all rows, although they state the newest version. */
  emptyReads = 0;
  /** Number of calls by path. */
  readonly calls = new Map<string, number>();
  /** Called with the path of each call, before the call is handled. */
  onWillHandle: (path: string) => void = () => undefined;
  private waiters: (() => void)[] = [];
  private readonly server = new LoopbackServer({
    handle: (request, response) => this.handle(request, response),
  });

  static async open(): Promise<MetadataStandIn> {
    const store = new MetadataStandIn();
    await store.server.open();
    return store;
  }

  get address(): string {
    return this.server.getAddress();
  }

  /** Writes a row on behalf of an operator or a target. */
  put(table: string, key: string, text: string): void {
    const value = Buffer.from(text).toString('base64');
    this.transact({ expect_rev: [], puts: [{ table, part: '', key, value }], remove: [] });
  }

  remove(table: string, key: string): void {
    this.transact({ expect_rev: [], puts: [], remove: [{ table, part: '', key }] });
  }

  /** Restores the store from a copy of its rows; pending reads are answered from the restored rows. */
  restore(copy: IMetadataCopy): void {
    this.rows.restore(copy);
    this.notifyWaiters();
  }

  countCalls(): number {
    return [...this.calls.values()].reduce((sum, count) => sum + count, 0);
  }

  async dispose(): Promise<void> {
    this.notifyWaiters();
    await this.server.close();
  }

  private transact(transaction: IMetadataTransaction): boolean {
    const isCommitted = this.rows.transact(transaction);
    this.notifyWaiters();
    return isCommitted;
  }

  private notifyWaiters(): void {
    const { waiters } = this;
    this.waiters = [];
    for (const wake of waiters) wake();
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://store');
    this.calls.set(url.pathname, (this.calls.get(url.pathname) ?? 0) + 1);
    this.onWillHandle(url.pathname);
    const isFeed = url.pathname === '/rows-feed';
    response.setHeader('store-era', String((isFeed ? this.feedEra : undefined) ?? this.rows.era));
    if (this.applyFault(request, response)) return;
    switch (url.pathname) {
      case '/rows-tx':
        this.handleTransaction((await readJson(request)) as IMetadataTransaction, response);
        break;
      case '/rows-get':
        this.sendRows(url.searchParams, response);
        break;
      case '/rows-feed':
        await this.sendChanges(url.searchParams, response);
        break;
      default:
        sendJson(response, NOT_FOUND, {});
    }
  }

  /** Applies the active fault; returns true when the call needs no further handling. */
  private applyFault(request: IncomingMessage, response: ServerResponse): boolean {
    switch (this.fault) {
      case MetadataFault.Busy:
        sendJson(response, BUSY, {});
        return true;
      case MetadataFault.RateLimited:
        sendJson(response, LIMITED, {});
        return true;
      case MetadataFault.Reset:
        request.socket.resetAndDestroy();
        return true;
      case MetadataFault.NoResponse:
        return true;
      case MetadataFault.Garbled:
        response.writeHead(OK).end('{"rows":[{"key":');
        return true;
      case MetadataFault.LostResponses:
      case MetadataFault.None:
        return false;
    }
  }

  private handleTransaction(transaction: IMetadataTransaction, response: ServerResponse): void {
    const isCommitted = this.transact(transaction);
    this.send(response, isCommitted ? OK : CONFLICT, {});
  }

  private sendRows(query: URLSearchParams, response: ServerResponse): void {
    const table = query.get('table') ?? '';
    const rows = this.rows.list(table, query.get('part') ?? '', query.get('from') ?? '');
    const page = rows.slice(0, this.maxPageRows);
    this.send(response, OK, { rows: page, has_more: rows.length > page.length });
  }

  private async sendChanges(query: URLSearchParams, response: ServerResponse): Promise<void> {
    const table = query.get('table') ?? '';
    const after = Number(query.get('after'));
    const endMs = performance.now() + Number(query.get('wait_ms'));
    for (;;) {
      const changes = this.rows.listChanges(table, after);
      if (changes === undefined) {
        this.send(response, HISTORY_LOST, {});
        return;
      }
      const remainingMs = endMs - performance.now();
      if (changes.length > 0 || remainingMs <= 0) {
        const isEmpty = changes.length > 0 && this.emptyReads > 0;
        if (isEmpty) this.emptyReads -= 1;
        const rows = changes.map((row) =>
          row.value === undefined ? { ...row, tombstone: true } : row,
        );
        this.send(response, OK, { rows: isEmpty ? [] : rows });
        return;
      }
      await this.waitForChange(remainingMs);
    }
  }

  private waitForChange(timeoutMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, timeoutMs);
      this.waiters.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  private send(response: ServerResponse, status: number, body: object): void {
    if (this.fault === MetadataFault.LostResponses) return;
    const now_s = performance.now() / MS_PER_S;
    sendJson(response, status, { ...body, ver: this.rows.version, now_s });
  }
}
