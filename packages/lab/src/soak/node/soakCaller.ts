/** A caller that reuses its connection to a node for as long as the node keeps it open. */
import type { IncomingMessage } from 'node:http';
import { Agent, request as openRequest } from 'node:http';
import type { Socket } from 'node:net';
import type { RandomSource } from '@parsleymux/base';
import {
  BOOKING_PREFIX,
  LISTING_PREFIX,
  SOAK_HOST,
  formatVersionPrefix,
} from '../common/soakLayout.js';
import type { ISoakReply, ISoakRequest, SoakLedger } from '../common/soakLedger.js';
import type { SoakNode } from './soakNode.js';

/** The caller's deadline, in ms; longer than the route's timeout, which must end the request first. */
const CALLER_TIMEOUT_MS = 4000;
/** Longest that the caller waits for a response, in ms. */
const REPLY_TIMEOUT_MS = 8000;
const BOOKING_SHARE = 0.6;
/** Share of the requests whose caller disconnects before it has a response. */
const DISCONNECT_SHARE = 0.06;
/** Longest time until such a caller disconnects, in ms; most requests take less. */
const MAX_DISCONNECT_DELAY_MS = 150;

/** Options of a {@link SoakCaller}. */
export interface ISoakCallerOptions {
  readonly name: string;
  readonly random: RandomSource;
  readonly ledger: SoakLedger;
  /** Picks a node that accepts new connections; undefined when none does. */
  readonly pickNode: () => SoakNode | undefined;
  /** Mean pause between a response and the next request, in ms. */
  readonly pauseMs: number;
}

/** Sends one request at a time until it is stopped. */
export class SoakCaller {
  private agent = new Agent({ keepAlive: true, maxSockets: 1 });
  private node: SoakNode | undefined;
  private count = 0;

  constructor(private readonly options: ISoakCallerOptions) {}

  async run(signal: AbortSignal): Promise<void> {
    const { pauseMs, random } = this.options;
    while (!signal.aborted) {
      const node = this.chooseNode();
      if (node !== undefined) await this.sendNext(node);
      await sleep(pauseMs * 2 * random.getFloat());
    }
    this.agent.destroy();
  }

  /** Keeps using the node while the connection is open, even when the node is no longer ready. */
  private chooseNode(): SoakNode | undefined {
    const isOpen = Object.keys(this.agent.freeSockets).length > 0;
    if (!isOpen) {
      this.agent.destroy();
      this.agent = new Agent({ keepAlive: true, maxSockets: 1 });
      this.node = this.options.pickNode();
    }
    return this.node;
  }

  private async sendNext(node: SoakNode): Promise<void> {
    const { ledger, name, random } = this.options;
    this.count += 1;
    const isBooking = random.getFloat() < BOOKING_SHARE;
    const id = `${name}-${this.count}`;
    const sent: ISoakRequest = {
      id,
      kind: isBooking ? 'booking' : 'list',
      method: isBooking ? 'POST' : 'GET',
      path: `${isBooking ? BOOKING_PREFIX : LISTING_PREFIX}${id}`,
      body: isBooking ? `order of ${id}` : '',
      node: node.name,
      incarnation: node.incarnation,
      sentMs: performance.now(),
    };
    ledger.recordRequest(sent);
    const disconnectAfterMs =
      random.getFloat() < DISCONNECT_SHARE ? random.getFloat() * MAX_DISCONNECT_DELAY_MS : Infinity;
    const agent = this.agent;
    ledger.recordReply(id, await sendRequest(node.front, sent, { agent, disconnectAfterMs }));
  }
}

/** Checks whether a node has applied a version; undefined when its response does not show that. */
export async function probeVersion(
  node: SoakNode,
  version: number,
  id: string,
  ledger: SoakLedger,
): Promise<boolean | undefined> {
  const sent: ISoakRequest = {
    id,
    kind: 'probe',
    method: 'GET',
    path: `${formatVersionPrefix(version)}${id}`,
    body: '',
    node: node.name,
    incarnation: node.incarnation,
    sentMs: performance.now(),
  };
  ledger.recordRequest(sent);
  const agent = new Agent({ keepAlive: false });
  const reply = await sendRequest(node.front, sent, { agent, disconnectAfterMs: Infinity });
  ledger.recordReply(id, reply);
  if (reply.status === undefined) return undefined;
  if (reply.status === 404) return false;
  // A node that has no configuration yet rejects the request, which shows nothing about any version.
  return reply.stamp === undefined ? undefined : true;
}

/** Sends a request for a route that changes from version to version; the ledger shows how it was handled. */
export async function probeChangingRoute(
  node: SoakNode,
  path: string,
  id: string,
  ledger: SoakLedger,
): Promise<void> {
  const { incarnation, name } = node;
  const base = { id, kind: 'changing', method: 'GET', path, body: '' } as const;
  const sent: ISoakRequest = { ...base, node: name, incarnation, sentMs: performance.now() };
  ledger.recordRequest(sent);
  const agent = new Agent({ keepAlive: false });
  ledger.recordReply(
    id,
    await sendRequest(node.front, sent, { agent, disconnectAfterMs: Infinity }),
  );
}

/** Sends one copy of a request that crashes every target that runs it. */
export async function sendCrashingRequest(
  node: SoakNode,
  path: string,
  ledger: SoakLedger,
): Promise<void> {
  const sentMs = performance.now();
  const sent: ISoakRequest = {
    id: `crash-${node.name}-${Math.round(sentMs * 10)}`,
    kind: 'crash',
    method: 'GET',
    path,
    body: '',
    node: node.name,
    incarnation: node.incarnation,
    sentMs,
  };
  ledger.recordRequest(sent);
  const agent = new Agent({ keepAlive: false });
  ledger.recordReply(
    sent.id,
    await sendRequest(node.front, sent, { agent, disconnectAfterMs: Infinity }),
  );
}

interface ISendOptions {
  readonly agent: Agent;
  readonly disconnectAfterMs: number;
}

/** Never rejects: a failed connection is recorded as a reply without a status. */
function sendRequest(
  address: string,
  sent: ISoakRequest,
  options: ISendOptions,
): Promise<ISoakReply> {
  const { agent, disconnectAfterMs } = options;
  const [host = '', port = '0'] = address.split(':');
  return new Promise((resolve) => {
    let hasDisconnected = false;
    let socket: Socket | undefined;
    const end = (part: Partial<ISoakReply>) => {
      clearTimeout(timer);
      resolve({
        status: undefined,
        body: '',
        stamp: undefined,
        retryAfter: undefined,
        isUnread: socket === undefined || socket.bytesWritten === 0,
        ...part,
        hasDisconnected,
        endMs: performance.now(),
      });
    };
    const outgoing = openRequest({
      agent,
      host,
      port,
      method: sent.method,
      path: sent.path,
      headers: {
        host: SOAK_HOST,
        'request-id': sent.id,
        'deadline-ms': String(CALLER_TIMEOUT_MS),
        'content-length': String(sent.body.length),
      },
    });
    const timer = setTimeout(
      () => {
        hasDisconnected = disconnectAfterMs !== Infinity;
        outgoing.destroy();
      },
      Math.min(disconnectAfterMs, REPLY_TIMEOUT_MS),
    );
    outgoing.once('socket', (assigned) => {
      socket = assigned;
    });
    outgoing.once('error', () => {
      // The node may have closed a reused connection before it read anything.
      end({ isUnread: outgoing.reusedSocket || socket?.bytesWritten === 0 });
    });
    outgoing.once('response', (response) => {
      void readResponse(response).then(end);
    });
    outgoing.end(sent.body);
  });
}

async function readResponse(response: IncomingMessage): Promise<Partial<ISoakReply>> {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of response) chunks.push(chunk as Buffer);
  } catch {
    // The body is truncated: recorded as a reply without a status.
    return { isUnread: false };
  }
  const { headers, statusCode } = response;
  return {
    status: statusCode,
    body: Buffer.concat(chunks).toString('utf8'),
    stamp: headers['server-stamp'] as string | undefined,
    retryAfter: headers['retry-after'],
    isUnread: false,
  };
}

function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}
