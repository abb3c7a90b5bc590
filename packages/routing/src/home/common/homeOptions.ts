/** Options of a home and their defaults. */
import type { Clock, InvariantRegistry, RandomSource } from '@parsleymux/base';
import type { ConfigService } from '@parsleymux/config';
import type { Service } from '@parsleymux/schema';
import type { FailureDetector } from '../../detection/common/failureDetector.js';
import {
  getSequentialOptions,
  SequentialDetector,
} from '../../detection/common/sequentialDetector.js';
import type { TargetObserver } from '../../detection/common/targetObserver.js';
import { UnavailableObserver } from '../../detection/common/targetObserver.js';
import { HomeMetrics } from '../../metrics/common/homeMetrics.js';
import type { HealthStatus } from '../../target/common/targetHandle.js';
import type { DispatchGuard } from '../../guard/common/dispatchGuard.js';
import type { EjectionLedger } from '../../ledger/common/ejectionLedger.js';
import type { TargetTransport } from '../../transport/common/targetTransport.js';

const DEFAULT_MAX_RESPONSE_BYTES = 1_048_576;
const DEFAULT_MAX_IN_FLIGHT = 4000;
const DEFAULT_HEALTH_PATH = '/health';

/** Limits of the home on one node. */
export interface IHomeLimits {
  /** Maximum size of a buffered response in bytes. Default 1 MiB. */
  readonly maxResponseBytes?: number;
  /** Maximum number of requests queued or running on this node, over all members. Default 4000. */
  readonly maxInFlight?: number;
}

/** A change of the health status of a target. */
export interface IHealthStatusChange {
  readonly member: string;
  readonly service: string;
  readonly target: string;
  readonly standing: HealthStatus;
  readonly reason: string;
  /** Instant on the monotonic clock, in ms. */
  readonly atMs: number;
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
  /** Observes targets over other paths. Default: no observations are available. */
  readonly observer?: TargetObserver;
  /** Creates the detector of a service. Default: a SequentialDetector for the service's preference. */
  readonly createDetector?: (service: Service) => FailureDetector;
  readonly metrics?: HomeMetrics;
  /** Called on every change of a health status. */
  readonly onHealthStatusChange?: (change: IHealthStatusChange) => void;
  /** Path of targets for probes, and for trials until a request was recorded. Default '/health'. */
  readonly healthPath?: string;
  /** Whether a second attempt is sent in parallel to an overdue idempotent one. Default true. */
  readonly hedges?: boolean;
}

/** Options with all defaults applied. */
export type IHomeContext = Required<IHomeOptions>;

/** Applies the defaults. */
export function withHomeDefaults(options: IHomeOptions): IHomeContext {
  return {
    ...options,
    maxResponseBytes: options.maxResponseBytes ?? DEFAULT_MAX_RESPONSE_BYTES,
    observer: options.observer ?? new UnavailableObserver(),
    createDetector: options.createDetector ?? createDefaultDetector,
    metrics: options.metrics ?? new HomeMetrics(),
    onHealthStatusChange: options.onHealthStatusChange ?? (() => undefined),
    healthPath: options.healthPath ?? DEFAULT_HEALTH_PATH,
    hedges: options.hedges ?? true,
    maxInFlight: options.maxInFlight ?? DEFAULT_MAX_IN_FLIGHT,
  };
}

function createDefaultDetector(service: Service): FailureDetector {
  return new SequentialDetector(getSequentialOptions(service.detection));
}
