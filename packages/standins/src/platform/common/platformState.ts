/** The platform's table, objects and VM list, and the operations on them. */
import type { IReadBody, IScanOptions, ITableRow, ITableTransaction, IVm } from '@parsleymux/store';
import { PlatformPath } from '@parsleymux/store';
import type { IPlatformCounters, IPlatformFaults } from './platformFaults.js';
import { LaggedValue } from './laggedValue.js';
import { VersionedTable } from './versionedTable.js';

const OK = 200;
const NOT_FOUND = 404;
const MAX_OBJECT_KEYS = 1000;

/** One request as received. */
export interface IPlatformRequest {
  readonly method: string;
  /** Path with query. */
  readonly url: string;
  readonly body: Buffer;
}

/** The response to a request. A fault can prevent it from being sent. */
export interface IPlatformResponse {
  readonly status: number;
  readonly bytes: Uint8Array;
}

type MutableCounters = { -readonly [K in keyof IPlatformCounters]: IPlatformCounters[K] } & {
  byPath: Record<string, number>;
};

/**
 * The in-memory state of the platform.
 *
 * @example
 * const state = new PlatformState([], 0);
 * state.execute({ method: 'GET', url: '/vms', body: Buffer.alloc(0) }, faults, 0);
 */
export class PlatformState {
  readonly counters: MutableCounters = {
    reads: 0,
    writes: 0,
    rowsRead: 0,
    rowsWritten: 0,
    conflicts: 0,
    refused: 0,
    answersLost: 0,
    bytesReceived: 0,
    bytesSent: 0,
    byPath: {},
  };
  private readonly table = new VersionedTable();
  private readonly objects = new Map<string, Buffer>();
  private readonly vms: LaggedValue<readonly IVm[]>;

  constructor(vms: readonly IVm[], nowMs: number) {
    this.vms = new LaggedValue(vms, nowMs);
  }

  /** Executes a request at `nowMs`. Applies only staleness, VM list lag and `ignoreConditions`. */
  execute(request: IPlatformRequest, faults: IPlatformFaults, nowMs: number): IPlatformResponse {
    const { method, url, body } = request;
    this.countPath(url);
    if (method === 'POST' && url === PlatformPath.Read) {
      return this.executeRead(body, nowMs - faults.staleMs);
    }
    if (method === 'POST' && url === PlatformPath.Scan) {
      return this.executeScan(body, nowMs - faults.staleMs);
    }
    if (method === 'POST' && url === PlatformPath.Transact) {
      return this.executeTransact(body, faults, nowMs);
    }
    if (method === 'GET' && url === PlatformPath.Vms) {
      return this.countRead({ vms: this.vms.get(nowMs - faults.vmLagMs) }, 0);
    }
    if (url.startsWith(`${PlatformPath.Objects}/`)) return this.executeObject(request);
    if (url.startsWith(`${PlatformPath.Objects}?`)) return this.executeObjectList(url);
    return toJsonResponse({ error: 'no such path' }, NOT_FOUND);
  }

  getRows(prefix: string): readonly ITableRow[] {
    return this.table.scan({ prefix }, Infinity);
  }

  getVms(): readonly IVm[] {
    return this.vms.getLatest();
  }

  setVms(vms: readonly IVm[], nowMs: number): void {
    this.vms.set(vms, nowMs);
  }

  private executeRead(body: Buffer, instantMs: number): IPlatformResponse {
    const { keys } = parseJson(body) as IReadBody;
    const rows = this.table.read(keys, instantMs);
    return this.countRead({ rows }, rows.length);
  }

  private executeScan(body: Buffer, instantMs: number): IPlatformResponse {
    const rows = this.table.scan(parseJson(body) as IScanOptions, instantMs);
    return this.countRead({ rows }, rows.length);
  }

  private executeTransact(body: Buffer, faults: IPlatformFaults, nowMs: number): IPlatformResponse {
    const { conditions, writes } = parseJson(body) as ITableTransaction;
    const checked = faults.ignoreConditions ? [] : conditions;
    const result = this.table.transact({ conditions: checked, writes }, nowMs);
    this.counters.writes += 1;
    if (result.committed) this.counters.rowsWritten += writes.length;
    else this.counters.conflicts += 1;
    return toJsonResponse(result);
  }

  private executeObject({ method, url, body }: IPlatformRequest): IPlatformResponse {
    const key = decodeURIComponent(url.slice(PlatformPath.Objects.length + 1));
    if (method === 'PUT') {
      this.objects.set(key, body);
      this.counters.writes += 1;
      return toJsonResponse({});
    }
    const bytes = this.objects.get(key);
    this.counters.reads += 1;
    return bytes === undefined
      ? toJsonResponse({ error: 'no such object' }, NOT_FOUND)
      : { status: OK, bytes };
  }

  private executeObjectList(url: string): IPlatformResponse {
    const prefix = new URL(url, 'http://platform').searchParams.get('prefix') ?? '';
    const found = [...this.objects.keys()].filter((key) => key.startsWith(prefix));
    return this.countRead({ keys: found.sort().slice(0, MAX_OBJECT_KEYS) }, 0);
  }

  private countRead(value: unknown, rows: number): IPlatformResponse {
    this.counters.reads += 1;
    this.counters.rowsRead += rows;
    return toJsonResponse(value);
  }

  private countPath(url: string): void {
    const path = url.startsWith(PlatformPath.Objects) ? PlatformPath.Objects : url;
    this.counters.byPath[path] = (this.counters.byPath[path] ?? 0) + 1;
  }
}

function parseJson(body: Buffer): unknown {
  return JSON.parse(body.toString('utf8')) as unknown;
}

function toJsonResponse(value: unknown, status = OK): IPlatformResponse {
  return { status, bytes: Buffer.from(JSON.stringify(value)) };
}
