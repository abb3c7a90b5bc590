/** Serves the auxiliary paths of a target stand-in: health, load and look-ups of keys. */
import type { ExecutionLog } from '../common/executionLog.js';
import type { ITargetFaults } from '../common/targetConfig.js';
import type { Exchange } from './exchange.js';
import type { MutableTargetCounters, TargetResponder } from './targetResponder.js';

const OK = 200;
const NOT_FOUND = 404;
const CONFLICT = 409;
const UNAVAILABLE = 503;
const LOOK_UP_PREFIX = '/lookup/';

/** Options of {@link TargetProbes}. */
export interface ITargetProbesOptions {
  readonly responder: TargetResponder;
  readonly counters: MutableTargetCounters;
  readonly executions: ExecutionLog;
  readonly slots: number;
  readonly getFaults: () => ITargetFaults;
  readonly getRunning: () => number;
}

/**
 * Responds to probes. Active faults can make the reported health and load inaccurate.
 *
 * @example
 * if (!probes.handle(exchange)) await serve(exchange);
 */
export class TargetProbes {
  constructor(private readonly options: ITargetProbesOptions) {}

  /** Handles a probe or look-up. Returns false, and sends no response, for any other request. */
  handle(exchange: Exchange): boolean {
    if (exchange.path === '/health') this.sendHealth(exchange);
    else if (exchange.path === '/load') this.sendLoad(exchange);
    else if (exchange.path.startsWith(LOOK_UP_PREFIX)) this.sendLookUp(exchange);
    else return false;
    return true;
  }

  private sendHealth(exchange: Exchange): void {
    const { counters, getFaults, responder } = this.options;
    counters.probes += 1;
    const { health, draining } = getFaults();
    const isRed = health === 'red' || (health === 'auto' && draining);
    responder.sendStatus(exchange, isRed ? UNAVAILABLE : OK, { healthy: !isRed });
  }

  private sendLoad(exchange: Exchange): void {
    const { counters, getFaults, getRunning, responder, slots } = this.options;
    counters.probes += 1;
    const { claimedLoad } = getFaults();
    const running = claimedLoad < 0 ? getRunning() : claimedLoad;
    responder.sendStatus(exchange, OK, { running, slots });
  }

  private sendLookUp(exchange: Exchange): void {
    const { executions, responder } = this.options;
    const found = executions.find(decodeURIComponent(exchange.path.slice(LOOK_UP_PREFIX.length)));
    if (found.response !== undefined) {
      responder.sendResponse(exchange, OK, found.response.body);
      return;
    }
    const isOpen = found.count > 0 || found.waiting > 0;
    responder.sendStatus(exchange, isOpen ? CONFLICT : NOT_FOUND, { executions: found.count });
  }
}
