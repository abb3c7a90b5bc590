/** Tracks whether this node is the home of a service at present. */
import type { Clock } from '@parsleymux/base';
import type { ServiceLog } from './serviceLog.js';
import type { ServiceModel } from './serviceModel.js';

/** A grant request after this idle time is logged as a takeover, in ms: the length of a retry window. */
const TAKEOVER_IDLE_MS = 10_000;

/** Options of a {@link HomeActivity}. */
export interface IHomeActivityOptions {
  readonly clock: Clock;
  readonly model: ServiceModel;
  readonly serviceLog: ServiceLog;
  /** Called at each grant request, before any decision on it. */
  readonly onWillDecide?: (() => void) | undefined;
}

/**
 * A node is the home of a service while it receives grant requests. After a pause, it may have taken over
 * from another home.
 *
 * @example
 * activity.recordRequest();
 * activity.isActive(1500); // true
 */
export class HomeActivity {
  private lastRequestMs = -Infinity;

  constructor(private readonly options: IHomeActivityOptions) {}

  /** Records a grant request; logs the state of a home that received none for a while. */
  recordRequest(): void {
    const { clock, model, onWillDecide, serviceLog } = this.options;
    onWillDecide?.();
    const nowMs = clock.getMonotonicTime();
    if (nowMs - this.lastRequestMs >= TAKEOVER_IDLE_MS) {
      serviceLog.logTakeover({
        knowsRetries: model.retries.isComplete(nowMs),
        retriesElsewhere: model.retries.countPeerRetries(nowMs),
        targets: model.targets.size,
      });
    }
    this.lastRequestMs = nowMs;
  }

  /** Whether a grant request was received within the last `windowMs`. */
  isActive(windowMs: number): boolean {
    return this.options.clock.getMonotonicTime() - this.lastRequestMs < windowMs;
  }
}
