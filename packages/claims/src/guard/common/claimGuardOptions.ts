/** Options of the guard and their defaults. */
import { randomUUID } from 'node:crypto';
import type { Clock, InvariantRegistry, RandomSource } from '@parsleymux/base';
import type { ObjectStore, TableService } from '@parsleymux/store';
import { DEFAULT_RETENTION_S } from '../../expiry/common/retention.js';
import { ClaimMetrics } from '../../metrics/common/claimMetrics.js';
import type { OutcomeLookUp } from '../../outcome/common/outcomeLookUp.js';
import { NoOutcomeLookUp } from '../../outcome/common/outcomeLookUp.js';
import type { ClaimPeer } from '../../peer/common/claimPeer.js';
import { DEFAULT_GROUP_MS, GroupCommitter } from '../../store/common/groupCommitter.js';

const DEFAULT_MAX_RESPONSE_BYTES = 1 << 20;
const DEFAULT_MAX_ROW_BYTES = 8 << 10;
const DEFAULT_CLAIM_WAIT_MS = 1000;
const DEFAULT_RECORD_WAIT_MS = 500;
const DEFAULT_RESPONSE_MARGIN_MS = 50;
const DEFAULT_UNLISTED_RETRY_MS = 1000;
const DEFAULT_QUIET_PERIOD_MS = 60_000;

/** Options of a {@link ClaimGuard}. All times are in ms. */
export interface IClaimGuardOptions {
  readonly table: TableService;
  readonly objects: ObjectStore;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly invariants: InvariantRegistry;
  /** Peer address of this node, at which other nodes look up its claims. */
  readonly nodeAddress: string;
  readonly peer: ClaimPeer;
  /** Whether the platform lists the node or peers have reported it. Default: always true. */
  readonly isLive?: (address: string) => boolean;
  /** Default: no look-ups at the targets. */
  readonly lookUp?: OutcomeLookUp;
  /** Committer shared with other users of the table. Default: a separate one. */
  readonly committer?: GroupCommitter;
  /** Time that a claim waits for others to join its transaction. Default 2. */
  readonly groupMs?: number;
  /** Retention of claims, in s; see {@link Retention}. Default 604800. */
  readonly retentionS?: number;
  /** Default: metrics in a separate registry. */
  readonly metrics?: ClaimMetrics;
  /** Makes the token of an attempt; must be unique in the fleet for all time. Default: a random UUID. */
  readonly makeToken?: () => string;
  /** Maximum size of a recorded response, in bytes. Default 1 MiB. */
  readonly maxResponseBytes?: number;
  /** Maximum size of a body recorded in the row instead of an object, in bytes. Default 8 KiB. */
  readonly maxRowBytes?: number;
  /** Maximum time to resolve a claim after the response to its write was lost. Default 1000. */
  readonly claimWaitMs?: number;
  /** Maximum time that a response is delayed until it is recorded. Default 500. */
  readonly recordWaitMs?: number;
  /** Time before the deadline at which waiting for another attempt ends. Default 50. */
  readonly responseMarginMs?: number;
  /**
   * Time that an unresponsive, no longer listed claimer is retried before it counts as terminated.
   * Default 1000.
   */
  readonly unlistedRetryMs?: number;
  /** Minimum age of an unknown outcome at which the targets' "not run" is accepted. Default 60000. */
  readonly quietPeriodMs?: number;
}

/** Options with all defaults applied. */
export type CompleteGuardOptions = Required<IClaimGuardOptions>;

/**
 * Applies the defaults of omitted options.
 *
 * @example
 * const options = withGuardDefaults(givenOptions);
 */
export function withGuardDefaults(options: IClaimGuardOptions): CompleteGuardOptions {
  const { table, clock, random } = options;
  const groupMs = options.groupMs ?? DEFAULT_GROUP_MS;
  return {
    ...options,
    isLive: options.isLive ?? (() => true),
    lookUp: options.lookUp ?? new NoOutcomeLookUp(),
    groupMs,
    committer: options.committer ?? new GroupCommitter({ table, clock, random, groupMs }),
    metrics: options.metrics ?? new ClaimMetrics(),
    retentionS: options.retentionS ?? DEFAULT_RETENTION_S,
    // Not from the injected random source: two nodes with the same seed would generate the same
    // tokens, and each would treat the other's claim as its own.
    makeToken: options.makeToken ?? randomUUID,
    maxResponseBytes: options.maxResponseBytes ?? DEFAULT_MAX_RESPONSE_BYTES,
    maxRowBytes: options.maxRowBytes ?? DEFAULT_MAX_ROW_BYTES,
    claimWaitMs: options.claimWaitMs ?? DEFAULT_CLAIM_WAIT_MS,
    recordWaitMs: options.recordWaitMs ?? DEFAULT_RECORD_WAIT_MS,
    responseMarginMs: options.responseMarginMs ?? DEFAULT_RESPONSE_MARGIN_MS,
    unlistedRetryMs: options.unlistedRetryMs ?? DEFAULT_UNLISTED_RETRY_MS,
    quietPeriodMs: options.quietPeriodMs ?? DEFAULT_QUIET_PERIOD_MS,
  };
}
