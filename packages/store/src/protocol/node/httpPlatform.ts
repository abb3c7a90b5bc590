/** The platform over HTTP, through undici. */
import { promisify } from 'node:util';
import { gunzip } from 'node:zlib';
import type { IDisposable } from '@parsleymux/base';
import { Pool } from 'undici';
import { ObjectStore } from '../../objects/common/objectStore.js';
import type {
  IScanOptions,
  ITableRow,
  ITableTransaction,
  ITransactionResult,
} from '../../table/common/tableService.js';
import { PlatformFailure, TableService } from '../../table/common/tableService.js';
import type { IVm } from '../../vmList/common/vmList.js';
import { VmList } from '../../vmList/common/vmList.js';
import { PlatformError } from '../common/platformError.js';
import type { IKeysBody, IReadBody, IRowsBody, IVmsBody } from '../common/platformProtocol.js';
import { PlatformPath } from '../common/platformProtocol.js';
import type { IPlatform } from '../common/platformServices.js';

const decompress = promisify(gunzip) as (bytes: Uint8Array) => Promise<Uint8Array>;

const NOT_FOUND = 404;
const UNAVAILABLE = 503;
const FIRST_ERROR_STATUS = 400;
const DEFAULT_TIMEOUT_MS = 2000;
const DEFAULT_CONNECTIONS = 8;
/** Codes of errors that are raised before any byte of the request has left. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT']);

/** Options of {@link openHttpPlatform}. */
export interface IHttpPlatformOptions {
  readonly url: string;
  /** Longest wait for an answer, in ms. Default 2000. */
  readonly timeoutMs?: number;
  /** Connections kept to the platform. Default 8. */
  readonly connections?: number;
}

/** Services that are closed together. */
export interface IHttpPlatform extends IPlatform, IDisposable {}

/**
 * Opens the platform's services at a URL.
 *
 * @example
 * const platform = openHttpPlatform({ url: 'http://127.0.0.1:7900' });
 * const rows = await platform.table.read(['head']);
 */
export function openHttpPlatform(options: IHttpPlatformOptions): IHttpPlatform {
  const pool = new Pool(options.url, { connections: options.connections ?? DEFAULT_CONNECTIONS });
  const channel = new HttpChannel(pool, options.timeoutMs ?? DEFAULT_TIMEOUT_MS);
  return {
    table: new HttpTableService(channel),
    objects: new HttpObjectStore(channel),
    vms: new HttpVmList(channel),
    dispose: () => pool.destroy(),
  };
}

interface IHttpRequest {
  readonly method: 'GET' | 'POST' | 'PUT';
  readonly path: string;
  readonly body?: string | Uint8Array;
  readonly signal?: AbortSignal | undefined;
}

interface IHttpResponse {
  readonly status: number;
  readonly bytes: Uint8Array;
}

/** Sends one request and says precisely what a failure means for a write. */
class HttpChannel {
  constructor(
    private readonly pool: Pool,
    private readonly timeoutMs: number,
  ) {}

  async request(request: IHttpRequest): Promise<IHttpResponse> {
    // A connection whose far end has lost track of it stays silent for ever; without a bound of
    // our own the call would hang, so every call ends within timeoutMs and drops its connection.
    const timeout = AbortSignal.timeout(this.timeoutMs);
    const signal =
      request.signal === undefined ? timeout : AbortSignal.any([timeout, request.signal]);
    try {
      const answer = await this.pool.request({
        method: request.method,
        path: request.path,
        body: request.body ?? null,
        // The VM list and configurations are long and repeat themselves: at 2,100 nodes the list
        // alone would otherwise take twice what a node may spend on all of control.
        headers: { 'content-type': 'application/json', 'accept-encoding': 'gzip' },
        signal,
      });
      const bytes = await answer.body.bytes();
      const isCompressed = answer.headers['content-encoding'] === 'gzip';
      return { status: answer.statusCode, bytes: isCompressed ? await decompress(bytes) : bytes };
    } catch (error) {
      throw new PlatformError(toFailure(error), `${request.method} ${request.path} failed`, error);
    }
  }

  async requestJson(request: IHttpRequest): Promise<unknown> {
    const answer = await this.request(request);
    checkStatus(answer, request);
    return JSON.parse(Buffer.from(answer.bytes).toString('utf8')) as unknown;
  }
}

function toFailure(error: unknown): PlatformFailure {
  const code = (error as { readonly code?: unknown }).code;
  return typeof code === 'string' && NOT_SENT_CODES.has(code)
    ? PlatformFailure.NotSent
    : PlatformFailure.Unknown;
}

function checkStatus(answer: IHttpResponse, request: IHttpRequest): void {
  if (answer.status < FIRST_ERROR_STATUS) return;
  const failure = answer.status === UNAVAILABLE ? PlatformFailure.Refused : PlatformFailure.Unknown;
  throw new PlatformError(failure, `${request.path} answered ${answer.status}`);
}

class HttpTableService extends TableService {
  constructor(private readonly channel: HttpChannel) {
    super();
  }

  override async read(
    keys: readonly string[],
    signal?: AbortSignal,
  ): Promise<readonly ITableRow[]> {
    const body: IReadBody = { keys };
    const answer = (await this.sendJson(PlatformPath.Read, body, signal)) as IRowsBody;
    return answer.rows;
  }

  override async scan(options: IScanOptions, signal?: AbortSignal): Promise<readonly ITableRow[]> {
    const answer = (await this.sendJson(PlatformPath.Scan, options, signal)) as IRowsBody;
    return answer.rows;
  }

  override async transact(
    transaction: ITableTransaction,
    signal?: AbortSignal,
  ): Promise<ITransactionResult> {
    return (await this.sendJson(PlatformPath.Transact, transaction, signal)) as ITransactionResult;
  }

  private sendJson(path: string, body: unknown, signal: AbortSignal | undefined): Promise<unknown> {
    return this.channel.requestJson({ method: 'POST', path, body: JSON.stringify(body), signal });
  }
}

class HttpObjectStore extends ObjectStore {
  constructor(private readonly channel: HttpChannel) {
    super();
  }

  override async get(key: string, signal?: AbortSignal): Promise<Uint8Array | undefined> {
    const request: IHttpRequest = { method: 'GET', path: formatObjectPath(key), signal };
    const answer = await this.channel.request(request);
    if (answer.status === NOT_FOUND) return undefined;
    checkStatus(answer, request);
    return answer.bytes;
  }

  override async put(key: string, bytes: Uint8Array, signal?: AbortSignal): Promise<void> {
    const path = formatObjectPath(key);
    const request: IHttpRequest = { method: 'PUT', path, body: bytes, signal };
    checkStatus(await this.channel.request(request), request);
  }

  override async list(prefix: string, signal?: AbortSignal): Promise<readonly string[]> {
    const path = `${PlatformPath.Objects}?prefix=${encodeURIComponent(prefix)}`;
    const answer = (await this.channel.requestJson({ method: 'GET', path, signal })) as IKeysBody;
    return answer.keys;
  }
}

function formatObjectPath(key: string): string {
  return `${PlatformPath.Objects}/${encodeURIComponent(key)}`;
}

class HttpVmList extends VmList {
  constructor(private readonly channel: HttpChannel) {
    super();
  }

  override async list(signal?: AbortSignal): Promise<readonly IVm[]> {
    const request: IHttpRequest = { method: 'GET', path: PlatformPath.Vms, signal };
    const answer = (await this.channel.requestJson(request)) as IVmsBody;
    return answer.vms;
  }
}
