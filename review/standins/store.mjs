/** A stand-in of the platform's store: rows with one version counter, reads, a change feed and transactions. */
import { Buffer } from 'node:buffer';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';
import { createServer } from 'node:http';
import { once } from 'node:events';

const ANSWER_MS = 4;
const MAX_ROWS = 500;

export class Store {
  rows = new Map();
  history = [];
  version = 0;
  waiters = new Set();

  static async open(host) {
    const store = new Store();
    store.server = createServer((request, response) => {
      void store.handle(request, response).catch(() => response.destroy());
    });
    store.server.keepAliveTimeout = 30_000;
    store.server.listen(0, host);
    await once(store.server, 'listening');
    store.address = `${host}:${store.server.address().port}`;
    return store;
  }

  /** Writes a row as the operator or a backend; the return is the acknowledgement. */
  put(table, key, value) {
    const text = JSON.stringify(value);
    this.apply({ puts: [{ table, part: '', key, value: Buffer.from(text).toString('base64') }] });
  }

  remove(table, key) {
    this.apply({ remove: [{ table, part: '', key }] });
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  apply({ puts = [], remove = [] }) {
    this.version += 1;
    for (const put of puts) this.set({ ...put, ver: this.version });
    for (const name of remove) {
      if (!this.rows.has(toKey(name))) continue;
      this.rows.delete(toKey(name));
      this.history.push({ ...name, tombstone: true, ver: this.version });
    }
    for (const wake of [...this.waiters]) wake();
  }

  set(row) {
    this.rows.set(toKey(row), row);
    this.history.push(row);
  }

  async handle(request, response) {
    const url = new URL(request.url, 'http://store');
    const query = url.searchParams;
    const body = await readText(request);
    await sleep(ANSWER_MS);
    if (url.pathname === '/rows-tx') this.transact(JSON.parse(body), response);
    else if (url.pathname === '/rows-get') this.sendRows(query, response);
    else if (url.pathname === '/rows-feed') await this.sendChanges(query, response);
    else this.send(response, 404, {});
  }

  transact({ expect_rev: expected = [], puts = [], remove = [] }, response) {
    const holds = expected.every((row) => (this.rows.get(toKey(row))?.ver ?? 0) === row.ver);
    if (!holds) {
      this.send(response, 412, {
        rows: expected.flatMap((row) => this.rows.get(toKey(row)) ?? []),
      });
      return;
    }
    this.apply({ puts, remove });
    this.send(response, 200, {});
  }

  sendRows(query, response) {
    const [table, part] = [query.get('table'), query.get('part') ?? ''];
    const [from, to] = [query.get('from') ?? '', query.get('to')];
    const limit = Math.min(MAX_ROWS, Number(query.get('limit') ?? MAX_ROWS));
    const rows = [...this.rows.values()]
      .filter((row) => row.table === table && row.part === part && row.key >= from)
      .filter((row) => to === null || row.key < to)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    this.send(response, 200, { rows: rows.slice(0, limit), has_more: rows.length > limit });
  }

  async sendChanges(query, response) {
    const [table, after] = [query.get('table'), Number(query.get('after'))];
    const list = () => this.history.filter((row) => row.table === table && row.ver > after);
    const endMs = performance.now() + Math.min(30_000, Number(query.get('wait_ms') ?? 0));
    while (list().length === 0 && performance.now() < endMs && !response.destroyed) {
      await this.waitForChange(endMs - performance.now());
    }
    this.send(response, 200, { rows: list() });
  }

  waitForChange(limitMs) {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, limitMs);
      this.waiters.add(wake);
    });
  }

  send(response, status, body) {
    const text = JSON.stringify({ ...body, ver: this.version, now_s: performance.now() / 1000 });
    response.writeHead(status, { 'content-type': 'application/json' }).end(text);
  }
}

function toKey({ table, part, key }) {
  return JSON.stringify([table, part, key]);
}

async function readText(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks).toString();
}

function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
