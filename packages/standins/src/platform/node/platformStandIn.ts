/**
 * Stands in for the platform: its table, object store and VM list over HTTP, with injectable faults.
 * `/control/*` (platformControl.ts) is served on the service's address and on a second one, which
 * stays reachable while the service refuses connections.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock, IDisposable } from '@parsleymux/base';
import { SystemClock } from '@parsleymux/base';
import type { ITableRow, IVm } from '@parsleymux/store';
import { PlatformPath } from '@parsleymux/store';
import { mergeFaults } from '../../control/common/faultSettings.js';
import { readBody, sendBytes, sendJson } from '../../server/node/httpBody.js';
import { encodeCompressed } from '../../server/node/compressedBody.js';
import { LoopbackServer } from '../../server/node/loopbackServer.js';
import type { IPlatformCounters, IPlatformFaults } from '../common/platformFaults.js';
import { NO_PLATFORM_FAULTS, PlatformOutage } from '../common/platformFaults.js';
import type { IPlatformResponse } from '../common/platformState.js';
import { PlatformState } from '../common/platformState.js';
import { TokenBucket } from '../common/tokenBucket.js';
import { handlePlatformControl } from './platformControl.js';

const UNAVAILABLE = 503;
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

/**
 * An in-memory platform.
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
  private readonly state: PlatformState;
  private readonly readBucket = new TokenBucket();
  private readonly writeBucket = new TokenBucket();
  private readonly stopping = new AbortController();
  private faults: IPlatformFaults;

  constructor(options: IPlatformStandInOptions = {}) {
    this.clock = options.clock ?? new SystemClock();
    this.faults = mergeFaults(NO_PLATFORM_FAULTS, options.faults ?? {});
    this.state = new PlatformState(options.vms ?? [], this.clock.getMonotonicTime());
    const host = options.host ?? '127.0.0.1';
    this.service = new LoopbackServer({
      host,
      port: options.port ?? 0,
      handle: (request, response) => this.handle(request, response),
    });
    this.control = new LoopbackServer({
      host,
      handle: (request, response) => handlePlatformControl(this, request, response),
    });
  }

  /** Starts listening. With the initial outage `refused`, the port is open briefly before it is closed. */
  async start(): Promise<void> {
    await this.control.open();
    await this.service.open();
    await this.setFaults({});
  }

  /** IP address and port of the service. */
  getAddress(): string {
    return this.service.getAddress();
  }

  /** Base URL of the service, as used in node settings. */
  getUrl(): string {
    return `http://${this.getAddress()}`;
  }

  /** IP address and port on which `/control/*` is served even during an outage. */
  getControlAddress(): string {
    return this.control.getAddress();
  }

  getFaults(): IPlatformFaults {
    return this.faults;
  }

  getCounters(): IPlatformCounters {
    return structuredClone(this.state.counters);
  }

  /** Returns the current rows regardless of faults; at most 1000. */
  getRows(prefix: string): readonly ITableRow[] {
    return this.state.getRows(prefix);
  }

  /** Replaces the given faults. */
  async setFaults(patch: Partial<IPlatformFaults>): Promise<void> {
    this.faults = mergeFaults(this.faults, patch);
    if (this.faults.outage === PlatformOutage.Refused) await this.service.close();
    else await this.service.open();
  }

  /** Clears all faults; the lag of the VM list is reset to its default. */
  clearFaults(): Promise<void> {
    return this.setFaults(NO_PLATFORM_FAULTS);
  }

  /** Returns the current VM list without lag. */
  getVms(): readonly IVm[] {
    return this.state.getVms();
  }

  /** Adds a VM to the list, or replaces the entry with its address. */
  registerVm(vm: IVm): void {
    const otherVms = this.getVms().filter(({ address }) => address !== vm.address);
    this.state.setVms([...otherVms, vm], this.clock.getMonotonicTime());
  }

  removeVm(address: string): void {
    const remaining = this.getVms().filter((vm) => vm.address !== address);
    this.state.setVms(remaining, this.clock.getMonotonicTime());
  }

  async dispose(): Promise<void> {
    this.stopping.abort(new Error('the platform stand-in is stopping'));
    await this.service.dispose();
    await this.control.dispose();
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const method = request.method ?? 'GET';
    const url = request.url ?? '/';
    if (url.startsWith(CONTROL_PREFIX)) {
      await handlePlatformControl(this, request, response);
      return;
    }
    const body = await readBody(request);
    this.state.counters.bytesReceived += body.length;
    const isWrite = method === 'PUT' || url === PlatformPath.Transact;
    if (!this.tryAdmit(isWrite)) {
      this.state.counters.refused += 1;
      sendJson(response, UNAVAILABLE, { error: 'unavailable' });
      return;
    }
    if (this.faults.delayMs > 0) {
      await this.clock.sleep(this.faults.delayMs, this.stopping.signal);
    }
    const now = this.clock.getMonotonicTime();
    this.sendResponse(
      response,
      this.state.execute({ method, url, body }, this.faults, now),
      isWrite,
    );
  }

  private tryAdmit(isWrite: boolean): boolean {
    if (this.faults.outage === PlatformOutage.Unavailable) return false;
    const now = this.clock.getMonotonicTime();
    return isWrite
      ? this.writeBucket.take(this.faults.writesPerSecond, now)
      : this.readBucket.take(this.faults.readsPerSecond, now);
  }

  private sendResponse(
    response: ServerResponse,
    result: IPlatformResponse,
    isWrite: boolean,
  ): void {
    const { counters } = this.state;
    if (this.faults.oneWay) {
      counters.answersLost += 1;
      return;
    }
    if (isWrite && this.faults.loseNextAnswers > 0) {
      this.faults = { ...this.faults, loseNextAnswers: this.faults.loseNextAnswers - 1 };
      counters.answersLost += 1;
      response.destroy();
      return;
    }
    const { bytes, headers } = encodeCompressed(response.req, result.bytes);
    counters.bytesSent += bytes.length;
    sendBytes(response, result.status, bytes, { 'content-type': 'application/json', ...headers });
  }
}
