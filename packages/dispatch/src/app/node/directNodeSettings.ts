/** The settings with which a node that dispatches directly is started. */
import type { ISchedulingSettings, ITenantBounds } from '@parsleymux/scheduling';

/** Maximum numbers of open connections, which leave descriptors for the node's own. */
export interface IConnectionLimits {
  readonly callers: number;
  /** At each of the addresses for peers, readiness and metrics. */
  readonly others: number;
}

/** Settings of a node that dispatches directly. */
export interface IDirectNodeSettings {
  readonly name: string;
  readonly failureDomain: string;
  /** Addresses to listen on, each an IP address and a port. */
  readonly frontAddress: string;
  readonly readyAddress: string;
  readonly datagramAddress: string;
  readonly stateAddress: string;
  readonly metricsAddress: string;
  /** Datagram addresses of nodes that may be running when this one starts. */
  readonly seeds: readonly string[];
  /** Whether the fleet starts for the first time. */
  readonly isFirstStart: boolean;
  /** Retry limit of one service for all nodes together: window in ms, ratio to requests, and burst. */
  readonly retryWindowMs: number;
  readonly retryRatio: number;
  readonly retryBurst: number;
  /** Share of a service's healthy targets that stay in use while many requests fail. */
  readonly floorShare: number;
  readonly tenants: ITenantBounds;
  /** The optional parts of the scheduling. Default: all off. */
  readonly scheduling?: ISchedulingSettings;
  /** Time from the signal to stop until the process is killed, in ms. */
  readonly graceMs: number;
  /** Capacity of the VM for work on behalf of other nodes, relative to other VMs. */
  readonly capacity: number;
  /** Rate of the VM's link, in bytes per ms; undefined if unknown. */
  readonly linkBytesPerMs?: number | undefined;
  /** Memory for incomplete responses of targets, in bytes. Default: 64 MiB, for a VM of 256 MiB. */
  readonly responseMemoryBytes?: number | undefined;
  /** Memory for what callers send and for responses that they have not read, in bytes. Default: 80 MiB. */
  readonly callerMemoryBytes?: number | undefined;
  /** Maximum numbers of connections. Default: those of a VM with 4096 descriptors. */
  readonly connections?: IConnectionLimits | undefined;
}
