/** Client of the platform over HTTP, with undici. */
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
/** Codes of errors that are raised before any byte of the request was sent. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT']);

/** Options of {@link openHttpPlatform}. */
export interface IHttpPlatformOptions {
  readonly url: string;
  /** Maximum wait for a response, in ms. Default 2000. */
  readonly timeoutMs?: number;
  /** Maximum number of connections to the platform. Default 8. */
  readonly connections?: number;
}

/** The platform's services, which are closed together. */
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

/** Sends requests and classifies failures by whether a write may have taken effect. */
class HttpChannel {
  constructor(
    private readonly pool: Pool,
    private readonly timeoutMs: number,
  ) {}

  async request(request: IHttpRequest): Promise<IHttpResponse> {
    // A connection whose state the other end has lost stays silent permanently, and a call on it
    // would hang. Every call therefore ends within timeoutMs and closes its connection then.
    const timeout = AbortSignal.timeout(this.timeoutMs);
    const signal =
      request.signal === undefined ? timeout : AbortSignal.any([timeout, request.signal]);
    try {
      const response = await this.pool.request({
        method: request.method,
        path: request.path,
        body: request.body ?? null,
        // The VM list and configurations are long and repetitive: uncompressed, the list of 2,100
        // nodes alone would use twice the traffic that a node may spend on all control calls.
        headers: { 'content-type': 'application/json', 'accept-encoding': 'gzip' },
        signal,
      });
      const bytes = await response.body.bytes();
      const isCompressed = response.headers['content-encoding'] === 'gzip';
      return { status: response.statusCode, bytes: isCompressed ? await decompress(bytes) : bytes };
    } catch (error) {
      throw new PlatformError(toFailure(error), `${request.method} ${request.path} failed`, error);
    }
  }

  async requestJson(request: IHttpRequest): Promise<unknown> {
    const response = await this.request(request);
    checkStatus(response, request);
    return JSON.parse(Buffer.from(response.bytes).toString('utf8')) as unknown;
  }
}

function toFailure(error: unknown): PlatformFailure {
  const code = (error as { readonly code?: unknown }).code;
  return typeof code === 'string' && NOT_SENT_CODES.has(code)
    ? PlatformFailure.NotSent
    : PlatformFailure.Unknown;
}

function checkStatus(response: IHttpResponse, request: IHttpRequest): void {
  if (response.status < FIRST_ERROR_STATUS) return;
  const failure =
    response.status === UNAVAILABLE ? PlatformFailure.Refused : PlatformFailure.Unknown;
  throw new PlatformError(failure, `${request.path} responded with status ${response.status}`);
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
    const response = (await this.sendJson(PlatformPath.Read, body, signal)) as IRowsBody;
    return response.rows;
  }

  override async scan(options: IScanOptions, signal?: AbortSignal): Promise<readonly ITableRow[]> {
    const response = (await this.sendJson(PlatformPath.Scan, options, signal)) as IRowsBody;
    return response.rows;
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
    const response = await this.channel.request(request);
    if (response.status === NOT_FOUND) return undefined;
    checkStatus(response, request);
    return response.bytes;
  }

  override async put(key: string, bytes: Uint8Array, signal?: AbortSignal): Promise<void> {
    const path = formatObjectPath(key);
    const request: IHttpRequest = { method: 'PUT', path, body: bytes, signal };
    checkStatus(await this.channel.request(request), request);
  }

  override async list(prefix: string, signal?: AbortSignal): Promise<readonly string[]> {
    const path = `${PlatformPath.Objects}?prefix=${encodeURIComponent(prefix)}`;
    const response = (await this.channel.requestJson({ method: 'GET', path, signal })) as IKeysBody;
    return response.keys;
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
    const response = (await this.channel.requestJson(request)) as IVmsBody;
    return response.vms;
  }
}
