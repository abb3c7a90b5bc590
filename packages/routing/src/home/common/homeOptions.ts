/** What a home is made of. */
import type { Clock, InvariantRegistry, RandomSource } from '@parsleymux/base';
import type { ConfigService } from '@parsleymux/config';
import type { DispatchGuard } from '../../guard/common/dispatchGuard.js';
import type { EjectionLedger } from '../../ledger/common/ejectionLedger.js';
import type { TargetTransport } from '../../transport/common/targetTransport.js';

const DEFAULT_MAX_ANSWER_BYTES = 1_048_576;
const DEFAULT_MAX_IN_FLIGHT = 4000;

/** Bounds of one home. */
export interface IHomeLimits {
  /** Largest answer held until whole, in bytes. Default 1 MiB. */
  readonly maxAnswerBytes?: number;
  /** Requests queued or running on this node, for all members together. Default 4000. */
  readonly maxInFlight?: number;
}

/** Services and settings of a {@link LocalHomeService}. */
export interface IHomeOptions extends IHomeLimits {
  readonly configService: ConfigService;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly transport: TargetTransport;
  readonly guard: DispatchGuard;
  readonly ledger: EjectionLedger;
  readonly invariants: InvariantRegistry;
}

/** Options with every default filled in. */
export type IHomeContext = Required<IHomeOptions>;

/** Fills in the defaults. */
export function withHomeDefaults(options: IHomeOptions): IHomeContext {
  return {
    ...options,
    maxAnswerBytes: options.maxAnswerBytes ?? DEFAULT_MAX_ANSWER_BYTES,
    maxInFlight: options.maxInFlight ?? DEFAULT_MAX_IN_FLIGHT,
  };
}
