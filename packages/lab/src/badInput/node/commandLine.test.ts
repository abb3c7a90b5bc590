import assert from 'node:assert/strict';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, test } from 'node:test';
import { ProcessFleet } from '../../processes/node/processFleet.js';
import { Program } from '../../processes/node/programs.js';

const VALID = {
  failureDomain: 'north',
  peerAddress: '127.0.0.1:0',
  callerAddress: '127.0.0.1:0',
  adminAddress: '127.0.0.1:0',
  statusAddress: '127.0.0.1:0',
  platformUrl: 'http://127.0.0.1:1',
};

const fleet = new ProcessFleet();
let folder = '';

before(async () => {
  folder = await mkdtemp(join(tmpdir(), 'bad-settings-'));
});

after(async () => {
  await fleet.dispose();
  await rm(folder, { recursive: true });
});

async function run(args: readonly string[]) {
  const child = fleet.start({ name: 'node', script: Program.Node, args: [...args] });
  // Rejects when the process exits before it is ready; the tests check the exit code instead.
  child.waitForReady().catch(() => undefined);
  const { code } = await child.waitForEnd();
  return { code, output: child.getOutputLines(), errors: child.getErrorLines() };
}

async function writeSettings(name: string, text: string): Promise<string> {
  const path = join(folder, name);
  await writeFile(path, text);
  return path;
}

test('valid settings are reported as valid', async () => {
  const file = await writeSettings('valid.jsonc', JSON.stringify(VALID));
  const { code, output } = await run(['check-settings', file]);
  assert.equal(code, 0);
  assert.match(output.join('\n'), /settings are valid/);
});

for (const command of ['check-settings', 'serve']) {
  test(`${command}: every problem in a file is reported with its line, and nothing starts`, async () => {
    const wrong = { ...VALID, failureDomain: 'No rth', timming: {}, timing: { configPollMs: 1 } };
    const file = await writeSettings('wrong.jsonc', JSON.stringify(wrong, undefined, 2));
    const { code, output, errors } = await run([command, file]);
    assert.equal(code, 2);
    assert.deepEqual(output, []);
    const [domain, unknown, tooSmall, result] = errors;
    assert.match(domain ?? '', /wrong\.jsonc:2:20: failureDomain: .*lower-case/);
    assert.match(unknown ?? '', /wrong\.jsonc:8:3: timming: .*did you mean "timing"\?/);
    assert.match(
      tooSmall ?? '',
      /wrong\.jsonc:10:21: timing\.configPollMs: must be at least 50 ms/,
    );
    assert.match(result ?? '', /result 6001 SettingsInvalid/);
  });
}

for (const [name, args] of [
  ['a missing file', ['check-settings', '/nowhere/node.jsonc']],
  ['a directory', ['check-settings', '/']],
] as const) {
  test(`${name}: an error with a result code`, async () => {
    const { code, errors } = await run(args);
    assert.equal(code, 2);
    assert.match(errors.at(-1) ?? '', /result 6001 SettingsInvalid/);
  });
}

test('missing TLS files keep the node from starting, and the error names the port', async () => {
  const tls = { certificateFile: join(folder, 'no.pem'), keyFile: join(folder, 'no.key') };
  const text = JSON.stringify({ ...VALID, security: { callerTls: tls } });
  const { code, errors } = await run(['serve', await writeSettings('tls.jsonc', text)]);
  assert.notEqual(code, 0);
  assert.match(errors.join('\n'), /caller/);
});

for (const args of [
  ['frobnicate'],
  ['serve'],
  ['serve', 'a', 'b'],
  ['check-settings', '--wat', 'f'],
]) {
  test(`"${args.join(' ')}": usage and an error with a result code`, async () => {
    const { code, errors } = await run(args);
    assert.equal(code, 2);
    assert.match(errors.at(-1) ?? '', /result 6002 UsageError/);
  });
}
