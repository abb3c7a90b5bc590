/** Metrics of the distribution of configuration; docs/OPERATIONS.md describes how to respond to them. */
import type { Registry } from 'prom-client';
import { Gauge } from 'prom-client';
import type { ConfigDistributor } from '../../distribution/common/configDistributor.js';

/**
 * Registers the distributor's metrics. Their values are read on collection.
 *
 * @example
 * registerConfigMetrics(registry, distributor);
 */
export function registerConfigMetrics(registry: Registry, distributor: ConfigDistributor): void {
  const add = (name: string, help: string, read: () => number) => {
    const gauge: Gauge = new Gauge({
      name,
      help,
      registers: [registry],
      collect: () => {
        gauge.set(read());
      },
    });
  };
  add('parsleymux_config_revision', 'Fleet revision that is applied.', () => {
    return distributor.getCurrent().fleetRevision;
  });
  add('parsleymux_config_isolated', '1 when neither store nor peers respond.', () => {
    return distributor.isIsolated() ? 1 : 0;
  });
  add('parsleymux_config_dropped_total', 'Older configurations that were dropped.', () => {
    return distributor.getCounters().dropped;
  });
  add('parsleymux_config_store_failures_total', 'Failed reads of the store.', () => {
    return distributor.getCounters().storeFailures;
  });
  add('parsleymux_config_peer_failures_total', 'Failed exchanges with peers.', () => {
    return distributor.getCounters().peerFailures;
  });
  add('parsleymux_config_applied_from_store_total', 'Members applied from the store.', () => {
    return distributor.getCounters().appliedFromStore;
  });
  add('parsleymux_config_applied_from_peers_total', 'Members applied from peers.', () => {
    return distributor.getCounters().appliedFromPeers;
  });
}
