/** Writes one log line per request and updates the request metrics. */
import type { Clock, Logger } from '@parsleymux/base';
import { ResultCode, getResultInfo } from '@parsleymux/base';
import type { Registry } from 'prom-client';
import { Counter, Histogram } from 'prom-client';
import type { NodeDirectory } from '../../directory/common/nodeDirectory.js';
import type { IEntryResponse, IEntryRequest } from '../common/entryRequest.js';

/** Histogram buckets around the usual latency objectives of services, in seconds. */
const LATENCY_BUCKETS = [0.01, 0.03, 0.1, 0.2, 0.4, 0.7, 1, 1.5, 2.5, 4, 6];
const FIRST_FAILURE_STATUS = 400;
/** Shortest delay of this process that a line states, in ms. */
const MIN_LOGGED_DELAY_MS = 20;

/** Options of a {@link RequestLog}. */
export interface IRequestLogOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly directory: NodeDirectory;
  readonly registry: Registry;
}

/** Logs what an operator needs to diagnose a request by its identifier. */
export class RequestLog {
  private readonly requests: Counter<'route' | 'code' | 'status'>;
  private readonly latency: Histogram<'route'>;
  private readonly attempts: Counter<'service' | 'outcome'>;

  constructor(private readonly options: IRequestLogOptions) {
    const registers = [options.registry];
    this.requests = new Counter({
      name: 'parsleymux_entry_requests_total',
      help: 'Requests received from callers, by route, result code and status.',
      labelNames: ['route', 'code', 'status'],
      registers,
    });
    this.latency = new Histogram({
      name: 'parsleymux_entry_request_seconds',
      help: 'Time from the arrival of a request to its response, in seconds.',
      labelNames: ['route'],
      buckets: LATENCY_BUCKETS,
      registers,
    });
    this.attempts = new Counter({
      name: 'parsleymux_entry_attempts_total',
      help: 'Attempts to send a request to a target, by service and outcome.',
      labelNames: ['service', 'outcome'],
      registers,
    });
  }

  recordResponse(request: IEntryRequest, response: IEntryResponse): void {
    const ms = this.measure(request.arrivedMs);
    const route = request.route.name;
    this.requests.inc({ route, code: String(response.code), status: String(response.status) });
    this.latency.observe({ route }, ms / 1000);
    for (const { outcome } of response.attempts) {
      this.attempts.inc({ service: request.service, outcome });
    }
    const isFailure = response.status >= FIRST_FAILURE_STATUS;
    this.options.log[isFailure ? 'warn' : 'info']('request', {
      request: request.id,
      fingerprints: request.fingerprints,
      route,
      service: request.service,
      tenant: request.sender.tenant?.name,
      status: response.status,
      result: getResultInfo(response.code).name,
      runState: response.runState,
      ms,
      objectiveMs: request.route.objectiveMs,
      attempts: response.attempts,
      ...this.describeDirectory(),
      // The configuration that decided, which may have been replaced since.
      catalog: request.catalogVersion,
      catalogAgeMs: Math.round(request.catalogAgeMs),
    });
  }

  /** Records a request that was refused before or without a route. */
  recordUnrouted(
    request: { readonly id: string; readonly path: string },
    response: IEntryResponse,
    arrivedMs: number,
  ): void {
    const code = getResultInfo(response.code).name;
    this.requests.inc({ route: '', code: String(response.code), status: String(response.status) });
    this.options.log.warn('request refused', {
      request: request.id,
      path: request.path,
      status: response.status,
      result: code,
      ms: this.measure(arrivedMs),
      ...this.describeDirectory(),
    });
  }

  /** Records a request whose caller disconnected before the response. */
  recordDisconnected(request: IEntryRequest): void {
    const route = request.route.name;
    this.requests.inc({ route, code: String(ResultCode.CallerGone), status: '' });
    this.options.log.warn('caller left', {
      request: request.id,
      route,
      service: request.service,
      ms: this.measure(request.arrivedMs),
    });
  }

  private measure(sinceMs: number): number {
    return Math.round(this.options.clock.getMonotonicTime() - sinceMs);
  }

  private describeDirectory(): Readonly<Record<string, number | undefined>> {
    const { clock, directory } = this.options;
    const processDelayMs = Math.round(clock.getRecentDelayMs());
    const { announcedVersions } = directory;
    const newestCatalog = announcedVersions.findNewest();
    const newerCatalogAgeMs = Math.round(announcedVersions.getOldestAgeMs());
    return {
      catalog: directory.getCatalog()?.version,
      catalogAgeMs: Math.round(directory.catalog.getAgeMs()),
      targetsAgeMs: Math.round(directory.targets.getAgeMs()),
      ...(processDelayMs < MIN_LOGGED_DELAY_MS ? {} : { processDelayMs }),
      ...(newestCatalog === undefined ? {} : { newestCatalog, newerCatalogAgeMs }),
      ...(directory.getCatalog()?.requiresKeys === true
        ? { keysProofAgeMs: Math.round(directory.tenants.getProofAgeMs()) }
        : {}),
    };
  }
}
