/**
 * Stands in for the platform: its table, object store and VM list over HTTP, with faults on
 * command. `/control/*` is served on the service's own address and, so that it can be reached
 * while the service refuses connections, on a second one:
 *
 * - `GET|POST|DELETE /control/faults`: read, change in part, clear {@link IPlatformFaults}
 * - `GET /control/counters` → IPlatformCounters
 * - `GET /control/rows?prefix=P` → rows as they truly are, whatever the faults
 * - `GET|PUT /control/vms` (one IVm), `DELETE /control/vms?address=A`
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock, IDisposable } from '@parsleymux/base';
import { SystemClock } from '@parsleymux/base';
import type {
  IReadBody,
  IScanOptions,
  ITableTransaction,
  ITransactionResult,
  IVm,
} from '@parsleymux/platform';
import { PlatformPath } from '@parsleymux/platform';
import { mergeFaults } from '../../control/common/faultSettings.js';
import { readBody, readJson, sendBytes, sendJson } from '../../server/node/httpBody.js';
import { LoopbackServer } from '../../server/node/loopbackServer.js';
import type { IPlatformCounters, IPlatformFaults } from '../common/platformFaults.js';
import { NO_PLATFORM_FAULTS, PlatformOutage } from '../common/platformFaults.js';
import { LaggedValue } from '../common/laggedValue.js';
import { TokenBucket } from '../common/tokenBucket.js';
import { VersionedTable } from '../common/versionedTable.js';

const OK = 200;
const BAD_REQUEST = 400;
const NOT_FOUND = 404;
const UNAVAILABLE = 503;
const MAX_OBJECT_KEYS = 1000;
const CONTROL_PREFIX = '/control/';

/** Options of a {@link PlatformStandIn}. */
export interface IPlatformStandInOptions {
  /** Address within 127.0.0.0/8. Default 127.0.0.1. */
  readonly host?: string;
  /** Port of the service. Default 0: the operating system chooses. */
  readonly port?: number;
  readonly faults?: Partial<IPlatformFaults>;
  readonly vms?: readonly IVm[];
  readonly clock?: Clock;
}

interface IOutcome {
  readonly status: number;
  readonly bytes: Uint8Array;
}

type MutableCounters = { -readonly [K in keyof IPlatformCounters]: IPlatformCounters[K] } & {
  byPath: Record<string, number>;
};

/**
 * The platform in memory.
 *
 * @example
 * const platform = new PlatformStandIn();
 * await platform.start();
 * await platform.setFaults({ loseNextAnswers: 1 });
 * await platform.dispose();
 */
export class PlatformStandIn implements IDisposable {
  private readonly clock: Clock;
  private readonly service: LoopbackServer;
  private readonly control: LoopbackServer;
  private readonly table = new VersionedTable();
  private readonly objects = new Map<string, Buffer>();
  private readonly vms: LaggedValue<readonly IVm[]>;
  private readonly readBucket = new TokenBucket();
  private readonly writeBucket = new TokenBucket();
  private readonly stopping = new AbortController();
  private readonly counters: MutableCounters = {
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
  private faults: IPlatformFaults;

  constructor(options: IPlatformStandInOptions = {}) {
    this.clock = options.clock ?? new SystemClock();
    this.faults = mergeFaults(NO_PLATFORM_FAULTS, options.faults ?? {});
    this.vms = new LaggedValue(options.vms ?? [], this.clock.getMonotonicTime());
    const host = options.host ?? '127.0.0.1';
    this.service = new LoopbackServer({
      host,
      port: options.port ?? 0,
      handle: (request, response) => this.handle(request, response),
    });
    this.control = new LoopbackServer({
      host,
      handle: (request, response) => this.handleControl(request, response),
    });
  }

  /** Listens; a platform that is to be down from the start opens only its control address. */
  async start(): Promise<void> {
    await this.control.open();
    await this.service.open();
    await this.setFaults({});
  }

  /** IP number and port of the service. */
  getAddress(): string {
    return this.service.getAddress();
  }

  /** Base URL of the service, as nodes take it. */
  getUrl(): string {
    return `http://${this.getAddress()}`;
  }

  /** IP number and port on which `/control/*` is served even during an outage. */
  getControlAddress(): string {
    return this.control.getAddress();
  }

  getFaults(): IPlatformFaults {
    return this.faults;
  }

  getCounters(): IPlatformCounters {
    return structuredClone(this.counters);
  }

  /** Changes the faults in part. */
  async setFaults(patch: Partial<IPlatformFaults>): Promise<void> {
    this.faults = mergeFaults(this.faults, patch);
    if (this.faults.outage === PlatformOutage.Refused) await this.service.close();
    else await this.service.open();
  }

  /** Ends every fault; the lag of the VM list is taken back to its default. */
  clearFaults(): Promise<void> {
    return this.setFaults(NO_PLATFORM_FAULTS);
  }

  /** Adds a VM to the list, or replaces the entry of its address. */
  registerVm(vm: IVm): void {
    this.removeVm(vm.address);
    this.vms.set([...this.vms.getLatest(), vm], this.clock.getMonotonicTime());
  }

  removeVm(address: string): void {
    const left = this.vms.getLatest().filter((vm) => vm.address !== address);
    this.vms.set(left, this.clock.getMonotonicTime());
  }

  async dispose(): Promise<void> {
    this.stopping.abort(new Error('the platform stand-in stops'));
    await this.service.dispose();
    await this.control.dispose();
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = request.url ?? '/';
    if (url.startsWith(CONTROL_PREFIX)) return this.handleControl(request, response);
    const body = await readBody(request);
    this.counters.bytesReceived += body.length;
    this.countPath(url);
    const isWrite = request.method === 'PUT' || url === PlatformPath.Transact;
    if (!this.tryAdmit(isWrite)) {
      this.counters.refused += 1;
      sendJson(response, UNAVAILABLE, { error: 'unavailable' });
      return;
    }
    if (this.faults.delayMs > 0) {
      await this.clock.sleep(this.faults.delayMs, this.stopping.signal);
    }
    const outcome = this.execute(request.method ?? 'GET', url, body);
    this.sendOutcome(response, outcome, isWrite);
  }

  private tryAdmit(isWrite: boolean): boolean {
    if (this.faults.outage === PlatformOutage.Unavailable) return false;
    const now = this.clock.getMonotonicTime();
    return isWrite
      ? this.writeBucket.take(this.faults.writesPerSecond, now)
      : this.readBucket.take(this.faults.readsPerSecond, now);
  }

  private sendOutcome(response: ServerResponse, outcome: IOutcome, isWrite: boolean): void {
    if (this.faults.oneWay) {
      this.counters.answersLost += 1;
      return;
    }
    if (isWrite && this.faults.loseNextAnswers > 0) {
      this.faults = { ...this.faults, loseNextAnswers: this.faults.loseNextAnswers - 1 };
      this.counters.answersLost += 1;
      response.destroy();
      return;
    }
    this.counters.bytesSent += outcome.bytes.length;
    sendBytes(response, outcome.status, outcome.bytes, { 'content-type': 'application/json' });
  }

  private execute(method: string, url: string, body: Buffer): IOutcome {
    if (method === 'POST' && url === PlatformPath.Read) return this.executeRead(body);
    if (method === 'POST' && url === PlatformPath.Scan) return this.executeScan(body);
    if (method === 'POST' && url === PlatformPath.Transact) return this.executeTransact(body);
    if (method === 'GET' && url === PlatformPath.Vms) return this.executeVmList();
    if (url.startsWith(`${PlatformPath.Objects}/`)) return this.executeObject(method, url, body);
    if (url.startsWith(`${PlatformPath.Objects}?`)) return this.executeObjectList(url);
    return toJsonOutcome({ error: 'no such path' }, NOT_FOUND);
  }

  private executeRead(body: Buffer): IOutcome {
    const { keys } = parseJson(body) as IReadBody;
    const rows = this.table.read(keys, this.getReadInstant());
    return this.countRead({ rows }, rows.length);
  }

  private executeScan(body: Buffer): IOutcome {
    const rows = this.table.scan(parseJson(body) as IScanOptions, this.getReadInstant());
    return this.countRead({ rows }, rows.length);
  }

  private executeTransact(body: Buffer): IOutcome {
    const transaction = parseJson(body) as ITableTransaction;
    const now = this.clock.getMonotonicTime();
    const conditions = this.faults.ignoreConditions ? [] : transaction.conditions;
    const result: ITransactionResult = this.table.transact({ ...transaction, conditions }, now);
    this.counters.writes += 1;
    if (result.committed) this.counters.rowsWritten += transaction.writes.length;
    else this.counters.conflicts += 1;
    return toJsonOutcome(result);
  }

  private executeVmList(): IOutcome {
    const instant = this.clock.getMonotonicTime() - this.faults.vmLagMs;
    return this.countRead({ vms: this.vms.get(instant) }, 0);
  }

  private executeObject(method: string, url: string, body: Buffer): IOutcome {
    const key = decodeURIComponent(url.slice(PlatformPath.Objects.length + 1));
    if (method === 'PUT') {
      this.objects.set(key, body);
      this.counters.writes += 1;
      return toJsonOutcome({});
    }
    const bytes = this.objects.get(key);
    this.counters.reads += 1;
    return bytes === undefined
      ? toJsonOutcome({ error: 'no such object' }, NOT_FOUND)
      : { status: OK, bytes };
  }

  private executeObjectList(url: string): IOutcome {
    const prefix = new URL(url, this.getUrl()).searchParams.get('prefix') ?? '';
    const found = [...this.objects.keys()].filter((key) => key.startsWith(prefix));
    const keys = found.sort().slice(0, MAX_OBJECT_KEYS);
    return this.countRead({ keys }, 0);
  }

  private getReadInstant(): number {
    return this.clock.getMonotonicTime() - this.faults.staleMs;
  }

  private countRead(value: unknown, rows: number): IOutcome {
    this.counters.reads += 1;
    this.counters.rowsRead += rows;
    return toJsonOutcome(value);
  }

  private countPath(url: string): void {
    const path = url.startsWith(PlatformPath.Objects) ? PlatformPath.Objects : url;
    this.counters.byPath[path] = (this.counters.byPath[path] ?? 0) + 1;
  }

  private async handleControl(request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      const url = new URL(request.url ?? '/', this.getUrl());
      const answer = await this.executeControl(request, url);
      if (answer === undefined) sendJson(response, NOT_FOUND, { error: 'no such control' });
      else sendJson(response, OK, answer);
    } catch (error) {
      sendJson(response, BAD_REQUEST, { error: String(error) });
    }
  }

  /** The answer to a control request, or undefined when there is no such control. */
  private async executeControl(request: IncomingMessage, url: URL): Promise<unknown> {
    switch (`${request.method ?? 'GET'} ${url.pathname}`) {
      case 'GET /control/faults':
        return this.faults;
      case 'POST /control/faults':
        await this.setFaults((await readJson(request)) as Partial<IPlatformFaults>);
        return this.faults;
      case 'DELETE /control/faults':
        await this.clearFaults();
        return this.faults;
      case 'GET /control/counters':
        return this.counters;
      case 'GET /control/rows':
        return {
          rows: this.table.scan({ prefix: url.searchParams.get('prefix') ?? '' }, Infinity),
        };
      case 'GET /control/vms':
        return { vms: this.vms.getLatest() };
      case 'PUT /control/vms':
        this.registerVm((await readJson(request)) as IVm);
        return { vms: this.vms.getLatest() };
      case 'DELETE /control/vms':
        this.removeVm(url.searchParams.get('address') ?? '');
        return { vms: this.vms.getLatest() };
      default:
        return undefined;
    }
  }
}

function parseJson(body: Buffer): unknown {
  return JSON.parse(body.toString('utf8')) as unknown;
}

function toJsonOutcome(value: unknown, status = OK): IOutcome {
  return { status, bytes: Buffer.from(JSON.stringify(value)) };
}
