/** Options and counters of a configuration distributor. */
import type { InvariantRegistry } from '@parsleymux/base';
import type { IPlatform } from '@parsleymux/store';
import type { AppliedConfig } from './appliedConfig.js';
import type { ConfigPeerSource } from './configPeer.js';
import type { IDistributionTimingOptions } from './distributionTiming.js';

/** Options of a ConfigDistributor. */
export interface IConfigDistributorOptions extends IDistributionTimingOptions {
  readonly platform: Pick<IPlatform, 'table' | 'objects'>;
  readonly peers: ConfigPeerSource;
  readonly invariants: InvariantRegistry;
  /** Peers to which a node announces each new revision. Default 3. */
  readonly fanOut?: number;
  /** Time without a response from store or peers until the node is isolated, in ms. Default 30000. */
  readonly isolationLimitMs?: number;
  /** Timeout of one call to the store or a peer, in ms. Default 3000. */
  readonly callTimeoutMs?: number;
  /** Holds the applied configuration. Default: an instance that never reverts. */
  readonly applied?: AppliedConfig;
}

/** Counters since the start of the process. */
export interface IDistributionCounters {
  /** Configurations and revisions dropped because a newer one was applied. */
  readonly dropped: number;
  readonly storeFailures: number;
  readonly peerFailures: number;
  /** Member configurations applied from the store. */
  readonly appliedFromStore: number;
  /** Member configurations applied from peers. */
  readonly appliedFromPeers: number;
}
