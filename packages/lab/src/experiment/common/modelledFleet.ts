/** The nodes of an experiment over time: restarts, membership, and the homes of services. */
import type { Clock, RandomSource } from '@parsleymux/base';
import type { ITargetRecord } from '@parsleymux/scheduling';
import { RendezvousPlacement } from '@parsleymux/fleet';
import type { ModelledNetwork } from './modelledNetwork.js';
import type { ModelledNode } from './modelledNode.js';
import type { ModelledTransport } from './modelledTransport.js';
import type { IScenario, IScenarioEvent } from './scenario.js';
import { PathLoss } from './scenario.js';

/** Number of homes that are ranked for a service. */
const RANKED_HOMES = 3;
/** Upper bound of the delay, drawn for each node, until a node receives a membership change, in ms. */
const MAX_MEMBERSHIP_DELAY_MS = 1000;
/** A stopping node receives new callers for this long: two failed health checks of a balancer, in ms. */
const BALANCER_DELAY_MS = 2000;
/** Time from the stop signal to the end of the process, in which pending requests end, in ms. */
const SHUTDOWN_MS = 3500;
/** Time from the start of a process until it is registered and ready, in ms. */
const START_MS = 700;
const DEFAULT_BATCH_INTERVAL_MS = 1000;
const NODE_PREFIX = 'node-';

/** Options of a {@link ModelledFleet}. */
export interface IModelledFleetOptions {
  readonly scenario: IScenario;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly network: ModelledNetwork;
  /** Failure domain of a node. */
  readonly formatDomain: (index: number) => string;
  /** Starts a process on a node. */
  readonly createNode: (index: number, incarnation: number, fleet: ModelledFleet) => ModelledNode;
}

interface INodeState {
  node: ModelledNode;
  incarnation: number;
  isOpen: boolean;
  pathLoss?: PathLoss | undefined;
  readonly membershipDelayMs: number;
}

interface IMembershipSnapshot {
  readonly atMs: number;
  readonly placement: RendezvousPlacement;
}

/**
 * Restarts nodes according to the scenario. Each node receives membership changes with a delay of its
 * own, so two nodes may rank different nodes as the home of one service for a short time.
 *
 * @example
 * const fleet = new ModelledFleet(options);
 * fleet.start();
 */
export class ModelledFleet {
  private readonly nodeStates: INodeState[] = [];
  private readonly history: IMembershipSnapshot[] = [];
  private readonly registered = new Set<string>();
  /** Transports of all processes, ended ones included, for the costs of the run. */
  private readonly transports: ModelledTransport[] = [];
  private records: readonly ITargetRecord[] = [];

  constructor(private readonly options: IModelledFleetOptions) {
    const { createNode, random, scenario } = options;
    for (let index = 0; index < scenario.nodes; index += 1) {
      const membershipDelayMs = random.getFloat() * MAX_MEMBERSHIP_DELAY_MS;
      this.registered.add(formatNode(index));
      const node = createNode(index, 1, this);
      this.transports.push(node.transport);
      this.nodeStates.push({ node, incarnation: 1, isOpen: true, membershipDelayMs });
    }
    this.recordMembers(-MAX_MEMBERSHIP_DELAY_MS);
  }

  /** Schedules the scenario's restarts and power losses. */
  start(): void {
    for (const event of this.options.scenario.events) {
      if (event.kind === 'restart') this.planRestarts(event);
      if (event.kind === 'power-loss') this.planPowerLoss(event);
      if (event.kind === 'path-loss') this.planPathLoss(event);
    }
  }

  /** Nodes that callers can reach. */
  listOpen(): readonly ModelledNode[] {
    return this.nodeStates.flatMap(({ isOpen, node }, index) => {
      const isReachable = isOpen && !this.options.network.isDisconnected(formatNode(index));
      return isReachable ? [node] : [];
    });
  }

  /** The node at an address, if it can be reached. */
  findReachable(address: string): ModelledNode | undefined {
    const isReachable = !this.options.network.isDisconnected(address);
    return isReachable ? this.nodeStates[parseNodeIndex(address)]?.node : undefined;
  }

  /** Transports of all processes, ended ones included. */
  listTransports(): readonly ModelledTransport[] {
    return this.transports;
  }

  listNodes(): readonly ModelledNode[] {
    return this.nodeStates.map(({ node }) => node);
  }

  listMembers(): readonly string[] {
    return [...this.registered];
  }

  setTargets(records: readonly ITargetRecord[]): void {
    this.records = records;
    for (const { node } of this.nodeStates) node.setTargets(records);
  }

  /**
   * Ranks the homes of a service by the membership that node `index` has received, or by the current
   * one if `index` is undefined.
   */
  rankHomes(service: string, index?: number): readonly string[] {
    const delayMs = index === undefined ? 0 : (this.nodeStates[index]?.membershipDelayMs ?? 0);
    const knownMs = this.options.clock.getMonotonicTime() - delayMs;
    const members = this.history.findLast(({ atMs }) => atMs <= knownMs) ?? this.history[0];
    const ranked = members?.placement.rank({ id: service, failureDomains: [] }, RANKED_HOMES) ?? [];
    return ranked.map(({ address }) => address);
  }

  private planRestarts(event: IScenarioEvent): void {
    const { atMs, batch = 1, forMs, gapMs = DEFAULT_BATCH_INTERVAL_MS, share = 0 } = event;
    const { clock, random } = this.options;
    const order = this.nodeStates
      .map((_, index) => ({ index, key: random.getFloat() }))
      .sort((left, right) => left.key - right.key)
      .slice(0, Math.round(share * this.nodeStates.length));
    for (const [position, { index }] of order.entries()) {
      const delayMs = Math.floor(position / batch) * gapMs;
      clock.startTimer(atMs + delayMs, () => {
        this.runRestart(index, forMs);
      });
    }
  }

  private planPowerLoss({ atMs, forMs }: IScenarioEvent): void {
    this.options.clock.startTimer(atMs, () => {
      for (const index of this.nodeStates.keys()) {
        this.end(index);
        this.startAfter(index, forMs);
      }
    });
  }

  /** The affected nodes keep the loss if they restart meanwhile. */
  private planPathLoss(event: IScenarioEvent): void {
    const { atMs, connections = PathLoss.Silent, failureDomain, forMs, share = 0 } = event;
    const { clock, formatDomain, random } = this.options;
    const inDomain = [...this.nodeStates.keys()].filter((index) => {
      return failureDomain === undefined || formatDomain(index) === failureDomain;
    });
    const affected = inDomain
      .map((index) => ({ index, key: random.getFloat() }))
      .sort((left, right) => left.key - right.key)
      .slice(0, Math.round(share * inDomain.length));
    clock.startTimer(atMs, () => {
      for (const { index } of affected) this.setPathLoss(index, connections);
    });
    clock.startTimer(atMs + forMs, () => {
      for (const { index } of affected) this.setPathLoss(index, undefined);
    });
  }

  private setPathLoss(index: number, connections: PathLoss | undefined): void {
    const state = this.nodeStates[index];
    if (state === undefined) return;
    state.pathLoss = connections;
    state.node.transport.setPathLoss(connections);
  }

  private runRestart(index: number, forMs: number): void {
    const { clock } = this.options;
    const state = this.nodeStates[index];
    if (state === undefined || !this.registered.has(formatNode(index))) return;
    state.node.announceShutdown([...this.registered]);
    this.removeMember(index);
    clock.startTimer(BALANCER_DELAY_MS, () => {
      state.isOpen = false;
    });
    clock.startTimer(SHUTDOWN_MS, () => {
      this.end(index);
      this.startAfter(index, Math.max(0, forMs - SHUTDOWN_MS));
    });
  }

  private end(index: number): void {
    const state = this.nodeStates[index];
    if (state === undefined) return;
    state.isOpen = false;
    state.node.dispose();
    this.options.network.setDisconnected(formatNode(index), true);
  }

  private startAfter(index: number, delayMs: number): void {
    const { clock, createNode, network } = this.options;
    const state = this.nodeStates[index];
    if (state === undefined) return;
    clock.startTimer(delayMs, () => {
      state.incarnation += 1;
      network.setDisconnected(formatNode(index), false);
      state.node = createNode(index, state.incarnation, this);
      this.transports.push(state.node.transport);
      state.node.transport.setPathLoss(state.pathLoss);
      state.node.setTargets(this.records);
      clock.startTimer(START_MS, () => {
        state.isOpen = true;
        this.registered.add(formatNode(index));
        this.recordMembers(clock.getMonotonicTime());
      });
    });
  }

  private removeMember(index: number): void {
    this.registered.delete(formatNode(index));
    this.recordMembers(this.options.clock.getMonotonicTime());
  }

  private recordMembers(atMs: number): void {
    const placement = new RendezvousPlacement();
    placement.setNodes([...this.registered].map((address) => ({ address, failureDomain: '' })));
    this.history.push({ atMs, placement });
  }
}

/** Formats the address of a node of an experiment. */
export function formatNode(index: number): string {
  return `${NODE_PREFIX}${index}`;
}

/** Parses the number of a node from its address. */
export function parseNodeIndex(address: string): number {
  return Number(address.slice(NODE_PREFIX.length));
}
