/** What a configuration distributor is made of, and what it counts. */
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
  /** Peers that a node tells of each revision that it learnt. Default 3. */
  readonly fanOut?: number;
  /** Without word from store or peers for this long the node is isolated, in ms. Default 30000. */
  readonly isolationLimitMs?: number;
  /** Longest wait for one answer of store or peer, in ms. Default 3000. */
  readonly callTimeoutMs?: number;
  /** Holds what is applied. Default: one that never goes back. */
  readonly applied?: AppliedConfig;
}

/** What happened so far. */
export interface IDistributionCounters {
  /** Configurations and revisions dropped because a newer one was applied. */
  readonly dropped: number;
  readonly storeFailures: number;
  readonly peerFailures: number;
  /** Member configurations applied. */
  readonly appliedFromStore: number;
  readonly appliedFromPeers: number;
}
