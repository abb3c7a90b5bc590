/** A target on loopback that implements the users' published protocol and injects failures on request. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { IDisposable, RandomSource } from '@parsleymux/base';
import { FaultyLink, LoopbackServer } from '@parsleymux/standins';
import { CRASH_PREFIX } from '../common/soakLayout.js';
import { formatResponseBody } from '../common/requestText.js';
import type { IAdvertisedLimit, ISoakArrival } from '../common/soakLedger.js';

/** How a target handles the affected share of its requests. */
export const TargetMode = {
  Healthy: 'well',
  /** Runs the request and responds with 500. */
  Failing: 'failing',
  /** Runs the request and never responds. */
  Hanging: 'hanging',
  /** Runs the request and resets the connection. */
  Resetting: 'resetting',
  /** Runs the request and closes the connection in the middle of the response. */
  Truncating: 'truncating',
  /** Sends the response twice on the same connection. */
  Doubling: 'doubling',
  /** Responds without a content-length and resets the connection in the middle of the body. */
  Unframed: 'unframed',
  /** Rejects the request as not run, without running it. */
  Shedding: 'shedding',
  Slow: 'slow',
  /** Resets a connection that was idle when the next request arrives on it. */
  ResettingIdle: 'forgetful',
} as const;

export type TargetMode = (typeof TargetMode)[keyof typeof TargetMode];

export const TARGET_MODES: readonly TargetMode[] = Object.values(TargetMode);

const OK = 200;
const FAILED = 500;
const NOT_RUN = 503;
const MISDIRECTED = 421;
const MEAN_WORK_MS = 60;
const SLOW_FACTOR = 8;
/** Idle time of a connection after which {@link TargetMode.ResettingIdle} resets it, in ms. */
const MAX_IDLE_MS = 100;

/** Options of a {@link SoakTarget}. */
export interface ISoakTargetOptions {
  readonly id: string;
  readonly service: string;
  readonly slots: number;
  readonly random: RandomSource;
  /** Records an arrival. The target calls the returned function when its work on the request has ended. */
  readonly recordArrival: (arrival: ISoakArrival) => (endMs: number) => void;
  /** Whether it rejects requests that are addressed to another target. */
  readonly isStrict: boolean;
  /** Start time in ms of Unix time. */
  readonly bornMs: number;
  /** Called after it has run a request that crashes it. */
  readonly onCrash: (target: SoakTarget, path: string) => void;
  /** Endpoint of a former target to reuse. Default: a new one. */
  readonly endpoint?: ITargetEndpoint;
}

/** The link and the port that a target listens on. */
export interface ITargetEndpoint {
  readonly link: FaultyLink;
  readonly port: number;
}

/** One incarnation of a target. */
export class SoakTarget implements IDisposable {
  mode: TargetMode = TargetMode.Healthy;
  /** Share of the requests that the mode affects, from 0 to 1. */
  share = 1;
  /** Whether its responses announce that it is draining. */
  isAnnouncingDrain = false;
  /** The limit that its responses advertise. */
  limit: IAdvertisedLimit | undefined;
  private running = 0;
  private readonly idleSinceMs = new WeakMap<object, number>();
  private readonly server: LoopbackServer;
  private openedLink: FaultyLink | undefined;

  constructor(readonly options: ISoakTargetOptions) {
    this.server = new LoopbackServer({
      port: options.endpoint?.port ?? 0,
      handle: (request, response) => this.handle(request, response),
    });
    this.openedLink = options.endpoint?.link;
  }

  async open(): Promise<void> {
    await this.server.open();
    if (this.openedLink !== undefined) return;
    this.openedLink = new FaultyLink({ to: this.server.getAddress() });
    await this.openedLink.start();
  }

  /** Closes the server as a crash would, and returns the endpoint for another target. */
  async releaseEndpoint(): Promise<ITargetEndpoint> {
    const port = Number(this.server.getAddress().split(':')[1]);
    await this.server.close();
    return { link: this.link, port };
  }

  get link(): FaultyLink {
    if (this.openedLink === undefined) throw new Error('the target is not open');
    return this.openedLink;
  }

  async dispose(): Promise<void> {
    this.openedLink?.dispose();
    await this.server.close();
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readText(request);
    const id = String(request.headers['request-id'] ?? '');
    const isAddressed = request.headers['expect-instance'] === this.options.id;
    if (this.options.isStrict && !isAddressed) {
      this.refuse(request, response, { id, body, status: MISDIRECTED });
      return;
    }
    const isAffected = this.options.random.getFloat() < this.share;
    const mode = isAffected ? this.mode : TargetMode.Healthy;
    if (mode === TargetMode.ResettingIdle && this.isIdleTooLong(request)) {
      request.socket.resetAndDestroy();
      return;
    }
    if (mode === TargetMode.Shedding || this.running >= this.options.slots) {
      this.refuse(request, response, { id, body, status: NOT_RUN });
      return;
    }
    await this.run(request, response, { id, body, mode });
    this.idleSinceMs.set(request.socket, performance.now());
  }

  private isIdleTooLong(request: IncomingMessage): boolean {
    const sinceMs = this.idleSinceMs.get(request.socket);
    return sinceMs !== undefined && performance.now() - sinceMs > MAX_IDLE_MS;
  }

  private async run(
    request: IncomingMessage,
    response: ServerResponse,
    work: { readonly id: string; readonly body: string; readonly mode: TargetMode },
  ): Promise<void> {
    const { body, id, mode } = work;
    const status = mode === TargetMode.Failing ? FAILED : OK;
    const recordEnd = this.record(request, { id, body, status, hasRun: true });
    this.running += 1;
    const factor = mode === TargetMode.Slow ? SLOW_FACTOR : 1;
    const workMs = MEAN_WORK_MS * factor * (0.5 + this.options.random.getFloat());
    await waitOrClose(request, workMs);
    this.running -= 1;
    if (request.url?.startsWith(CRASH_PREFIX) === true && !request.socket.destroyed) {
      recordEnd(performance.now());
      this.options.onCrash(this, request.url);
      return;
    }
    if (mode === TargetMode.Hanging && !request.socket.destroyed) {
      request.socket.once('close', () => {
        recordEnd(performance.now());
      });
    } else recordEnd(performance.now());
    if (request.socket.destroyed) return;
    this.sendResponse(request, response, { id, status, mode });
  }

  private sendResponse(
    request: IncomingMessage,
    response: ServerResponse,
    outcome: { readonly id: string; readonly status: number; readonly mode: TargetMode },
  ): void {
    const { id, mode, status } = outcome;
    const text = formatResponseBody(id, this.options.id);
    const stamp = `${this.options.id}.${id}`;
    const drainHeaders = this.isAnnouncingDrain ? { 'server-leaving': '1' } : {};
    const headers = {
      'request-id': id,
      'server-stamp': stamp,
      ...drainHeaders,
      ...this.listLimitHeaders(),
    };
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
    const raw = `HTTP/1.1 ${status} OK\r\n${lines.join('')}`;
    const half = text.slice(0, text.length / 2);
    switch (mode) {
      case TargetMode.Hanging:
        return;
      case TargetMode.Resetting:
        request.socket.resetAndDestroy();
        return;
      case TargetMode.Truncating:
        request.socket.write(`${raw}content-length: ${text.length}\r\n\r\n${half}`, () => {
          request.socket.destroy();
        });
        return;
      case TargetMode.Unframed:
        request.socket.write(`${raw}connection: close\r\n\r\n${half}`, () => {
          request.socket.resetAndDestroy();
        });
        return;
      case TargetMode.Doubling: {
        const single = `${raw}content-length: ${text.length}\r\n\r\n${text}`;
        request.socket.write(single + single);
        return;
      }
      default:
        response.writeHead(status, { ...headers, 'content-length': text.length }).end(text);
    }
  }

  private refuse(
    request: IncomingMessage,
    response: ServerResponse,
    refusal: { readonly id: string; readonly body: string; readonly status: number },
  ): void {
    this.record(request, { ...refusal, hasRun: false })(performance.now());
    const headers = { 'not-run': '1', 'request-id': refusal.id, ...this.listLimitHeaders() };
    response.writeHead(refusal.status, headers).end();
  }

  private listLimitHeaders(): Readonly<Record<string, string>> {
    return this.limit === undefined ? {} : { 'server-limit': this.limit.ratePerS.toFixed(1) };
  }

  private record(
    request: IncomingMessage,
    received: Pick<ISoakArrival, 'id' | 'body' | 'status' | 'hasRun'>,
  ): (endMs: number) => void {
    return this.options.recordArrival({
      ...received,
      target: this.options.id,
      service: this.options.service,
      method: request.method ?? '',
      path: request.url ?? '',
      isAnnouncingDrain: this.isAnnouncingDrain,
      limit: this.limit,
      bornMs: this.options.bornMs,
      atMs: performance.now(),
    });
  }
}

async function readText(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
}

/** Resolves early when the connection closes: work whose caller has disconnected is dropped. */
function waitOrClose(request: IncomingMessage, delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    const end = () => {
      clearTimeout(timer);
      request.socket.off('close', end);
      resolve();
    };
    const timer = setTimeout(end, delayMs);
    request.socket.once('close', end);
  });
}
