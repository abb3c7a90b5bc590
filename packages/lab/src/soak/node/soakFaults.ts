/** Injects the faults of the soak and ends them. */
import { INVALID_TARGET_TEXTS, MetadataFault } from '@parsleymux/standins';
import type { IFaultStep } from '../../prove/common/faultSchedule.js';
import type { EndFault, Injection } from '../../prove/node/faultInjector.js';
import { endNothing, pickElement } from '../../prove/node/faultInjector.js';
import { STORE_SCOPE, formatLinkScope, formatPathScope } from '../common/disturbanceLog.js';
import type { IPathLoss } from '../common/soakEvidence.js';
import { CRASH_PREFIX, SOAK_BOUNDS, SOAK_FAILURE_DOMAINS } from '../common/soakLayout.js';
import { SoakFaultKind } from '../common/soakFaultKind.js';
import { sendCrashingRequest } from './soakCaller.js';
import type { SoakNode } from './soakNode.js';
import type { SoakTarget } from './soakTarget.js';
import { TARGET_MODES, TargetMode } from './soakTarget.js';
import type { SoakWorld } from './soakWorld.js';

const MS_PER_S = 1000;
/**
 * A fault of a node or target is skipped unless at least this many usable nodes, or targets of the same
 * service, remain besides it.
 */
const MIN_NODES = 2;
const MIN_TARGETS = 2;
/** Longest delay of a link, in ms. */
const MAX_DELAY_MS = 400;
const STORM_PAUSE_MS = 150;
/** Pause between two copies of a request that crashes targets, in ms. */
const CRASHING_PAUSE_MS = 250;
/** Time until a process that was terminated is started again, in ms. */
const RESTART_DELAY_MS = 300;
/** Time between the removal of a target's entry and the reuse of its address, in ms. */
const REUSE_DELAY_MS = 1500;
/** Time that a draining target serves, in ms; a little longer than nodes may send to it. */
const DRAINING_MS = SOAK_BOUNDS.drain_s * MS_PER_S + 1000;

/** How long the store is unavailable before it is restored from an older copy, in ms. */
const STORE_OUTAGE_MS = 400;
/** Time until other writers repeat the writes that the restored store has lost, in ms. */
const REWRITE_DELAY_MS = 600;
/** Rounds of writes that the store loses by the restore. */
const LOST_WRITES = 10;
/** How long a target advertises a limit, in ms, and the range of the limit in requests per second. */
const LIMIT_MS = 9000;
const MIN_LIMIT_PER_S = 0.5;
const LIMIT_RANGE_PER_S = 2;

type Step = IFaultStep<SoakFaultKind>;

const STORE_FAULTS: readonly MetadataFault[] = Object.values(MetadataFault).filter((fault) => {
  return fault !== MetadataFault.None;
});

/** Injects the fault of a step; the result ends it. */
export function startSoakFault(step: Step, world: SoakWorld): Promise<Injection> {
  switch (step.kind) {
    case SoakFaultKind.NodeKill:
      return withNode(step, world, (node) => startKill(node, world));
    case SoakFaultKind.NodeHerdKill:
      return startHerdKill(world);
    case SoakFaultKind.NodePause:
      return withNode(step, world, (node) => startPause(node, world));
    case SoakFaultKind.NodeTerminate:
      return withNode(step, world, (node) => startTermination(node, world));
    case SoakFaultKind.NodeReload:
      return withNode(step, world, (node) => startReload(node, step, world));
    case SoakFaultKind.NodeBadSettings:
      return withNode(step, world, (node) => startBadSettings(node, world));
    case SoakFaultKind.StoreFault:
      return Promise.resolve(startStoreFault(step, world));
    case SoakFaultKind.StoreCompaction:
      world.store.rows.clearHistory();
      return Promise.resolve(endNothing);
    case SoakFaultKind.StoreLink:
      return withNode(step, world, (node) => startLinkFault(node.link, node.name, step, world));
    case SoakFaultKind.TargetFault:
      return withTarget(step, world, (target) => startTargetFault(target, step, world));
    case SoakFaultKind.TargetLink:
      return withTarget(step, world, (target) => {
        return startLinkFault(target.link, formatLinkScope(target.options.id), step, world);
      });
    case SoakFaultKind.TargetDrain:
      return withTarget(step, world, (target) => startDrain(target, world));
    case SoakFaultKind.TargetCrash:
      return withTarget(step, world, (target) => startCrash(target, world));
    case SoakFaultKind.TargetReuse:
      return withTarget(step, world, (target) => startReuse(target, step, world));
    case SoakFaultKind.TargetRestart:
      return withTarget(step, world, (target) => startRestart(target, world));
    case SoakFaultKind.ForeignEntry:
      return withTarget(step, world, (target) => startForeignEntry(target, step, world));
    case SoakFaultKind.ConfigChange:
      world.putConfig();
      return Promise.resolve(endNothing);
    case SoakFaultKind.ConfigStorm:
      return Promise.resolve(startStorm(world));
    case SoakFaultKind.CrashingRequest:
      return Promise.resolve(startCrashingRequest(step, world));
    case SoakFaultKind.TargetAnnouncesDrain:
      return withTarget(step, world, (target) => startAnnouncedDrain(target, world));
    case SoakFaultKind.StoreRestore:
      return Promise.resolve(startStoreRestore(world));
    case SoakFaultKind.NodePathLoss:
      return Promise.resolve(startPathLoss(step, world));
    case SoakFaultKind.DomainStoreLoss:
      return startDomainStoreLoss(step, world);
    case SoakFaultKind.TargetAdvertisesLimit:
      return withTarget(step, world, (target) => startAdvertisedLimit(target, step));
  }
}

function withNode(
  step: Step,
  world: SoakWorld,
  act: (node: SoakNode) => Promise<Injection>,
): Promise<Injection> {
  const usable = world.nodes.filter((node) => node.isUsable());
  const node = usable.length > MIN_NODES ? pickElement(usable, step.pick) : undefined;
  return node === undefined ? Promise.resolve('skipped') : act(node);
}

function withTarget(
  step: Step,
  world: SoakWorld,
  act: (target: SoakTarget) => Promise<EndFault>,
): Promise<Injection> {
  const target = pickElement(world.targets, step.pick);
  const siblings = world.targets.filter(({ options }) => {
    return options.service === target?.options.service;
  });
  if (target === undefined || siblings.length <= MIN_TARGETS) return Promise.resolve('skipped');
  return act(target);
}

function markDisturbed(scope: string, world: SoakWorld): () => void {
  const end = world.disturbances.start(scope, performance.now());
  return () => {
    end(performance.now());
  };
}

async function startKill(node: SoakNode, world: SoakWorld): Promise<EndFault> {
  const endDisturbance = markDisturbed(node.name, world);
  node.sendSignal('SIGKILL');
  await node.waitForEnd();
  return async () => {
    await world.ensureRunning(node);
    endDisturbance();
  };
}

/** Kills every second usable node; starts them again together when the fault ends. */
async function startHerdKill(world: SoakWorld): Promise<Injection> {
  const usable = world.nodes.filter((node) => node.isUsable());
  const nodes = usable.filter((_, index) => index % 2 === 1);
  if (usable.length - nodes.length < MIN_NODES) return 'skipped';
  const ends = await Promise.all(nodes.map((node) => startKill(node, world)));
  return async () => {
    await Promise.all(ends.map((end) => end()));
  };
}

function startPause(node: SoakNode, world: SoakWorld): Promise<EndFault> {
  const endDisturbance = markDisturbed(node.name, world);
  node.sendSignal('SIGSTOP');
  return Promise.resolve(() => {
    node.sendSignal('SIGCONT');
    endDisturbance();
    return Promise.resolve();
  });
}

function startTermination(node: SoakNode, world: SoakWorld): Promise<EndFault> {
  const requestedMs = performance.now();
  world.plannedStops.push({ node: node.name, incarnation: node.incarnation, requestedMs });
  node.sendSignal('SIGTERM');
  const graceMs = SOAK_BOUNDS.grace_s * MS_PER_S;
  const killer = setTimeout(() => {
    node.sendSignal('SIGKILL');
  }, graceMs);
  void node.waitForEnd().then(() => {
    clearTimeout(killer);
    const tookMs = performance.now() - requestedMs;
    const wasUndisturbed = world.disturbances.isUndisturbed(
      [node.name],
      requestedMs,
      requestedMs + tookMs,
    );
    world.findings.check(
      'stops end within the grace time',
      !wasUndisturbed || tookMs < graceMs,
      () => {
        return `${node.name} took ${Math.round(tookMs)} ms`;
      },
    );
    setTimeout(() => void world.ensureRunning(node), RESTART_DELAY_MS);
  });
  return Promise.resolve(endNothing);
}

async function startReload(node: SoakNode, step: Step, world: SoakWorld): Promise<Injection> {
  if (!node.isReloadCaught()) return 'skipped';
  // Below the deployment's limit, which the checks use.
  const retryBurst = Math.floor(SOAK_BOUNDS.retry_burst * step.size);
  await node.writeSettings(world.listSeeds(), false, { retryBurst });
  node.sendSignal('SIGHUP');
  return async () => {
    await node.writeSettings(world.listSeeds(), false, {});
    if (node.isReloadCaught()) node.sendSignal('SIGHUP');
  };
}

async function startBadSettings(node: SoakNode, world: SoakWorld): Promise<Injection> {
  if (!node.isReloadCaught()) return 'skipped';
  await node.writeSettings(world.listSeeds(), false, { isBroken: true });
  node.sendSignal('SIGHUP');
  return () => node.writeSettings(world.listSeeds(), false, {});
}

function startStoreFault(step: Step, world: SoakWorld): Injection {
  if (world.store.fault !== MetadataFault.None) return 'skipped';
  const endDisturbance = markDisturbed(STORE_SCOPE, world);
  world.store.fault = pickElement(STORE_FAULTS, step.pick) ?? MetadataFault.Busy;
  return () => {
    world.store.fault = MetadataFault.None;
    endDisturbance();
    return Promise.resolve();
  };
}

/** Restores the store from a copy taken at the start of the step, so its age is the step's duration. */
function startStoreRestore(world: SoakWorld): Injection {
  if (world.store.fault !== MetadataFault.None) return 'skipped';
  const copy = world.store.rows.copy();
  // The lost writes advance the store's versions, as targets do that renew their entries.
  for (let count = 0; count < LOST_WRITES; count += 1) world.writeTargets();
  return async () => {
    const endDisturbance = markDisturbed(STORE_SCOPE, world);
    world.store.fault = MetadataFault.Reset;
    await new Promise((resolve) => setTimeout(resolve, STORE_OUTAGE_MS));
    world.store.restore(copy);
    world.store.fault = MetadataFault.None;
    endDisturbance();
    await new Promise((resolve) => setTimeout(resolve, REWRITE_DELAY_MS));
    world.restoreLostWrites();
  };
}

async function startLinkFault(
  link: SoakNode['link'],
  scope: string,
  step: Step,
  world: SoakWorld,
): Promise<EndFault> {
  const endDisturbance = markDisturbed(scope, world);
  const kinds = ['forward', 'backward', 'both', 'delay', 'reset', 'silent', 'refuse'] as const;
  switch (pickElement(kinds, step.pick)) {
    case 'forward':
      await link.setFaults({ cutForward: true });
      break;
    case 'backward':
      await link.setFaults({ cutBackward: true });
      break;
    case 'both':
      await link.setFaults({ cutForward: true, cutBackward: true });
      break;
    case 'delay':
      await link.setFaults({ delayMs: MAX_DELAY_MS * step.size });
      break;
    case 'reset':
      link.resetConnections();
      break;
    case 'silent':
      link.markConnectionsSilent();
      break;
    case 'refuse':
      await link.setFaults({ refuse: true });
      link.resetConnections();
      break;
    case undefined:
      break;
  }
  return async () => {
    await link.setFaults({ cutForward: false, cutBackward: false, refuse: false, delayMs: 0 });
    endDisturbance();
  };
}

/**
 * Cuts the nodes of a failure domain off from the store. They aren't marked as disturbed: nodes of other failure
 * domains send them what they read.
 */
async function startDomainStoreLoss(step: Step, world: SoakWorld): Promise<Injection> {
  const domain = pickElement(SOAK_FAILURE_DOMAINS, step.pick);
  const nodes = world.nodes.filter(({ failureDomain }) => failureDomain === domain);
  const others = world.nodes.filter((node) => node.isUsable() && !nodes.includes(node));
  // One at a time: the others have to learn of changes from somewhere.
  const isPossible = nodes.length > 0 && others.length >= MIN_NODES && !world.isDomainCut;
  if (!isPossible) return 'skipped';
  world.isDomainCut = true;
  const isSilent = step.size < 1 / 2;
  const faults = isSilent ? { cutForward: true, cutBackward: true } : { refuse: true };
  for (const { link } of nodes) {
    await link.setFaults(faults);
    if (!isSilent) link.resetConnections();
  }
  return async () => {
    for (const { link } of nodes) {
      await link.setFaults({ cutForward: false, cutBackward: false, refuse: false });
    }
    world.isDomainCut = false;
  };
}

function startTargetFault(target: SoakTarget, step: Step, world: SoakWorld): Promise<EndFault> {
  const endDisturbance = markDisturbed(target.options.id, world);
  const modes = TARGET_MODES.filter((mode) => mode !== TargetMode.Healthy);
  target.mode = pickElement(modes, step.pick) ?? TargetMode.Failing;
  target.share = step.size;
  return Promise.resolve(() => {
    target.mode = TargetMode.Healthy;
    endDisturbance();
    return Promise.resolve();
  });
}

async function startDrain(target: SoakTarget, world: SoakWorld): Promise<EndFault> {
  await world.openTarget(target.options.service);
  world.retireTarget(target);
  const shutDown = async () => {
    world.removeTarget(target);
    markDisturbed(target.options.id, world);
    await target.dispose();
  };
  setTimeout(() => void shutDown(), DRAINING_MS);
  return endNothing;
}

async function startCrash(target: SoakTarget, world: SoakWorld): Promise<EndFault> {
  markDisturbed(target.options.id, world);
  await target.dispose();
  return async () => {
    world.removeTarget(target);
    await world.openTarget(target.options.service);
  };
}

async function startReuse(target: SoakTarget, step: Step, world: SoakWorld): Promise<EndFault> {
  const services = [...new Set(world.targets.map(({ options }) => options.service))];
  const service = pickElement(services, Math.floor(step.pick / 7)) ?? target.options.service;
  markDisturbed(target.options.id, world);
  const endpoint = await target.releaseEndpoint();
  world.removeTarget(target);
  await new Promise((resolve) => setTimeout(resolve, REUSE_DELAY_MS));
  await world.openTarget(service, endpoint);
  return endNothing;
}

async function startRestart(target: SoakTarget, world: SoakWorld): Promise<EndFault> {
  const endDisturbance = markDisturbed(target.options.id, world);
  await target.dispose();
  world.releaseTarget(target);
  await world.startTargetAgain(target);
  return () => {
    endDisturbance();
    return Promise.resolve();
  };
}

function startForeignEntry(target: SoakTarget, step: Step, world: SoakWorld): Promise<EndFault> {
  const restore = world.putForeignEntry(target, pickElement(INVALID_TARGET_TEXTS, step.pick) ?? '');
  return Promise.resolve(() => {
    restore();
    return Promise.resolve();
  });
}

/** Repeats the request until the step ends. Nodes must keep it quarantined. */
function startCrashingRequest(step: Step, world: SoakWorld): Injection {
  const path = `${CRASH_PREFIX}${step.pick}`;
  const timer = setInterval(() => {
    const node = pickElement(
      world.nodes.filter((candidate) => candidate.isUsable()),
      Math.floor(performance.now()),
    );
    if (node !== undefined) void sendCrashingRequest(node, path, world.ledger);
  }, CRASHING_PAUSE_MS);
  return () => {
    clearInterval(timer);
    return Promise.resolve();
  };
}

async function startAnnouncedDrain(target: SoakTarget, world: SoakWorld): Promise<EndFault> {
  await world.openTarget(target.options.service);
  target.isAnnouncingDrain = true;
  const shutDown = async () => {
    world.removeTarget(target);
    markDisturbed(target.options.id, world);
    await target.dispose();
  };
  setTimeout(() => void shutDown(), 2 * DRAINING_MS);
  return endNothing;
}

function startAdvertisedLimit(target: SoakTarget, step: Step): Promise<EndFault> {
  const ratePerS = MIN_LIMIT_PER_S + step.size * LIMIT_RANGE_PER_S;
  target.limit = { ratePerS, sinceMs: performance.now() };
  setTimeout(() => {
    target.limit = undefined;
  }, LIMIT_MS);
  return Promise.resolve(endNothing);
}

/** Cuts off up to most of the nodes; a node that ends meanwhile starts again with its path. */
function startPathLoss(step: Step, world: SoakWorld): Injection {
  const usable = world.nodes.filter((node) => node.isUsable() && node.isPathCutCaught());
  const isPending = world.pathLosses.some(({ endMs }) => endMs === undefined);
  const count = Math.min(usable.length - MIN_NODES, 1 + Math.floor(step.size * usable.length));
  if (isPending || count < 1) return 'skipped';
  const first = step.pick % usable.length;
  const nodes = [...usable.slice(first), ...usable.slice(0, first)].slice(0, count);
  const cut = nodes.map((node) => ({ node, incarnation: node.incarnation }));
  for (const { node } of cut) node.sendSignal('SIGUSR2');
  const names = nodes.map(({ name }) => name);
  const loss: IPathLoss = { nodes: names, startMs: performance.now() };
  world.pathLosses.push(loss);
  const endDisturbances = names.map((name) => markDisturbed(formatPathScope(name), world));
  return () => {
    for (const { incarnation, node } of cut) {
      if (node.isPathCutCaught() && node.incarnation === incarnation) node.sendSignal('SIGUSR2');
    }
    loss.endMs = performance.now();
    for (const end of endDisturbances) end();
    return Promise.resolve();
  };
}

function startStorm(world: SoakWorld): EndFault {
  const timer = setInterval(() => {
    world.putConfig();
  }, STORM_PAUSE_MS);
  return () => {
    clearInterval(timer);
    return Promise.resolve();
  };
}
