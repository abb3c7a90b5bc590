/** The administration API over HTTP: versioned paths, JSON bodies, one key per operator. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock, InvariantRegistry, Logger } from '@parsleymux/base';
import { getResultInfo, MS_PER_SECOND, MuxError, ResultCode, RunState } from '@parsleymux/base';
import type { ConfigService, PlanStore } from '@parsleymux/config';
import type { IAccessRequest } from '../../access/common/accessControl.js';
import { AccessControl } from '../../access/common/accessControl.js';
import type { IMemberLimits } from '../../access/common/memberLimiter.js';
import { MemberLimiter } from '../../access/common/memberLimiter.js';
import type { AuditLog } from '../../audit/common/auditLog.js';
import type { BurnReader } from '../../burn/common/burnReader.js';
import type { ClaimSettler } from '../../claims/common/claimSettler.js';
import { WorkerIntentReader } from '../../intents/node/workerIntentReader.js';
import type { KeyStore } from '../../keys/common/keyStore.js';
import type { StatusProvider } from '../../status/common/statusProvider.js';
import type { IAdminResponse, IAdminRoute } from '../common/adminRoute.js';
import { BurnHandler } from '../common/burnHandler.js';
import { ClaimHandler } from '../common/claimHandler.js';
import { formatErrorBody, toPublicError } from '../common/errorBody.js';
import { createKeyResponse } from '../common/keyResponse.js';
import { KeyHandler } from '../common/keyHandler.js';
import { PlanHandler } from '../common/planHandler.js';
import { StatusHandler } from '../common/statusHandler.js';
import { readRequestBody } from './requestBody.js';

const BOOTSTRAP_PATH = '/v1/bootstrap';
const BOOTSTRAP_ACTION = 'key.bootstrap';

/** Options of an {@link AdminApi}. */
export interface IAdminApiOptions {
  readonly plans: PlanStore;
  readonly keys: KeyStore;
  readonly audit: AuditLog;
  readonly config: ConfigService;
  readonly status: StatusProvider;
  readonly claims: ClaimSettler;
  /** Without a reader, the path `/v1/burn` does not exist. */
  readonly burn?: BurnReader;
  readonly clock: Clock;
  readonly invariants: InvariantRegistry;
  readonly logger: Logger;
  /** Limits of each member on this node. Defaults: {@link IMemberLimits}. */
  readonly limits?: IMemberLimits;
  /**
   * Secret that the nodes share. Clients that present it may create the fleet's first operator key.
   * Without a secret, only clients on this VM may.
   */
  readonly bootstrapSecret?: string;
}

/**
 * Authenticates operators, and routes and serves their requests.
 *
 * @example
 * const api = new AdminApi(options);
 * const server = createServer((request, response) => void api.handle(request, response));
 */
export class AdminApi {
  private readonly access: AccessControl;
  private readonly limiter: MemberLimiter;
  private readonly routes: readonly ICompiledRoute[];
  private readonly counts = new Map<ResultCode, number>();

  constructor(private readonly options: IAdminApiOptions) {
    this.access = new AccessControl(options);
    this.limiter = new MemberLimiter(options.clock, options.limits);
    const intents = new WorkerIntentReader(options);
    const shared = { ...options, access: this.access, limiter: this.limiter, intents };
    this.routes = [
      ...new PlanHandler(shared).listRoutes(),
      ...new StatusHandler(shared).listRoutes(),
      ...new KeyHandler(shared).listRoutes(),
      ...new ClaimHandler(shared).listRoutes(),
      ...this.listBurnRoutes(),
    ].map((route) => ({ ...route, pattern: makePathPattern(route.path) }));
  }

  /** Lists the method and path of every operation, for the documentation. */
  listOperations(): readonly string[] {
    const bootstrap = `POST ${BOOTSTRAP_PATH}`;
    return [bootstrap, ...this.routes.map(({ method, path }) => `${method} ${path}`)];
  }

  /** Returns the number of responses by result code, for metrics. */
  getCounts(): ReadonlyMap<ResultCode, number> {
    return this.counts;
  }

  /** Returns the number of rejections missing from the audit log, for metrics. */
  getLostAuditCount(): number {
    return this.access.getUnauditedCount() + this.options.audit.getLostCount();
  }

  /** Handles one request. Never rejects. */
  async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const disconnected = new AbortController();
    response.once('close', () => {
      disconnected.abort(new Error('the operator disconnected'));
    });
    try {
      const result = await this.execute(request, disconnected.signal);
      this.countResult(ResultCode.Ok);
      writeResponse(response, result);
    } catch (error) {
      this.writeErrorResponse(response, error);
    }
  }

  private async execute(request: IncomingMessage, signal: AbortSignal): Promise<IAdminResponse> {
    const url = new URL(request.url ?? '/', 'http://admin.invalid');
    if (url.pathname === BOOTSTRAP_PATH) return this.createBootstrapKey(request, signal);
    const { route, parameters } = this.findRoute(request.method ?? '', url.pathname);
    const access = makeAccessRequest(request, route.action);
    const operator = await this.access.verify(access, signal);
    return this.limiter.run(operator.member, async () => {
      const body = await readRequestBody(request, this.limiter.limits.intentBytes);
      return route.handle({ operator, parameters, query: url.searchParams, body, signal });
    });
  }

  private listBurnRoutes(): readonly IAdminRoute[] {
    const { burn } = this.options;
    return burn === undefined ? [] : new BurnHandler({ burn, access: this.access }).listRoutes();
  }

  private findRoute(method: string, path: string): IRouteMatch {
    const matches = this.routes.flatMap((route) => {
      const match = route.pattern.exec(path);
      return match === null ? [] : [{ route, parameters: match.slice(1).map(decodeParameter) }];
    });
    if (matches.length === 0) throw createRefusal(ResultCode.UnknownRoute, 'there is no such path');
    const found = matches.find(({ route }) => route.method === method);
    if (found === undefined) {
      throw createRefusal(ResultCode.MethodNotAllowed, 'the path does not take this method');
    }
    return found;
  }

  /** Creates the fleet's first key, for clients that present the fleet's secret. */
  private async createBootstrapKey(
    request: IncomingMessage,
    signal: AbortSignal,
  ): Promise<IAdminResponse> {
    if (request.method !== 'POST') {
      throw createRefusal(ResultCode.MethodNotAllowed, 'the path takes POST only');
    }
    const { bootstrapSecret, keys } = this.options;
    const access = makeAccessRequest(request, BOOTSTRAP_ACTION);
    await this.access.checkSecret(access, bootstrapSecret, signal);
    return createKeyResponse(await keys.createBootstrapKey(BOOTSTRAP_ACTION, signal));
  }

  private writeErrorResponse(response: ServerResponse, error: unknown): void {
    if (response.destroyed) {
      // Nobody reads the response. A cancelled command is not a fault of the node, so it isn't logged.
      this.countResult(ResultCode.CallerGone);
      return;
    }
    const publicError = toPublicError(error);
    this.countResult(publicError.code);
    if (publicError.code === ResultCode.Internal) {
      this.options.logger.error('administration request failed', { error: String(error) });
    }
    if (response.headersSent) return;
    if (publicError.retryAfterMs !== undefined) {
      response.setHeader('retry-after', Math.ceil(publicError.retryAfterMs / MS_PER_SECOND));
    }
    // The unread rest of the body would be parsed as the next request on the connection.
    response.setHeader('connection', 'close');
    writeResponse(response, {
      status: getResultInfo(publicError.code).httpStatus,
      body: formatErrorBody(publicError),
    });
  }

  private countResult(code: ResultCode): void {
    this.counts.set(code, (this.counts.get(code) ?? 0) + 1);
  }
}

interface ICompiledRoute extends IAdminRoute {
  readonly pattern: RegExp;
}

interface IRouteMatch {
  readonly route: IAdminRoute;
  readonly parameters: readonly string[];
}

function makePathPattern(path: string): RegExp {
  return new RegExp(`^${path.replaceAll(/\{[a-z]+\}/g, '([^/]+)')}$`);
}

function writeResponse(response: ServerResponse, result: IAdminResponse): void {
  response.writeHead(result.status, {
    'content-type': 'application/json',
    'cache-control': 'no-store',
  });
  response.end(result.body);
}

function decodeParameter(text: string): string {
  try {
    return decodeURIComponent(text);
  } catch {
    throw createRefusal(ResultCode.MalformedRequest, 'the path is not encoded as URLs are');
  }
}

function makeAccessRequest(request: IncomingMessage, action: string): IAccessRequest {
  return {
    authorization: request.headers.authorization,
    remoteAddress: request.socket.remoteAddress ?? 'unknown',
    action,
  };
}

function createRefusal(code: ResultCode, message: string): MuxError {
  return new MuxError({ code, message, runState: RunState.NotRun });
}
