/** Sends the responses of a target stand-in and applies the faults that affect responses. */
import type { Socket } from 'node:net';
import type { RandomSource } from '@parsleymux/base';
import { sendBytes, sendJson } from '../../server/node/httpBody.js';
import type { ITargetCounters, ITargetFaults } from '../common/targetConfig.js';
import type { Exchange } from './exchange.js';

/** The counters in the form that the target updates. */
export type MutableTargetCounters = {
  -readonly [K in keyof ITargetCounters]: ITargetCounters[K];
};

/** Options of {@link TargetResponder}. */
export interface ITargetResponderOptions {
  readonly random: RandomSource;
  readonly counters: MutableTargetCounters;
  /** Connections on which no further responses are sent. */
  readonly silentSockets: WeakSet<Socket>;
  readonly getFaults: () => ITargetFaults;
}

/**
 * Sends responses subject to the active faults.
 *
 * @example
 * responder.sendResponse(exchange, 200, encodeResponseContent(content));
 */
export class TargetResponder {
  constructor(private readonly options: ITargetResponderOptions) {}

  /** Sends the response to an executed request, unless a fault suppresses or truncates it. */
  sendResponse(exchange: Exchange, status: number, body: Uint8Array): void {
    const isTruncated = this.options.random.getFloat() < this.options.getFaults().truncateShare;
    if (!isTruncated) {
      if (this.isResponsePossible(exchange)) {
        sendBytes(exchange.response, status, body, this.makeHeaders());
      }
      return;
    }
    this.options.counters.truncated += 1;
    if (this.isResponsePossible(exchange)) exchange.sendTruncated(status, body, this.makeHeaders());
  }

  /** Sends any other response, which is never truncated. */
  sendStatus(
    exchange: Exchange,
    status: number,
    value: unknown,
    headers: Readonly<Record<string, string>> = {},
  ): void {
    if (!this.isResponsePossible(exchange)) return;
    sendJson(exchange.response, status, value, { ...this.makeHeaders(), ...headers });
  }

  private isResponsePossible(exchange: Exchange): boolean {
    const isSilent =
      this.options.getFaults().oneWay || this.options.silentSockets.has(exchange.socket);
    return !isSilent && !exchange.isCallerDisconnected();
  }

  private makeHeaders(): Readonly<Record<string, string>> {
    const type = { 'content-type': 'application/json' };
    return this.options.getFaults().draining ? { ...type, 'parsleymux-draining': 'true' } : type;
  }
}
