import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import { createServer } from 'node:net';
import { test } from 'node:test';
import { HttpTargetTransport, TransportError } from '@parsleymux/routing';
import { IntentSchema, SettingsError, checkMessageText, parseSettings } from '@parsleymux/schema';
import fc from 'fast-check';

const SEED = 4711;
const TEXT_RUNS = 2000;
const RESPONSE_RUNS = 300;

const SETTINGS = `{
  "failureDomain": "north", // domain
  "peerAddress": "127.0.0.1:1", "callerAddress": "127.0.0.1:1", "adminAddress": "[::1]:1",
  "statusAddress": "127.0.0.1:1", "platformUrl": "http://127.0.0.1:1",
  "timing": { "configPollMs": 100 }, "security": { "callerTls": { "certificateFile": "a", "keyFile": "b" } },
}`;
const INTENT = `{ "member": "m", "services": [{ "name": "s", "detection": "fast", "targets": [
  { "address": "127.0.0.1:1", "failureDomain": "n", "slots": 1, "leaveAtMs": "5" }] }],
  "routes": [{ "name": "r", "host": "h.example", "service": "s", "methods": ["GET"] }] }`;
const BODY = 'a whole answer';
const RESPONSES = [
  `HTTP/1.1 200 OK\r\nServer: t\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}`,
  `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${BODY.length.toString(16)}\r\n${BODY}\r\n0\r\n\r\n`,
];

interface IMutation {
  readonly at: number;
  readonly removed: number;
  readonly inserted: string;
}

function makeMutations(length: number, inserted: fc.Arbitrary<string>): fc.Arbitrary<IMutation[]> {
  const mutation = fc.record({ at: fc.nat(length), removed: fc.nat(8), inserted });
  return fc.array(mutation, { minLength: 1, maxLength: 5 });
}

function applyMutations(text: string, mutations: readonly IMutation[]): string {
  return mutations.reduce((mutated, { at, removed, inserted }) => {
    return mutated.slice(0, at) + inserted + mutated.slice(at + removed);
  }, text);
}

const JSON_TOKENS = fc.constantFrom(
  '{',
  '}',
  '[',
  ']',
  '"',
  ',',
  ':',
  '//',
  '/*',
  '\n',
  'null',
  '1e999',
  '-1',
  'true',
  '"x"',
  '"__proto__"',
  '\\u0000',
  '\ud800',
);

for (const [name, text, check] of [
  ['settings', SETTINGS, (mutated: string) => parseSettings(mutated, 'f')],
  ['intents', INTENT, (mutated: string) => checkMessageText(IntentSchema, mutated, 'f')],
] as const) {
  test(`mutated ${name} are accepted or rejected with valid positions, and never fail otherwise`, () => {
    assert.doesNotThrow(() => check(text));
    fc.assert(
      fc.property(makeMutations(text.length, JSON_TOKENS), (mutations) => {
        const mutated = applyMutations(text, mutations);
        try {
          check(mutated);
        } catch (error) {
          assert.ok(error instanceof SettingsError, String(error));
          const lines = mutated.split('\n');
          for (const { line, column, message } of error.problems) {
            assert.ok(message !== '' && column >= 1);
            assert.ok(column <= (lines[line - 1] ?? '').length + 1);
          }
        }
      }),
      { seed: SEED, numRuns: TEXT_RUNS },
    );
  });
}

test('a mutated response of a target is either complete or a transport error', async (t) => {
  let response = '';
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', () => socket.end(response, 'latin1'));
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const transport = new HttpTargetTransport();
  t.after(() => {
    transport.dispose();
    server.close();
  });
  const target = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const request = {
    target,
    member: 'm',
    method: 'GET',
    path: '/',
    headers: [],
    body: new Uint8Array(),
    timeoutMs: 10_000,
  };
  const { signal } = new AbortController();
  const mutated = fc
    .constantFrom(...RESPONSES)
    .chain((complete) =>
      makeMutations(complete.length, fc.string({ unit: 'binary-ascii', maxLength: 6 })).map(
        (mutations) => applyMutations(complete, mutations),
      ),
    );
  await fc.assert(
    fc.asyncProperty(mutated, async (text) => {
      response = text;
      const outcome = await transport
        .send(request, { signal, maxResponseBytes: 1000 })
        .catch((error: unknown) => error);
      if (outcome instanceof TransportError) return;
      const { headers, body } = outcome as Awaited<ReturnType<typeof transport.send>>;
      assert.ok(body instanceof Uint8Array);
      const length = headers.find(([name]) => name === 'content-length')?.[1];
      if (length !== undefined) assert.equal(body.length, Number(length));
    }),
    { seed: SEED, numRuns: RESPONSE_RUNS },
  );
});
