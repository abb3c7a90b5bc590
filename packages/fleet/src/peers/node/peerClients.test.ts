import assert from 'node:assert/strict';
import type { Server } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { TestContext } from 'node:test';
import { test } from 'node:test';
import { Code, ConnectError } from '@connectrpc/connect';
import { SystemClock } from '@parsleymux/base';
import type { INode } from '../../membership/common/membershipService.js';
import { MembershipService } from '../../membership/common/membershipService.js';
import type { ControlImplementation } from './controlHandler.js';
import { makeControlHandler } from './controlHandler.js';
import { PeerAuthenticator } from './peerAuthenticator.js';
import { PeerClients } from './peerClients.js';

const KEY = Buffer.alloc(32, 7);
const clock = new SystemClock();

class RecordingMembership extends MembershipService {
  readonly seen: string[] = [];
  override readonly onDidChange = () => ({ dispose: () => undefined });

  override getLiveNodes(): readonly INode[] {
    return [];
  }

  override recordContact(): void {
    this.seen.push('contact');
  }

  override recordFailure(): void {
    this.seen.push('failure');
  }

  override recordShutdown(): void {
    this.seen.push('shutdown');
  }
}

async function startPeer(context: TestContext, implementation: ControlImplementation) {
  const sockets = new Set<Socket>();
  const server = createServer();
  const address = await listen(server);
  const authenticator = new PeerAuthenticator({ keys: [KEY], clock, selfAddress: address });
  server.on('request', makeControlHandler({ implementation, authenticator }));
  server.on('connection', (socket) => sockets.add(socket));
  context.after(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  return { address, server, sockets };
}

function listen(server: Server): Promise<string> {
  return new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => {
      resolve(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    });
  });
}

function makeClients(context: TestContext, key = KEY, maxPeers = 64) {
  const authenticator = new PeerAuthenticator({ keys: [key], clock, selfAddress: '127.0.0.1:1' });
  const membership = new RecordingMembership();
  const peers = new PeerClients({ authenticator, membership, clock, maxPeers, timeoutMs: 5000 });
  context.after(() => {
    peers.dispose();
  });
  return { peers, seen: membership.seen };
}

function announce(peers: PeerClients, address: string, timeoutMs = 5000) {
  return peers.execute(
    address,
    (client, options) => client.announceRevision({ node: 'x', fleetRevision: 5n }, options),
    { timeoutMs },
  );
}

test('a completed call counts as contact, and the peer receives the message', async (context) => {
  const implementation: ControlImplementation = {
    announceRevision: (request) => ({ fleetRevision: request.fleetRevision + 1n }),
  };
  const { address } = await startPeer(context, implementation);
  const { peers, seen } = makeClients(context);
  const response = await announce(peers, address);
  assert.equal(response.fleetRevision, 6n);
  assert.deepEqual(seen, ['contact']);
});

test('a caller without the fleet key is refused, which still counts as contact', async (context) => {
  const { address } = await startPeer(context, {
    announceRevision: () => assert.fail('must not be reached'),
  });
  const { peers, seen } = makeClients(context, Buffer.alloc(32, 8));
  await assert.rejects(announce(peers, address), (error) => {
    return ConnectError.from(error).code === Code.Unauthenticated;
  });
  assert.deepEqual(seen, ['contact']);
});

test('a silent connection is closed before the peer counts as failed', async (context) => {
  // Guards against a healthy peer that is suspected: a call completes, an intermediary drops the
  // connection, the next call times out, and one on a new connection works. The timeout on the old
  // connection must not count against the peer.
  let isSilent = false;
  const { address } = await startPeer(context, {
    announceRevision: () => (isSilent ? new Promise(() => undefined) : { fleetRevision: 1n }),
  });
  const { peers, seen } = makeClients(context);
  await announce(peers, address);
  isSilent = true;
  await assert.rejects(announce(peers, address, 50));
  assert.deepEqual(seen, ['contact']);
  isSilent = false;
  await announce(peers, address);
  isSilent = true;
  await assert.rejects(announce(peers, address, 50));
  await assert.rejects(announce(peers, address, 50));
  assert.deepEqual(seen, ['contact', 'contact', 'failure']);
});

test('a peer that refuses connections counts as failed at the first call', async (context) => {
  const server = createServer();
  const address = await listen(server);
  await new Promise((resolve) => server.close(resolve));
  const { peers, seen } = makeClients(context);
  await assert.rejects(announce(peers, address));
  assert.deepEqual(seen, ['failure']);
});

test('a cancelled call is no evidence about the peer', async (context) => {
  const { address } = await startPeer(context, {
    announceRevision: () => new Promise(() => undefined),
  });
  const { peers, seen } = makeClients(context);
  const abort = new AbortController();
  const call = peers.execute(address, (client, options) => client.announceRevision({}, options), {
    signal: abort.signal,
  });
  abort.abort();
  await assert.rejects(call);
  assert.deepEqual(seen, []);
});

test('clients are kept for a bounded number of peers', async (context) => {
  const implementation: ControlImplementation = { announceRevision: () => ({}) };
  const { peers } = makeClients(context, KEY, 2);
  for (let index = 0; index < 4; index += 1) {
    const { address } = await startPeer(context, implementation);
    await announce(peers, address);
  }
  assert.equal(peers.getPeerCount(), 2);
});
