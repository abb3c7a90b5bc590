import assert from 'node:assert/strict';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { TestContext } from 'node:test';
import { test } from 'node:test';
import { generate } from 'selfsigned';
import { Pool } from 'undici';
import { LabWorld } from '../../processes/node/labWorld.js';
import type { NodeProcess } from '../../processes/node/nodeProcess.js';

const HOSTS = ['127.0.0.11', '127.0.0.12', '127.0.0.13'];
const SURVEY_HOST = 'survey.relinieri.example';
const DNS_ALT_NAME = 2;
const IP_ALT_NAME = 7;
const REQUESTS = 12;
const UNAUTHORIZED = 401;

interface IFleetFiles {
  readonly security: object;
  readonly certificateFile: string;
}

/** Writes a key and one self-signed certificate that names every node's IP address. */
async function writeFiles(t: TestContext): Promise<IFleetFiles> {
  const folder = await mkdtemp(join(tmpdir(), 'parsleymux-tls-'));
  t.after(() => rm(folder, { recursive: true, force: true }));
  const altNames = HOSTS.map((ip) => ({ type: IP_ALT_NAME, ip }) as const);
  const pair = await generate([{ name: 'commonName', value: 'fleet' }], {
    keySize: 2048,
    extensions: [
      { name: 'basicConstraints', cA: true },
      {
        name: 'subjectAltName',
        altNames: [...altNames, { type: DNS_ALT_NAME, value: SURVEY_HOST }],
      },
    ],
  });
  const certificateFile = join(folder, 'cert.pem');
  const keyFile = join(folder, 'key.pem');
  const fleetKeyFile = join(folder, 'fleet.key');
  await writeFile(certificateFile, pair.cert);
  await writeFile(keyFile, pair.private);
  await writeFile(fleetKeyFile, `${'k'.repeat(40)}\n`);
  const files = { certificateFile, keyFile };
  const security = {
    fleetKeyFile,
    callerTls: files,
    adminTls: files,
    peerTls: { ...files, clientAuthorityFile: certificateFile },
  };
  return { security, certificateFile };
}

async function fetchSurvey(node: NodeProcess, ca: Buffer): Promise<number> {
  const pool = new Pool(`https://${node.addresses.caller}`, { connect: { ca } });
  try {
    const response = await pool.request({
      method: 'GET',
      path: '/surveys/1',
      headers: { host: SURVEY_HOST, 'x-request-id': '1' },
    });
    await response.body.dump();
    return response.statusCode;
  } finally {
    await pool.close();
  }
}

async function readHopResponseCount(nodes: readonly NodeProcess[]): Promise<number> {
  const texts = await Promise.all(nodes.map((node) => node.fetchMetrics()));
  return texts
    .map((text) => /hop_tries_total\{outcome="answered"\} (\d+)/.exec(text ?? '')?.[1])
    .reduce((sum, count) => sum + Number(count ?? 0), 0);
}

test('a fleet serves callers, operators and peers over TLS, and rejects unauthenticated peers', async (t) => {
  const { security, certificateFile } = await writeFiles(t);
  const world = new LabWorld({
    seed: 7,
    nodeCount: HOSTS.length,
    nodeSecurity: security,
    adminAuthorityFile: certificateFile,
  });
  t.after(() => world.dispose());
  await world.start();
  await world.applyIntents();
  const ca = await readFile(certificateFile);
  const nodes = world.getNodes();
  // Guards against 502 responses of every entry but the home: the entry forwards the caller's Host
  // to the home, and the HTTP client verifies the home's certificate against that name.
  await t.test(
    'every entry reaches the home, which is a different node for most entries',
    async () => {
      const statuses: number[] = [];
      for (let count = 0; count < REQUESTS; count += 1) {
        const node = nodes[count % nodes.length];
        assert.ok(node !== undefined);
        statuses.push(await fetchSurvey(node, ca));
      }
      assert.deepEqual(new Set(statuses), new Set([200]));
      assert.ok((await readHopResponseCount(nodes)) > 0);
    },
  );
  await t.test('a peer without a certificate or without the fleet key is rejected', async () => {
    const peer = nodes[0]?.addresses.peer ?? '';
    const send = (connect: object) => {
      const pool = new Pool(`https://${peer}`, { connect });
      return pool
        .request({ method: 'POST', path: '/hop' })
        .then(async ({ statusCode, body }) => {
          await body.dump();
          return statusCode;
        })
        .finally(() => pool.destroy());
    };
    await assert.rejects(send({ ca }));
    const keyFile = certificateFile.replace('cert.pem', 'key.pem');
    const key = await readFile(keyFile);
    assert.equal(await send({ ca, cert: ca, key }), UNAUTHORIZED);
  });
});
