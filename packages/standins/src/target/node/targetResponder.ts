/** The way back from a target stand-in to its caller, with the faults that answers can have. */
import type { Socket } from 'node:net';
import type { RandomSource } from '@parsleymux/base';
import { sendBytes, sendJson } from '../../server/node/httpBody.js';
import type { ITargetCounters, ITargetFaults } from '../common/targetConfig.js';
import type { Exchange } from './exchange.js';

/** The counters as their owner counts them up. */
export type MutableTargetCounters = {
  -readonly [K in keyof ITargetCounters]: ITargetCounters[K];
};

/** Options of {@link TargetResponder}. */
export interface ITargetResponderOptions {
  readonly random: RandomSource;
  readonly counters: MutableTargetCounters;
  /** Connections on which nothing is sent any more. */
  readonly silentSockets: WeakSet<Socket>;
  readonly getFaults: () => ITargetFaults;
}

/**
 * Sends answers as the faults in force allow.
 *
 * @example
 * replies.sendAnswer(exchange, 200, encodeAnswer(content));
 */
export class TargetResponder {
  constructor(private readonly options: ITargetResponderOptions) {}

  /** Sends the answer to executed work, unless a fault keeps it back or cuts it. */
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

  /** Sends any other answer. */
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
