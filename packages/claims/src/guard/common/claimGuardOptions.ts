/** Options of the guard, and what is taken where they are left out. */
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
  /** Peer address of this node, under which other nodes ask it about its claims. */
  readonly nodeAddress: string;
  readonly peer: ClaimPeer;
  /** Whether the platform still lists the node, or it was heard of. Default: always. */
  readonly isLive?: (address: string) => boolean;
  /** Default: no route can be asked. */
  readonly lookUp?: OutcomeLookUp;
  /** Shared with other users of the table, or undefined for one of its own. */
  readonly committer?: GroupCommitter;
  /** Time that a claim waits for others to be committed with. Default 2. */
  readonly groupMs?: number;
  /** Time that records are kept, in s; see {@link Retention}. Default 604800. */
  readonly retentionS?: number;
  /** Default: counters of its own registry. */
  readonly metrics?: ClaimMetrics;
  /** Name of a new attempt; must be unique in the fleet for ever. Default: a random UUID. */
  readonly makeToken?: () => string;
  /** Largest answer that is kept, in bytes. Default 1 MiB. */
  readonly maxResponseBytes?: number;
  /** Largest body recorded in the row rather than in an object, in bytes. Default 8 KiB. */
  readonly maxRowBytes?: number;
  /** Longest wait for the fate of a claim whose answer was lost. Default 1000. */
  readonly claimWaitMs?: number;
  /** Longest time that an answer is held back for its record. Default 500. */
  readonly recordWaitMs?: number;
  /** Time before the deadline at which waiting for another's run ends. Default 50. */
  readonly responseMarginMs?: number;
  /** Longest time that a claimer listed as gone is asked again. Default 1000. */
  readonly unlistedRetryMs?: number;
  /** Time after an unknown outcome from which a target's "never ran" counts. Default 60000. */
  readonly quietPeriodMs?: number;
}

/** Options with nothing left out. */
export type CompleteGuardOptions = Required<IClaimGuardOptions>;

/**
 * Fills in what is left out.
 *
 * @example
 * const options = withGuardDefaults(given);
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
    // Not from the injected source: two nodes seeded alike would make the same tokens, and
    // each would take the other's claim for its own.
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
