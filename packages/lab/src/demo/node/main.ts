/**
 * `npm run demo`: starts a platform, the targets of two members and five nodes as separate processes
 * on loopback, submits and confirms intents with `parsleyctl`, then sends traffic until Ctrl-C.
 * `npm run demo -- --once`: sends traffic for ten seconds with faults, checks the results and exits
 * with 0 or 1.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { parseArgs } from 'node:util';
import { DisposableStore } from '@parsleymux/base';
import { LoadGenerator } from '../../load/node/loadGenerator.js';
import { makeWorkloads } from '../../processes/common/worldLayout.js';
import { disposeOnInterrupt } from '../../processes/node/interrupt.js';
import { LabWorld } from '../../processes/node/labWorld.js';
import { ReadyBalancer } from '../../processes/node/readyBalancer.js';
import { LiveSummary } from './liveSummary.js';
import { runScriptedDemo } from './scriptedDemo.js';

const SEED = 1;
/** Time for the confirmed configuration to reach every node. */
const SETTLE_MS = 1500;

const { values } = parseArgs({ options: { once: { type: 'boolean', default: false } } });

async function runDemo(store: DisposableStore): Promise<number> {
  const world = store.add(new LabWorld({ seed: SEED }));
  await world.start();
  const count = `${world.getNodes().length} nodes, ${world.getTargets().length} targets`;
  console.log(`started: platform, ${count}, ${world.fleet.getRunning().length} processes`);
  const plans = await world.applyIntents();
  console.log(`confirmed plans: ${plans.join(', ')}`);
  await sleep(SETTLE_MS);
  const balancer = store.add(new ReadyBalancer(() => world.getNodes()));
  await balancer.poll();
  const load = store.add(new LoadGenerator({ workloads: makeWorkloads(), balancer, seed: SEED }));
  store.add(new LiveSummary({ load, world, balancer }));
  load.start();
  if (values.once) return await runScriptedDemo(world, load);
  console.log(`serving callers at ${balancer.pick() ?? 'no node'}; press Ctrl-C to stop`);
  return await new Promise<number>(() => undefined);
}

const store = new DisposableStore();
const isInterrupted = disposeOnInterrupt(store);
let exitCode = 1;
try {
  exitCode = (await runDemo(store)) === 0 ? 0 : 1;
} catch (error) {
  if (isInterrupted()) await new Promise(() => undefined);
  console.error(error);
} finally {
  await store.dispose();
}
process.exit(exitCode);
