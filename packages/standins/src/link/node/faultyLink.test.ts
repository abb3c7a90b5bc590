import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { AddressInfo, Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import { test } from 'node:test';
import { FaultyLink } from './faultyLink.js';

interface ILinkFixture {
  readonly link: FaultyLink;
  readonly received: string[];
  readonly accepted: Socket[];
  readonly open: () => Promise<Socket>;
}

/** Runs `use` with a link to a server that echoes in upper case. */
async function withLink(use: (fixture: ILinkFixture) => Promise<void>): Promise<void> {
  const received: string[] = [];
  const accepted: Socket[] = [];
  const server = createServer((socket) => {
    accepted.push(socket);
    socket.on('error', () => socket.destroy());
    socket.on('data', (chunk) => {
      received.push(chunk.toString());
      socket.write(chunk.toString().toUpperCase());
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const link = new FaultyLink({ to: `127.0.0.1:${(server.address() as AddressInfo).port}` });
  await link.start();
  const opened: Socket[] = [];
  const open = async () => {
    const socket = connect(Number(link.getAddress().split(':')[1]), '127.0.0.1');
    socket.on('error', () => socket.destroy());
    opened.push(socket);
    await once(socket, 'connect');
    return socket;
  };
  try {
    await use({ link, received, accepted, open });
  } finally {
    for (const socket of [...opened, ...accepted]) socket.destroy();
    link.dispose();
    server.close();
  }
}

async function exchange(socket: Socket, text: string): Promise<string> {
  const response = once(socket, 'data') as Promise<[Buffer]>;
  socket.write(text);
  return (await response)[0].toString();
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setImmediate(resolve));
}

test('each direction can be cut separately while the connection stays open', async () => {
  await withLink(async ({ link, received, open }) => {
    const socket = await open();
    assert.equal(await exchange(socket, 'a'), 'A');
    await link.setFaults({ cutBackward: true });
    socket.write('b');
    await waitUntil(() => received.length === 2 && link.getBytesDiscarded() === 1);
    await link.setFaults({ cutForward: true, cutBackward: false });
    socket.write('c');
    await waitUntil(() => link.getBytesDiscarded() === 2);
    await link.setFaults({ cutForward: false });
    assert.equal(await exchange(socket, 'd'), 'D');
    assert.deepEqual(received, ['a', 'b', 'd']);
    assert.equal(socket.destroyed, false);
  });
});

test('silenced connections stay open and new ones work; a reset closes all of them', async () => {
  await withLink(async ({ link, received, accepted, open }) => {
    const old = await open();
    assert.equal(await exchange(old, 'a'), 'A');
    link.markConnectionsSilent();
    old.write('b');
    await waitUntil(() => link.getBytesDiscarded() === 1);
    const newer = await open();
    assert.equal(await exchange(newer, 'c'), 'C');
    assert.deepEqual(received, ['a', 'c']);
    link.resetConnections();
    await waitUntil(() => old.destroyed && newer.destroyed);
    await waitUntil(() => accepted.every((socket) => socket.destroyed));
  });
});

test('a refusing link refuses new connections, keeps open ones, and reopens on its port', async () => {
  await withLink(async ({ link, open }) => {
    const socket = await open();
    assert.equal(await exchange(socket, 'a'), 'A');
    const address = link.getAddress();
    await link.setFaults({ refuse: true });
    await assert.rejects(open());
    assert.equal(await exchange(socket, 'b'), 'B');
    await link.setFaults({ refuse: false });
    assert.equal(link.getAddress(), address);
    assert.equal(await exchange(await open(), 'c'), 'C');
  });
});

test('a close on one side is forwarded to the other', async () => {
  await withLink(async ({ link, accepted, open }) => {
    const socket = await open();
    assert.equal(await exchange(socket, 'a'), 'A');
    socket.end();
    await waitUntil(() => accepted.length === 1 && accepted.every((other) => other.destroyed));
    await waitUntil(() => link.getConnectionCount() === 0);
  });
});

test('a reset that arrives together with data is forwarded as a reset', async () => {
  // Guards against a truncated response without a length that looks complete: the target writes half
  // of it and resets the connection immediately, which libuv reports as an orderly end.
  await withLink(async ({ accepted, link }) => {
    for (let round = 0; round < 30; round += 1) {
      const port = Number(link.getAddress().split(':')[1]);
      const socket = connect({ port, host: '127.0.0.1', allowHalfOpen: true });
      await waitUntil(() => accepted.length > round);
      const server = accepted[round]!;
      const outcome = new Promise<string>((resolve) => {
        socket.once('error', () => {
          resolve('reset');
        });
        // On the test's side, libuv also reports an orderly end; only a write detects the reset.
        socket.once('end', () => {
          socket.write('\r\n', (error) => {
            resolve(error ? 'reset' : 'ended');
          });
        });
      });
      socket.resume();
      server.write('half a response', () => server.resetAndDestroy());
      assert.equal(await outcome, 'reset', `round ${round}`);
      socket.destroy();
    }
  });
});
