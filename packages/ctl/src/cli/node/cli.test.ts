import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { PassThrough } from 'node:stream';
import { test } from 'node:test';
import { toJsonString } from '@bufbuild/protobuf';
import { createTestIntent } from '@parsleymux/config/testing';
import type { IApiFixture } from '@parsleymux/operators/testing';
import { startApiFixture } from '@parsleymux/operators/testing';
import { IntentSchema } from '@parsleymux/schema';
import { ExitStatus } from '../common/exitStatus.js';
import { execute } from './cli.js';

interface IRunResult {
  readonly status: number;
  readonly out: string;
  readonly error: string;
}

async function run(
  words: readonly string[],
  env: Record<string, string> = {},
): Promise<IRunResult> {
  const stdout = new PassThrough();
  const stderr = new PassThrough();
  const stdin = new PassThrough();
  const status = await execute(words, { stdin, stdout, stderr, env, colorDepth: 1 });
  const read = (stream: PassThrough) => ((stream.read() as Buffer | null) ?? '').toString();
  return { status, out: read(stdout), error: read(stderr) };
}

async function withApi(
  use: (api: IApiFixture, env: Record<string, string>, folder: string) => Promise<void>,
): Promise<void> {
  const api = await startApiFixture();
  const folder = mkdtempSync(join(tmpdir(), 'parsleyctl-'));
  try {
    const { key } = await api.keys.create({ member: 'dobrescu', note: '', operator: 'test' });
    await use(api, { PARSLEYCTL_ADMIN: api.url, PARSLEYCTL_KEY: key }, folder);
  } finally {
    rmSync(folder, { recursive: true });
    await api.dispose();
  }
}

test('an operator submits an intent, confirms the plan, drains a target and reads the audit', async () => {
  await withApi(async (_, env, folder) => {
    const file = join(folder, 'booking.jsonc');
    writeFileSync(file, `// ours\n${toJsonString(IntentSchema, createTestIntent('dobrescu'))}`);
    const submitted = await run(['intent', 'submit', file], env);
    assert.equal(submitted.status, ExitStatus.Ok, submitted.error);
    assert.match(submitted.out, /\+ target booking 127\.0\.0\.1:9001/);
    assert.match(submitted.out, /booking {2}4 {6}0 {7}0 {7}8/);
    const id = /parsleyctl plan confirm (\S+)/.exec(submitted.out)?.[1] ?? '';
    assert.equal((await run(['plan', 'confirm', id], env)).status, ExitStatus.Ok);
    assert.match((await run(['intent', 'show'], env)).out, /revision 1 of the member/);
    const drained = await run(['target', 'drain', '127.0.0.1:9001', '--json'], env);
    const plan = JSON.parse(drained.out) as { readonly id: string };
    assert.equal((await run(['plan', 'discard', plan.id], env)).status, ExitStatus.Ok);
    assert.match((await run(['audit'], env)).out, /plan\.confirm/);
  });
});

test('exit statuses distinguish the kinds of errors', async () => {
  await withApi(async (api, env, folder) => {
    const file = join(folder, 'none.jsonc');
    assert.equal((await run(['intent', 'submit', file], env)).status, ExitStatus.Usage);
    assert.equal((await run(['plan', 'show', 'none'], env)).status, ExitStatus.Refused);
    const wrongKey = { ...env, PARSLEYCTL_KEY: 'wrong' };
    assert.equal((await run(['status'], wrongKey)).status, ExitStatus.Denied);
    const unreachable = { ...env, PARSLEYCTL_ADMIN: 'http://127.0.0.1:1' };
    assert.equal((await run(['status'], unreachable)).status, ExitStatus.Unavailable);
    const withFallback = { ...env, PARSLEYCTL_ADMIN: `http://127.0.0.1:1, ${api.url}` };
    assert.equal(
      (await run(['status'], withFallback)).status,
      ExitStatus.Ok,
      'the next node is tried',
    );
    api.platform.table.faults.isUnavailable = true;
    const out = await run(['audit', '--json'], env);
    assert.equal(out.status, ExitStatus.Unavailable);
    assert.equal((JSON.parse(out.out) as { readonly name: string }).name, 'StoreUnavailable');
  });
});

test('a misspelled command prints a suggestion, and an incomplete one its usage', async () => {
  const misspelled = await run(['plan', 'confrim', 'p1']);
  assert.equal(misspelled.status, ExitStatus.Usage);
  assert.match(misspelled.error, /did you mean "parsleyctl plan confirm"\?/);
  const incomplete = await run(['claim', 'settle', 'order-1']);
  assert.equal(incomplete.status, ExitStatus.Usage);
  assert.match(incomplete.error, /--outcome/);
  assert.match((await run(['--help'])).out, /intent submit/);
  assert.match((await run(['plan', 'confirm', '--help'])).out, /Examples/);
});

test('keys are created, listed without secrets, rotated and revoked', async () => {
  await withApi(async (_, env) => {
    const created = await run(['key', 'create', '--note', 'night'], env);
    const key = /^pmx_.*$/m.exec(created.out)?.[0] ?? '';
    const id = key.split('_')[2] ?? '';
    const listed = await run(['key', 'list'], env);
    assert.match(listed.out, new RegExp(`${id} .*night`));
    assert.ok(!listed.out.includes(key.split('_').slice(3).join('_')));
    const rotated = await run(['key', 'rotate', id, '--overlap', '60'], env);
    assert.equal(rotated.status, ExitStatus.Ok, rotated.error);
    assert.equal((await run(['key', 'revoke', id], env)).status, ExitStatus.Ok);
    const revoked = await run(['status'], { ...env, PARSLEYCTL_KEY: key });
    assert.equal(revoked.status, ExitStatus.Denied);
  });
});

test('a request is explained from log files, and an unknown request or file is an error', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'parsleyctl-'));
  const file = join(folder, 'node.log');
  const line = { time: '2026-01-01T00:00:00.000Z', node: 'n1', message: 'request', request: 'q1' };
  writeFileSync(file, `${JSON.stringify({ ...line, status: 503 })}\n`);
  const found = await run(['explain', 'request', 'q1', file]);
  assert.equal(found.status, ExitStatus.Ok, found.error);
  assert.match(found.out, /n1 {2}request {2}request=q1 status=503/);
  const missing = await run(['explain', 'request', 'q2', file]);
  assert.equal(missing.status, ExitStatus.Refused);
  assert.equal(
    (await run(['explain', 'target', 't', join(folder, 'none')])).status,
    ExitStatus.Usage,
  );
  rmSync(folder, { recursive: true });
});
