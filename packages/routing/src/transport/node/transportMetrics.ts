/** Metrics of connections to targets and of exchanges with them. */
import type { Registry } from 'prom-client';
import { Counter, Gauge } from 'prom-client';
import type { TransportFailure } from '../common/targetTransport.js';
import type { ConnectionPool } from './connectionPool.js';

interface IPoolEntry {
  readonly member: string;
  readonly target: string;
  readonly pool: ConnectionPool;
}

/** Metrics of a transport; without a registry nothing is recorded. */
export class TransportMetrics {
  private readonly opened: Counter | undefined;
  private readonly retired: Counter | undefined;
  private readonly exchanges: Counter<'outcome'> | undefined;

  constructor(registry: Registry | undefined, listPools: () => readonly IPoolEntry[]) {
    if (registry === undefined) return;
    const registers = [registry];
    this.opened = new Counter({
      name: 'parsleymux_target_connections_opened_total',
      help: 'Connections to targets that were opened.',
      registers,
    });
    this.retired = new Counter({
      name: 'parsleymux_target_connections_retirements_total',
      help: 'Times that all connections to a target were retired because they stopped responding.',
      registers,
    });
    this.exchanges = new Counter({
      name: 'parsleymux_target_exchanges_total',
      help: 'Exchanges with targets, by outcome.',
      labelNames: ['outcome'],
      registers,
    });
    new Gauge({
      name: 'parsleymux_target_connections',
      help: 'Open connections to each target.',
      labelNames: ['member', 'target'],
      registers,
      collect() {
        this.reset();
        for (const { member, target, pool } of listPools()) this.set({ member, target }, pool.size);
      },
    });
  }

  recordOpened(): void {
    this.opened?.inc();
  }

  recordRetirement(): void {
    this.retired?.inc();
  }

  recordExchange(outcome: TransportFailure | 'answered'): void {
    this.exchanges?.inc({ outcome });
  }
}
