/** Control calls to peers, over a bounded number of cached clients. */
import type { Agent } from 'node:http';
import { Agent as HttpAgent } from 'node:http';
import type { AgentOptions } from 'node:https';
import { Agent as HttpsAgent } from 'node:https';
import type { Client, Interceptor } from '@connectrpc/connect';
import { Code, ConnectError, createClient } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';
import type { Clock, IDisposable } from '@parsleymux/base';
import { ControlService } from '@parsleymux/schema';
import type { MembershipService } from '../../membership/common/membershipService.js';
import type { PeerAuthenticator } from './peerAuthenticator.js';
import { PROOF_HEADER } from './peerAuthenticator.js';

const DEFAULT_TIMEOUT_MS = 2000;
const DEFAULT_MAX_PEERS = 64;
const DEFAULT_IDLE_MS = 60_000;
/** Connections to one peer; further concurrent calls wait for one of them. */
const MAX_CONNECTIONS = 4;

/** Codes with which connect-es reports that no complete response arrived. */
const NO_RESPONSE_CODES: ReadonlySet<Code> = new Set([
  Code.Unavailable,
  Code.DeadlineExceeded,
  Code.Aborted,
  Code.Unknown,
  Code.DataLoss,
]);

/** Typed client of one peer's control service. */
export type ControlClient = Client<typeof ControlService>;

/** Options of a call, to be passed on to the client's method. */
export interface IPeerCallOptions {
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
}

/** One control call. */
export type PeerCall<T> = (client: ControlClient, options: IPeerCallOptions) => Promise<T>;

/** Limits of one call. */
export interface IPeerCallLimits {
  /** Default: the timeout of the {@link PeerClients}, in ms. */
  readonly timeoutMs?: number;
  readonly signal?: AbortSignal;
}

/** Options of {@link PeerClients}. */
export interface IPeerClientsOptions {
  readonly authenticator: PeerAuthenticator;
  readonly membership: MembershipService;
  readonly clock: Clock;
  /** Maximum wait for a response, in ms. Default 2000. */
  readonly timeoutMs?: number;
  /** Maximum number of peers to which connections are kept. Default 64. */
  readonly maxPeers?: number;
  /** Time after which an unused client is closed, in ms. Default 60,000. */
  readonly idleMs?: number;
  /** Certificates and authorities; plain HTTP when absent. */
  readonly tls?: AgentOptions;
}

interface IPeerEntry {
  readonly client: ControlClient;
  readonly agent: Agent;
  lastUsedMs: number;
  callsInFlight: number;
  hasResponded: boolean;
}

/**
 * Calls peers and records the results in the membership.
 *
 * @example
 * const status = await peers.execute('127.0.0.1:7002', (client, options) =>
 *   client.getNodeStatus({ member: 'dobrescu' }, options));
 */
export class PeerClients implements IDisposable {
  private readonly options: IPeerClientsOptions;
  private readonly entries = new Map<string, IPeerEntry>();
  private idleTimer: IDisposable | undefined;
  private isDisposed = false;

  constructor(options: IPeerClientsOptions) {
    this.options = options;
  }

  /** Runs one call. Rejects with a ConnectError when it fails. */
  async execute<T>(address: string, call: PeerCall<T>, limits: IPeerCallLimits = {}): Promise<T> {
    const entry = this.getEntry(address);
    const hadResponded = entry.hasResponded;
    const timeoutMs = limits.timeoutMs ?? this.options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
    const callOptions: IPeerCallOptions =
      limits.signal === undefined ? { timeoutMs } : { timeoutMs, signal: limits.signal };
    entry.callsInFlight += 1;
    try {
      const response = await call(entry.client, callOptions);
      this.recordResponse(address, entry);
      return response;
    } catch (error) {
      if (limits.signal?.aborted !== true) this.recordError(address, entry, error, hadResponded);
      throw error;
    } finally {
      entry.callsInFlight -= 1;
      if (entry.callsInFlight === 0 && this.entries.get(address) !== entry) entry.agent.destroy();
    }
  }

  /** Returns the number of peers with a cached client. */
  getPeerCount(): number {
    return this.entries.size;
  }

  dispose(): void {
    this.isDisposed = true;
    void this.idleTimer?.dispose();
    for (const entry of this.entries.values()) entry.agent.destroy();
    this.entries.clear();
  }

  private recordResponse(address: string, entry: IPeerEntry): void {
    entry.hasResponded = true;
    this.options.membership.recordContact(address);
  }

  private recordError(
    address: string,
    entry: IPeerEntry,
    error: unknown,
    hadResponded: boolean,
  ): void {
    if (!NO_RESPONSE_CODES.has(ConnectError.from(error).code)) {
      this.recordResponse(address, entry);
      return;
    }
    // A connection whose state the other end has lost stays silent while new ones work.
    // Connections are therefore closed first, and only a failed call on new ones counts as evidence
    // against the peer.
    if (this.entries.get(address) === entry) this.closeEntry(address);
    if (!hadResponded) this.options.membership.recordFailure(address);
  }

  private getEntry(address: string): IPeerEntry {
    const nowMs = this.options.clock.getMonotonicTime();
    const known = this.entries.get(address);
    const entry = known ?? this.openEntry(address);
    entry.lastUsedMs = nowMs;
    // Insertion order of the map is the order of last use.
    this.entries.delete(address);
    this.entries.set(address, entry);
    if (known === undefined) this.closeSurplus();
    this.startIdleTimer();
    return entry;
  }

  private openEntry(address: string): IPeerEntry {
    const { authenticator, tls } = this.options;
    const agentOptions = { keepAlive: true, maxSockets: MAX_CONNECTIONS };
    const agent =
      tls === undefined ? new HttpAgent(agentOptions) : new HttpsAgent({ ...tls, ...agentOptions });
    const transport = createConnectTransport({
      baseUrl: `${tls === undefined ? 'http' : 'https'}://${address}`,
      httpVersion: '1.1',
      nodeOptions: { agent },
      interceptors: [makeProofInterceptor(authenticator, address)],
    });
    const client = createClient(ControlService, transport);
    return { client, agent, lastUsedMs: 0, callsInFlight: 0, hasResponded: false };
  }

  private closeSurplus(): void {
    const maxPeers = this.options.maxPeers ?? DEFAULT_MAX_PEERS;
    for (const [address, entry] of this.entries) {
      if (this.entries.size <= maxPeers) return;
      if (entry.callsInFlight === 0) this.closeEntry(address);
    }
  }

  private startIdleTimer(): void {
    if (this.idleTimer !== undefined || this.isDisposed) return;
    const idleMs = this.options.idleMs ?? DEFAULT_IDLE_MS;
    this.idleTimer = this.options.clock.startTimer(idleMs, () => {
      this.idleTimer = undefined;
      this.closeIdle(idleMs);
      if (this.entries.size > 0) this.startIdleTimer();
    });
  }

  private closeIdle(idleMs: number): void {
    const nowMs = this.options.clock.getMonotonicTime();
    for (const [address, entry] of this.entries) {
      const isIdle = entry.callsInFlight === 0 && nowMs - entry.lastUsedMs >= idleMs;
      if (isIdle) this.closeEntry(address);
    }
  }

  /** Calls in progress on the entry's connections still finish; the last one closes them. */
  private closeEntry(address: string): void {
    const entry = this.entries.get(address);
    this.entries.delete(address);
    if (entry?.callsInFlight === 0) entry.agent.destroy();
  }
}

function makeProofInterceptor(authenticator: PeerAuthenticator, address: string): Interceptor {
  return (next) => (request) => {
    const proof = authenticator.makeProof(address, new URL(request.url).pathname);
    if (proof !== undefined) request.header.set(PROOF_HEADER, proof);
    return next(request);
  };
}
