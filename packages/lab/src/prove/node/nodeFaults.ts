/** Kills, pauses or terminates nodes. Killed and terminated nodes are replaced, as on the platform. */
import type { NodeProcess } from '../../processes/node/nodeProcess.js';
import type { IFaultStep } from '../common/faultSchedule.js';
import { FaultKind } from '../common/faultSchedule.js';
import type { Injection } from './faultInjector.js';
import { FaultInjector, pickElement } from './faultInjector.js';
import type { ProveWorld } from './proveWorld.js';

/** Faults are skipped when fewer nodes than this run, so that a fleet remains under test. */
const MIN_NODES = 3;

function pickNode(step: IFaultStep, world: ProveWorld): NodeProcess | undefined {
  // Excludes nodes that are shutting down: a second SIGTERM ends them immediately, by design.
  const nodes = world.lab.getNodes().filter(({ child, addresses }) => {
    return !child.isStopped() && !world.shutdowns.isRequested(addresses.caller);
  });
  return nodes.length < MIN_NODES ? undefined : pickElement(nodes, step.pick);
}

class NodeKill extends FaultInjector {
  override readonly kind = FaultKind.NodeKill;

  override async start(step: IFaultStep, world: ProveWorld): Promise<Injection> {
    const node = pickNode(step, world);
    if (node === undefined) return 'skipped';
    world.shutdowns.markDisturbed(node.addresses.caller);
    await world.lab.endNode(node);
    return () => world.addNode();
  }
}

class NodePause extends FaultInjector {
  override readonly kind = FaultKind.NodePause;

  override start(step: IFaultStep, world: ProveWorld): Promise<Injection> {
    const node = pickNode(step, world);
    if (node === undefined) return Promise.resolve('skipped');
    world.shutdowns.markDisturbed(node.addresses.caller);
    node.child.sendSignal('SIGSTOP');
    return Promise.resolve(() => {
      node.child.sendSignal('SIGCONT');
      return Promise.resolve();
    });
  }
}

class NodeTerminate extends FaultInjector {
  override readonly kind = FaultKind.NodeTerminate;

  override async start(step: IFaultStep, world: ProveWorld): Promise<Injection> {
    const node = pickNode(step, world);
    if (node === undefined) return 'skipped';
    await world.lab.markShuttingDown(node);
    world.shutdowns.record(node.addresses.caller, Date.now(), node.child.waitForEnd());
    node.child.sendSignal('SIGTERM');
    void node.child.waitForEnd().then(() => world.lab.platform.removeVm(node.addresses.peer));
    return () => world.addNode();
  }
}

export const NODE_FAULTS: readonly FaultInjector[] = [
  new NodeKill(),
  new NodePause(),
  new NodeTerminate(),
];
