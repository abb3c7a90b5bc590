/** The components with which a node sends attempts through peers, and sends those of peers. */
import type { Server } from 'node:http';
import type { Clock, IDisposable, Logger, RandomSource } from '@parsleymux/base';
import { parseEndpoint } from '@parsleymux/base';
import type { HttpTargetTransport } from '@parsleymux/routing';
import type { Registry } from 'prom-client';
import { Gauge } from 'prom-client';
import type { NodeDirectory } from '../../directory/common/nodeDirectory.js';
import type { ResponseCheck } from '../../entry/common/attemptOutcome.js';
import { PathHealth } from '../../entry/common/pathHealth.js';
import { TargetNotices } from '../../entry/common/targetNotices.js';
import { PathMonitor } from '../../relay/common/pathMonitor.js';
import { RelayHandler } from '../../relay/common/relayHandler.js';
import { RelaySelector } from '../../relay/common/relaySelector.js';
import { TargetDispatcher } from '../../relay/common/targetDispatcher.js';
import { HttpRelayTransport } from '../../relay/node/httpRelayTransport.js';
import { RelayServer } from '../../relay/node/relayServer.js';

/** Options of {@link RelayComponents}. */
export interface IRelayComponentsOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly random: RandomSource;
  readonly registry: Registry;
  /** Datagram address of this node. */
  readonly self: string;
  readonly failureDomain: string;
  readonly transport: HttpTargetTransport;
  readonly directory: NodeDirectory;
  readonly isAuthentic: ResponseCheck;
  readonly isStopping: () => boolean;
}

/**
 * Connects the components of one node.
 *
 * @example
 * const relays = new RelayComponents(options);
 * relays.listen(stateServer);
 */
export class RelayComponents implements IDisposable {
  readonly dispatcher: TargetDispatcher;
  readonly notices: TargetNotices;
  readonly paths: PathHealth;
  private readonly monitor: PathMonitor;
  private readonly handler: RelayHandler;
  private readonly peers: HttpRelayTransport;

  constructor(private readonly options: IRelayComponentsOptions) {
    const { clock, directory, transport } = options;
    this.notices = new TargetNotices(clock);
    this.monitor = new PathMonitor({
      ...options,
      listTargets: () => directory.targets.listValues().filter(({ isDraining }) => !isDraining),
      tryConnect: ({ address }) => transport.tryConnect(address),
    });
    this.paths = new PathHealth(clock, (id) => directory.targets.get(id));
    this.monitor.onDidLose(() => {
      transport.retireAllConnections();
      this.paths.clear();
    });
    this.handler = new RelayHandler({
      ...options,
      monitor: this.monitor,
      notices: this.notices,
      findTarget: (id) => directory.targets.get(id),
    });
    this.peers = new HttpRelayTransport({
      clock,
      localAddress: parseEndpoint(options.self).host,
    });
    const listMembers = () => directory.members.listValues();
    const selector = new RelaySelector({ ...options, listMembers });
    const relays = { selector, monitor: this.monitor, transport: this.peers };
    this.dispatcher = new TargetDispatcher({ clock, transport, relays });
    this.addMetrics(options.registry);
  }

  /** Number of attempts that this node is sending for peers. */
  get running(): number {
    return this.handler.running;
  }

  /** Serves the attempts of peers on `server`. */
  listen(server: Server): void {
    const { members } = this.options.directory;
    let ips: ReadonlySet<string> | undefined;
    members.onDidChange(() => {
      ips = undefined;
    });
    const isMember = (ip: string) => {
      ips ??= new Set(members.listValues().map(({ address }) => parseEndpoint(address).host));
      return ips.has(ip);
    };
    new RelayServer({ handler: this.handler, isMember }).listen(server);
  }

  dispose(): void {
    this.monitor.dispose();
    this.peers.dispose();
  }

  private addMetrics(registry: Registry): void {
    const { handler, monitor } = this;
    const registers = [registry];
    new Gauge({
      name: 'parsleymux_path_lost',
      help: 'Whether this node has no path to the targets and sends through peers, 0 or 1.',
      registers,
      collect() {
        this.set(monitor.isLost ? 1 : 0);
      },
    });
    const { directory, self } = this.options;
    new Gauge({
      name: 'parsleymux_relay_peers',
      help: 'Nodes through which this node can send while it has no path to the targets.',
      registers,
      collect() {
        const peers = directory.members.listValues().filter(({ address }) => address !== self);
        this.set(peers.filter(({ canRelay }) => canRelay === true).length);
      },
    });
    new Gauge({
      name: 'parsleymux_relayed_running',
      help: 'Attempts that this node is sending for peers.',
      registers,
      collect() {
        this.set(handler.running);
      },
    });
  }
}
