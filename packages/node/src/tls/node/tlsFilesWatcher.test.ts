import assert from 'node:assert/strict';
import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import type { AddressInfo } from 'node:net';
import { createServer } from 'node:https';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { TestContext } from 'node:test';
import { test } from 'node:test';
import { connect } from 'node:tls';
import { ManualClock, MuxError, ResultCode, createSilentLogger } from '@parsleymux/base';
import { generate } from 'selfsigned';
import type { ITlsMaterial } from './tlsFilesWatcher.js';
import { TlsFilesWatcher } from './tlsFilesWatcher.js';

interface IKeyPair {
  readonly cert: string;
  readonly private: string;
}

function makeKeyPair(name: string): Promise<IKeyPair> {
  return generate([{ name: 'commonName', value: name }], { keySize: 2048 });
}

interface IFixture {
  readonly clock: ManualClock;
  readonly files: {
    readonly certificateFile: string;
    readonly keyFile: string;
    readonly clientAuthorityFile: string;
  };
  readonly watcher: TlsFilesWatcher;
  readonly changes: ITlsMaterial[];
}

async function makeFolder(t: TestContext): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), 'tls-files-'));
  t.after(() => rm(folder, { recursive: true }));
  return folder;
}

async function openFixture(
  t: TestContext,
  pair: IKeyPair,
  clientAuthority?: string,
): Promise<IFixture> {
  const folder = await makeFolder(t);
  const files = {
    certificateFile: join(folder, 'cert.pem'),
    keyFile: join(folder, 'key.pem'),
    clientAuthorityFile: clientAuthority === undefined ? '' : join(folder, 'ca.pem'),
  };
  await writeFile(files.certificateFile, pair.cert);
  await writeFile(files.keyFile, pair.private);
  if (clientAuthority !== undefined) await writeFile(files.clientAuthorityFile, clientAuthority);
  const clock = new ManualClock();
  const log = createSilentLogger();
  const watcher = await TlsFilesWatcher.open({ files, port: 'caller', log, clock, pollMs: 100 });
  const changes: ITlsMaterial[] = [];
  watcher.onDidChange((material) => changes.push(material));
  t.after(() => {
    watcher.dispose();
  });
  return { clock, files, watcher, changes };
}

async function listen(t: TestContext, watcher: TlsFilesWatcher): Promise<number> {
  const server = createServer(watcher.getMaterial(), (_request, response) => response.end('ok'));
  watcher.onDidChange((material) => {
    server.setSecureContext(material);
  });
  server.on('tlsClientError', () => undefined);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.after(() => {
    server.closeAllConnections();
    server.close();
  });
  return (server.address() as AddressInfo).port;
}

/** Returns the name in the certificate of a server that responds, otherwise 'refused'. */
async function readPeerName(port: number, client?: IKeyPair): Promise<string> {
  const identity = client === undefined ? {} : { cert: client.cert, key: client.private };
  const socket = connect({ port, host: '127.0.0.1', rejectUnauthorized: false, ...identity });
  let name = '';
  let responseText = '';
  socket.on('error', () => undefined);
  socket.on('data', (chunk: Buffer) => (responseText += chunk.toString()));
  socket.on('secureConnect', () => {
    name = String(socket.getPeerCertificate().subject.CN);
    // A server rejects a client's certificate only after the client's side of the handshake.
    socket.write('GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n');
  });
  await new Promise((resolve) => socket.once('close', resolve));
  return responseText.startsWith('HTTP/1.1 200') ? name : 'refused';
}

test('a renewed certificate is served to new connections without a restart', async (t) => {
  const fixture = await openFixture(t, await makeKeyPair('first'));
  const port = await listen(t, fixture.watcher);
  assert.equal(await readPeerName(port), 'first');
  const renewed = await makeKeyPair('second');
  await writeFile(fixture.files.certificateFile, renewed.cert);
  await writeFile(fixture.files.keyFile, renewed.private);
  await fixture.watcher.update();
  assert.equal(await readPeerName(port), 'second');
  await fixture.watcher.update();
  assert.equal(fixture.changes.length, 1);
});

test('a certificate whose key has not been replaced yet leaves the previous pair in use', async (t) => {
  // Guards against handshakes that fail during a renewal or permanently. Two files can't be replaced
  // atomically, so the node may read both after the certificate was replaced but before the key was.
  const fixture = await openFixture(t, await makeKeyPair('first'));
  const port = await listen(t, fixture.watcher);
  const renewed = await makeKeyPair('second');
  await writeFile(fixture.files.certificateFile, renewed.cert);
  await fixture.watcher.update();
  assert.equal(await readPeerName(port), 'first');
  await writeFile(fixture.files.keyFile, renewed.private.slice(0, 300));
  await fixture.watcher.update();
  assert.equal(await readPeerName(port), 'first');
  await writeFile(fixture.files.keyFile, renewed.private);
  await fixture.watcher.update();
  assert.equal(await readPeerName(port), 'second');
});

test('the files are read again on a timer', async (t) => {
  const fixture = await openFixture(t, await makeKeyPair('first'));
  const renewed = await makeKeyPair('second');
  await writeFile(fixture.files.certificateFile, renewed.cert);
  await writeFile(fixture.files.keyFile, renewed.private);
  const changed = new Promise<ITlsMaterial>((resolve) => fixture.watcher.onDidChange(resolve));
  await fixture.clock.advanceBy(100);
  assert.equal((await changed).cert.toString(), renewed.cert);
});

test('with a client authority, clients without its certificate are refused', async (t) => {
  const client = await makeKeyPair('client');
  const fixture = await openFixture(t, await makeKeyPair('server'), client.cert);
  const port = await listen(t, fixture.watcher);
  assert.equal(await readPeerName(port), 'refused');
  assert.equal(await readPeerName(port, await makeKeyPair('unknown')), 'refused');
  assert.equal(await readPeerName(port, client), 'server');
});

test('invalid files at start cause an error with a result code that names the port', async (t) => {
  const folder = await makeFolder(t);
  const files = {
    certificateFile: join(folder, 'no'),
    keyFile: join(folder, 'no'),
    clientAuthorityFile: '',
  };
  await assert.rejects(
    TlsFilesWatcher.open({ files, port: 'caller', log: createSilentLogger() }),
    (error: unknown) => {
      assert.ok(error instanceof MuxError);
      assert.equal(error.code, ResultCode.SettingsInvalid);
      return error.message.includes('caller port');
    },
  );
});
