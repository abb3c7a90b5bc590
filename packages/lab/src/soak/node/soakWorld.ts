/** Store, targets and nodes of one run, and the evidence that is recorded about them. */
import { rmSync } from 'node:fs';
import { mkdtemp } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { IDisposable } from '@parsleymux/base';
import { SeededRandom } from '@parsleymux/base';
import { MetadataFault, MetadataStandIn, makeTargetText } from '@parsleymux/standins';
import { ProcessFleet } from '../../processes/node/processFleet.js';
import { Findings } from '../../prove/common/findings.js';
import { DisturbanceLog } from '../common/disturbanceLog.js';
import type {
  IAcceptedVersion,
  IDrain,
  IPathLoss,
  IPlannedStop,
  ISoakCrash,
} from '../common/soakEvidence.js';
import { SoakLedger } from '../common/soakLedger.js';
import {
  SOAK_BOUNDS,
  SOAK_FAILURE_DOMAINS,
  SOAK_SERVICES,
  computeNextVersion,
  makeSoakConfig,
} from '../common/soakLayout.js';
import { SoakNode } from './soakNode.js';
import type { ITargetEndpoint } from './soakTarget.js';
import { SoakTarget, TargetMode } from './soakTarget.js';

const CONFIG_TABLE = 'op';
const TARGET_TABLE = 'servers';
const SLOTS = 4;
const MS_PER_S = 1000;
/** Grace time of processes at the end of the run; those still running then are killed. */
const GRACE_MS = SOAK_BOUNDS.grace_s * MS_PER_S;
const READY_CHECK_MS = 50;
const READY_LIMIT_MS = 60_000;
const MAX_SEEDS = 3;

/** Time until a target that a request has crashed is replaced, in ms. */
const REPLACEMENT_DELAY_MS = 2000;

/** Options of a {@link SoakWorld}. */
export interface ISoakWorldOptions {
  readonly seed: number;
  readonly nodeCount: number;
  readonly targetsPerService: number;
  /** Module that nodes load first and that disables a mechanism in them. */
  readonly breakModule?: string;
  /** Processors that the nodes may use together, such as "0,1". Default: all. */
  readonly processors?: string | undefined;
  /** How many routes more every third version has, which no caller uses. Default 1400. */
  readonly addedRoutes?: number | undefined;
  /** Whether targets run requests that are addressed to other targets. Default false. */
  readonly hasLaxTargets?: boolean;
}

/** The system under test of a soak, on which faults act. */
export class SoakWorld implements IDisposable {
  readonly ledger = new SoakLedger();
  readonly disturbances = new DisturbanceLog();
  readonly findings = new Findings();
  readonly crashes: ISoakCrash[] = [];
  readonly drains: IDrain[] = [];
  readonly plannedStops: IPlannedStop[] = [];
  readonly pathLosses: IPathLoss[] = [];
  readonly versions: IAcceptedVersion[] = [];
  readonly random: SeededRandom;
  readonly nodes: SoakNode[] = [];
  readonly targets: SoakTarget[] = [];
  /** Whether all nodes of a failure domain are cut off from the store. */
  isDomainCut = false;
  private readonly fleet = new ProcessFleet({ graceMs: GRACE_MS, handleSignals: false });
  private readonly formerTargets: SoakTarget[] = [];
  /** Running targets whose entries are marked as draining. */
  private readonly draining = new Set<SoakTarget>();
  /** Identifiers of targets whose entries were removed. */
  private readonly removedIds = new Set<string>();
  private openedStore: MetadataStandIn | undefined;
  private targetCount = 0;
  private isEnding = false;
  private directory = '';

  constructor(private readonly options: ISoakWorldOptions) {
    this.random = new SeededRandom(options.seed);
  }

  get store(): MetadataStandIn {
    if (this.openedStore === undefined) throw new Error('the world has not started');
    return this.openedStore;
  }

  /** Number of running node processes. */
  get processCount(): number {
    return this.fleet.getRunning().length;
  }

  /** Resolves when every node is ready. */
  async start(): Promise<void> {
    this.directory = await mkdtemp(join(tmpdir(), 'parsleymux-soak-'));
    this.openedStore = await MetadataStandIn.open();
    this.putConfig();
    for (const service of SOAK_SERVICES) {
      for (let index = 0; index < this.options.targetsPerService; index += 1) {
        await this.openTarget(service);
      }
    }
    await this.openNodes();
    await Promise.all(this.nodes.map((node) => node.start(this.listSeeds(), true)));
    await this.waitForReady(this.nodes);
  }

  /** Writes the next configuration. */
  putConfig(): void {
    const previous = this.versions[this.versions.length - 1]?.version ?? 0;
    const version = computeNextVersion(previous, this.versions.length);
    this.store.put(CONFIG_TABLE, 'config', makeSoakConfig(version, this.options.addedRoutes));
    this.versions.push({ version, acceptedMs: performance.now() });
  }

  /** Writes the entries of all targets again. */
  writeTargets(): void {
    for (const target of this.targets) this.register(target, false);
  }

  /** Repeats the writes of operator and targets that a store restored from an older copy has lost. */
  restoreLostWrites(): void {
    const newest = this.versions[this.versions.length - 1];
    if (newest !== undefined) {
      this.store.put(
        CONFIG_TABLE,
        'config',
        makeSoakConfig(newest.version, this.options.addedRoutes),
      );
    }
    this.writeTargets();
    const present = new Set(this.targets.map(({ options }) => options.id));
    for (const { options } of this.formerTargets) {
      if (this.removedIds.has(options.id) && !present.has(options.id)) {
        this.store.remove(TARGET_TABLE, options.id);
      }
    }
    for (const target of this.draining) this.register(target, true);
  }

  /** Opens and registers a target, at a former target's endpoint or at a new one. */
  async openTarget(service: string, endpoint?: ITargetEndpoint): Promise<void> {
    this.targetCount += 1;
    await this.openWithId(`${service}-${this.targetCount}`, service, endpoint);
  }

  /** Starts a crashed target again under the same identifier, at a new address. */
  async startTargetAgain({ options: { id, service } }: SoakTarget): Promise<void> {
    await this.openWithId(id, service);
  }

  /** Overwrites a target's entry as another writer might; the result restores the entry. */
  putForeignEntry(target: SoakTarget, text: string): () => void {
    const { id } = target.options;
    this.store.put(TARGET_TABLE, id, text);
    this.drains.push({ target: id, acceptedMs: performance.now() });
    return () => {
      if (this.targets.includes(target)) this.register(target, false);
    };
  }

  private async openWithId(id: string, service: string, endpoint?: ITargetEndpoint): Promise<void> {
    if (this.isEnding) return;
    const target = new SoakTarget({
      id,
      service,
      bornMs: Date.now(),
      slots: SLOTS,
      random: this.random,
      isStrict: this.options.hasLaxTargets !== true,
      recordArrival: (arrival) => this.ledger.recordArrival(arrival),
      onCrash: (crashed, path) => void this.handleTargetCrash(crashed, path),
      ...(endpoint === undefined ? {} : { endpoint }),
    });
    await target.open();
    this.targets.push(target);
    this.register(target, false);
  }

  /** Marks a target's entry as draining; the target continues to serve. */
  retireTarget(target: SoakTarget): void {
    this.targets.splice(this.targets.indexOf(target), 1);
    this.formerTargets.push(target);
    this.draining.add(target);
    this.register(target, true);
    this.drains.push({ target: target.options.id, acceptedMs: performance.now() });
  }

  /** Removes a crashed target from the list of targets; its entry stays. */
  releaseTarget(target: SoakTarget): void {
    this.targets.splice(this.targets.indexOf(target), 1);
    this.formerTargets.push(target);
  }

  /** Ends a target that a request has crashed, and replaces it some seconds later by a new one. */
  private async handleTargetCrash(target: SoakTarget, path: string): Promise<void> {
    if (!this.targets.includes(target)) return;
    this.crashes.push({ path, atMs: performance.now() });
    this.disturbances.start(target.options.id, performance.now());
    this.releaseTarget(target);
    await target.dispose();
    await new Promise((resolve) => setTimeout(resolve, REPLACEMENT_DELAY_MS));
    this.removeTarget(target);
    await this.openTarget(target.options.service);
  }

  /** Removes a target and its entry. */
  removeTarget(target: SoakTarget): void {
    const index = this.targets.indexOf(target);
    if (index !== -1) this.targets.splice(index, 1);
    if (!this.formerTargets.includes(target)) this.formerTargets.push(target);
    this.draining.delete(target);
    this.removedIds.add(target.options.id);
    this.store.remove(TARGET_TABLE, target.options.id);
  }

  /** Starts a node's process again, unless the run is ending. */
  async ensureRunning(node: SoakNode): Promise<void> {
    if (!this.isEnding && !node.isRunning()) await node.start(this.listSeeds(), false);
  }

  listSeeds(): readonly SoakNode[] {
    return this.nodes.slice(0, MAX_SEEDS);
  }

  /** Ends every fault, starts the nodes that have ended and waits until all are ready. */
  async clearFaults(): Promise<void> {
    this.store.fault = MetadataFault.None;
    const noFaults = { cutForward: false, cutBackward: false, refuse: false, delayMs: 0 };
    for (const target of this.targets) {
      target.mode = TargetMode.Healthy;
      await target.link.setFaults(noFaults);
      // Data lost during a partition never arrives, so connections from before it are unusable.
      target.link.resetConnections();
    }
    for (const node of this.nodes) {
      node.sendSignal('SIGCONT');
      await node.link.setFaults(noFaults);
      node.link.resetConnections();
      await this.ensureRunning(node);
    }
    await this.waitForReady(this.nodes);
  }

  async waitForReady(nodes: readonly SoakNode[]): Promise<void> {
    const endMs = performance.now() + READY_LIMIT_MS;
    for (const node of nodes) {
      while (!(await node.isReady())) {
        if (performance.now() > endMs) {
          throw new Error(
            `${node.name} is not ready:\n${node.getLogLines().slice(-20).join('\n')}`,
          );
        }
        await this.ensureRunning(node);
        await new Promise((resolve) => setTimeout(resolve, READY_CHECK_MS));
      }
    }
  }

  async dispose(): Promise<void> {
    this.isEnding = true;
    for (const node of this.nodes) node.sendSignal('SIGTERM');
    await this.fleet.dispose();
    for (const node of this.nodes) node.dispose();
    await Promise.all([...this.targets, ...this.formerTargets].map((target) => target.dispose()));
    await this.openedStore?.dispose();
    rmSync(this.directory, { recursive: true, force: true });
  }

  private async openNodes(): Promise<void> {
    const { breakModule, nodeCount, processors } = this.options;
    for (let index = 0; index < nodeCount; index += 1) {
      const node = new SoakNode({
        index,
        fleet: this.fleet,
        directory: this.directory,
        storeAddress: this.store.address,
        breakModule,
        processors,
        onDidEnd: (ended, end, isRequested) => {
          this.findings.check('processes end only when asked', isRequested || this.isEnding, () => {
            const lines = ended.getLogLines().slice(-5).join('\n');
            return `${ended.name} ended with ${end.code ?? end.signal ?? '?'}:\n${lines}`;
          });
        },
      });
      await node.open();
      this.nodes.push(node);
    }
  }

  private register(target: SoakTarget, isDraining: boolean): void {
    const { bornMs, id, service } = target.options;
    const domain = SOAK_FAILURE_DOMAINS[this.targetCount % SOAK_FAILURE_DOMAINS.length];
    const text = makeTargetText({
      address: target.link.getAddress(),
      service,
      failureDomain: domain ?? SOAK_FAILURE_DOMAINS[0],
      slots: SLOTS,
      bornMs,
      isDraining,
    });
    this.store.put(TARGET_TABLE, id, text);
    if (!isDraining) this.endDrains(id);
  }

  /** Ends the drains of a target whose entry is valid and not draining again. */
  private endDrains(id: string): void {
    for (const drain of this.drains) {
      if (drain.target === id) drain.endMs ??= performance.now();
    }
  }
}
