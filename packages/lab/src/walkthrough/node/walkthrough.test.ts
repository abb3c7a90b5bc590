import assert from 'node:assert/strict';
import { mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { LabWorld } from '../../processes/node/labWorld.js';
import { findMissingLine, parseWalkthrough } from '../common/walkthroughText.js';
import { runWalkthrough } from './walkthroughRun.js';

const PAGE = new URL('../../../../../docs/walkthrough.md', import.meta.url);

test('the commands of docs/walkthrough.md produce the output that it shows', async () => {
  const walkthrough = parseWalkthrough(readFileSync(PAGE, 'utf8'));
  const directory = mkdtempSync(join(tmpdir(), 'parsleymux-walkthrough-'));
  const world = new LabWorld({ seed: 1, nodeCount: 2 });
  try {
    await world.start();
    const admin = world.getNodes()[0]!.addresses.admin;
    const result = await runWalkthrough(walkthrough, { directory, adminUrl: `http://${admin}` });
    assert.equal(result.exitCode, 0, `${result.errors}\n${result.outputs.at(-1) ?? ''}`);
    walkthrough.steps.forEach((step, index) => {
      const output = result.outputs[index] ?? '';
      const missing = findMissingLine(output, step.expectedLines);
      assert.equal(missing, undefined, `output of\n${step.commands}\nwas\n${output}`);
    });
    assert.ok(walkthrough.steps.length > 10);
  } finally {
    await world.dispose();
    rmSync(directory, { recursive: true });
  }
});
