/** What a target stand-in answers beside real work: its health, its load, and look-ups of keys. */
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
 * Answers as the faults in force say, which may be untrue.
 *
 * @example
 * if (!probes.handle(exchange)) await serve(exchange);
 */
export class TargetProbes {
  constructor(private readonly options: ITargetProbesOptions) {}

  /** Returns false for a request that is none of these, which is left unanswered. */
  handle(exchange: Exchange): boolean {
    if (exchange.path === '/health') this.sendHealth(exchange);
    else if (exchange.path === '/load') this.sendLoad(exchange);
    else if (exchange.path.startsWith(LOOK_UP_PREFIX)) this.sendLookUp(exchange);
    else return false;
    return true;
  }

  private sendHealth(exchange: Exchange): void {
    const { counters, getFaults, responder: replies } = this.options;
    counters.probes += 1;
    const { health, draining } = getFaults();
    const isRed = health === 'red' || (health === 'auto' && draining);
    replies.sendStatus(exchange, isRed ? UNAVAILABLE : OK, { healthy: !isRed });
  }

  private sendLoad(exchange: Exchange): void {
    const { counters, getFaults, getRunning, responder: replies, slots } = this.options;
    counters.probes += 1;
    const { claimedLoad } = getFaults();
    const running = claimedLoad < 0 ? getRunning() : claimedLoad;
    replies.sendStatus(exchange, OK, { running, slots });
  }

  private sendLookUp(exchange: Exchange): void {
    const { executions, responder: replies } = this.options;
    const found = executions.find(decodeURIComponent(exchange.path.slice(LOOK_UP_PREFIX.length)));
    if (found.answer !== undefined) {
      replies.sendResponse(exchange, OK, found.answer.body);
      return;
    }
    const isOpen = found.count > 0 || found.waiting > 0;
    replies.sendStatus(exchange, isOpen ? CONFLICT : NOT_FOUND, { executions: found.count });
  }
}
