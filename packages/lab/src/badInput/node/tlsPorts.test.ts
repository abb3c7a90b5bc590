import assert from 'node:assert/strict';
import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { request } from 'node:https';
import type { IncomingMessage } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { ResultCode } from '@parsleymux/base';
import { generate } from 'selfsigned';
import { tryFetchText } from '../../processes/node/jsonRequest.js';
import type { INodeAddresses } from '../../processes/node/nodeProcess.js';
import { startPlatform } from '../../processes/node/platformProcess.js';
import { ProcessFleet } from '../../processes/node/processFleet.js';
import { Program } from '../../processes/node/programs.js';
import { sendRawRequest } from './rawHttpClient.js';

const READY_POLL_MS = 20;
const fleet = new ProcessFleet();
let folder = '';
let node: INodeAddresses = { caller: '', peer: '', admin: '', status: '' };
let client = { cert: '', key: '' };

before(async () => {
  folder = await mkdtemp(join(tmpdir(), 'tls-ports-'));
  const server = await generate([{ name: 'commonName', value: 'node' }], { keySize: 2048 });
  const pair = await generate([{ name: 'commonName', value: 'operator' }], { keySize: 2048 });
  client = { cert: pair.cert, key: pair.private };
  const platform = await startPlatform(fleet, {});
  const callerTls = {
    certificateFile: await write('cert.pem', server.cert),
    keyFile: await write('key.pem', server.private),
  };
  const adminTls = { ...callerTls, clientAuthorityFile: await write('clients.pem', pair.cert) };
  const address = '127.0.0.1:0';
  const settings = {
    failureDomain: 'north',
    peerAddress: address,
    callerAddress: address,
    adminAddress: address,
    statusAddress: address,
    platformUrl: `http://${platform.address}`,
    timing: { shutdownNoticeMs: 0 },
    security: { callerTls, adminTls },
  };
  const file = await write('node.jsonc', JSON.stringify(settings));
  const child = fleet.start({ name: 'node', script: Program.Node, args: ['serve', file] });
  node = (await child.waitForReady()) as INodeAddresses;
  await waitUntilConfigured();
});

after(async () => {
  await fleet.dispose();
  await rm(folder, { recursive: true });
});

/**
 * Waits for the node's configuration: the ports open before it arrives, and until then no host is
 * reported as unknown.
 */
async function waitUntilConfigured(): Promise<void> {
  while ((await tryFetchText(node.status, '/ready')) === undefined) {
    await sleep(READY_POLL_MS);
  }
}

async function write(name: string, text: string): Promise<string> {
  const path = join(folder, name);
  await writeFile(path, text);
  return path;
}

async function send(address: string, identity: Partial<typeof client>): Promise<IncomingMessage> {
  const outgoing = request(`https://${address}/`, {
    rejectUnauthorized: false,
    agent: false,
    ...identity,
  });
  outgoing.end();
  const [response] = (await once(outgoing, 'response')) as [IncomingMessage];
  response.resume();
  return response;
}

test('callers are served over TLS, with result codes', async () => {
  const { headers } = await send(node.caller, {});
  assert.equal(headers['parsleymux-result'], String(ResultCode.UnknownHost));
  assert.equal(headers['parsleymux-run-state'], 'not-run');
});

test('operators need a certificate issued by the configured client authority', async () => {
  await assert.rejects(send(node.admin, {}));
  const { statusCode } = await send(node.admin, client);
  assert.equal(statusCode, 404);
});

test('plain text on a TLS port closes the connection without a response', async () => {
  for (const address of [node.caller, node.admin]) {
    const { statuses, isClosedByNode } = await sendRawRequest(address, [
      'GET / HTTP/1.1\r\nHost: x\r\n\r\n',
    ]);
    assert.deepEqual(statuses, []);
    assert.ok(isClosedByNode);
  }
  const { headers } = await send(node.caller, {});
  assert.equal(headers['parsleymux-result'], String(ResultCode.UnknownHost));
});
