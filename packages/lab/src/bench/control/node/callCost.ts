/** Bytes, latency and processor time of one control call, with both ends in one process. */
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { create } from '@bufbuild/protobuf';
import { DisposableStore, SystemClock, toDisposable } from '@parsleymux/base';
import type { INode, PeerCall } from '@parsleymux/fleet';
import {
  makeControlHandler,
  MembershipService,
  PeerAuthenticator,
  PeerClients,
} from '@parsleymux/fleet';
import { MemberConfigSchema } from '@parsleymux/schema';
import type { Cell, IBenchTable } from '../../common/bench.js';
import { formatNumber } from '../../common/bench.js';
import { makeMemberIntent } from '../common/fleetShape.js';

const CALLS = 400;
const KEY = Buffer.alloc(32, 1);

/** Ignores contact reports from calls. */
class NoMembership extends MembershipService {
  override readonly onDidChange = () => toDisposable(() => undefined);

  override getLiveNodes(): readonly INode[] {
    return [];
  }

  override recordContact(): void {
    return;
  }

  override recordFailure(): void {
    return;
  }

  override recordShutdown(): void {
    return;
  }
}

class Peer {
  readonly store = new DisposableStore();
  private readonly sockets = new Set<Socket>();
  private closedBytes = 0;

  constructor(readonly server: Server) {
    server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.once('close', () => {
        this.sockets.delete(socket);
        this.closedBytes += socket.bytesRead + socket.bytesWritten;
      });
    });
  }

  getBytes(): number {
    let bytes = this.closedBytes;
    for (const socket of this.sockets) bytes += socket.bytesRead + socket.bytesWritten;
    return bytes;
  }

  getAddress(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }
}

/**
 * Measures announcements and fetches, on reused and on new connections.
 *
 * @example
 * tables.push(await measureCalls());
 */
export async function measureCalls(): Promise<IBenchTable> {
  const peer = await startPeer();
  const announce: PeerCall<unknown> = (client, options) =>
    client.announceRevision({ node: '10.0.0.1:7002', fleetRevision: 123_456n }, options);
  const fetch: PeerCall<unknown> = (client, options) =>
    client.fetchConfig({ afterFleetRevision: 123_455n }, options);
  const rows: (readonly Cell[])[] = [];
  for (const [name, call] of [
    ['announce', announce],
    ['fetch, one member of 13 services', fetch],
  ] as const) {
    rows.push(await measureCall(`${name}, connection kept`, peer, call, false));
    rows.push(await measureCall(`${name}, new connection`, peer, call, true));
  }
  await peer.store.dispose();
  return {
    title: 'One control call, both ends in one process',
    columns: ['call', 'bytes both ways', 'ms', 'CPU ms of both ends'],
    rows,
  };
}

async function startPeer(): Promise<Peer> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const peer = new Peer(server);
  const clock = new SystemClock();
  const selfAddress = peer.getAddress();
  const authenticator = new PeerAuthenticator({ keys: [KEY], clock, selfAddress });
  const shape = { members: 75, services: 980, targets: 26_000, routes: 12_000 };
  const intent = makeMemberIntent(shape, 0, '');
  const config = create(MemberConfigSchema, { member: intent.member, intent });
  const implementation = {
    announceRevision: () => ({ fleetRevision: 123_456n }),
    fetchConfig: () => ({ fleetRevision: 123_456n, members: [config] }),
  };
  server.on('request', makeControlHandler({ implementation, authenticator }));
  peer.store.add(
    toDisposable(() => {
      server.closeAllConnections();
      server.close();
    }),
  );
  return peer;
}

async function measureCall(
  name: string,
  peer: Peer,
  call: PeerCall<unknown>,
  isNew: boolean,
): Promise<readonly Cell[]> {
  const clock = new SystemClock();
  const authenticator = new PeerAuthenticator({ keys: [KEY], clock, selfAddress: '127.0.0.1:1' });
  const membership = new NoMembership();
  let clients = new PeerClients({ authenticator, membership, clock });
  const runCalls = async (count: number) => {
    for (let index = 0; index < count; index += 1) {
      await clients.execute(peer.getAddress(), call);
      if (!isNew) continue;
      clients.dispose();
      clients = new PeerClients({ authenticator, membership, clock });
    }
  };
  await runCalls(CALLS);
  const bytes = peer.getBytes();
  const startMs = performance.now();
  const startCpu = process.cpuUsage();
  await runCalls(CALLS);
  const cpu = process.cpuUsage(startCpu);
  const ms = performance.now() - startMs;
  clients.dispose();
  return [
    name,
    Math.round((peer.getBytes() - bytes) / CALLS),
    formatNumber(ms / CALLS),
    formatNumber((cpu.user + cpu.system) / 1000 / CALLS),
  ];
}
