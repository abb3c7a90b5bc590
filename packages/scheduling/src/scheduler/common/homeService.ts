/** The schedulers of all services for which this node receives grant requests. */
import type { Clock, Event, IDisposable, Logger } from '@parsleymux/base';
import { Emitter } from '@parsleymux/base';
import type { ITargetRecord } from '../../catalog/common/catalog.js';
import type { RequestQuarantine } from '../../quarantine/common/requestQuarantine.js';
import type { RequestAdmission } from '../../quotas/common/requestAdmission.js';
import type { GrantPolicy } from '../../admission/common/grantPolicy.js';
import type { IServiceBounds } from './serviceModel.js';
import { ServiceScheduler } from './serviceScheduler.js';

/** Interval between checks for overdue grants and for queued requests that can't finish in time, in ms. */
const TICK_MS = 100;

/** Options of a {@link HomeService}. */
export interface IHomeServiceOptions extends IServiceBounds {
  readonly clock: Clock;
  readonly log: Logger;
  readonly quarantine: RequestQuarantine;
  /** Undefined if requests are not assigned to tenants. */
  readonly admission?: RequestAdmission | undefined;
  /** Creates the policy of each service. Default: that of {@link ServiceScheduler}. */
  readonly createPolicy?: () => GrantPolicy;
}

/**
 * Creates a scheduler at the first grant request for a service. Homes are not elected: a node is the
 * home of a service because other nodes send it grant requests, so a change of the fleet requires no
 * agreement.
 *
 * @example
 * const scheduler = homes.getScheduler('booking');
 */
export class HomeService implements IDisposable {
  private readonly schedulerCreated = new Emitter<string>();
  private readonly willDecide = new Emitter<string>();
  private readonly schedulers = new Map<string, ServiceScheduler>();
  private targetsByService = new Map<string, ITargetRecord[]>();
  private isTargetListReceived = false;
  private timer: IDisposable | undefined;
  private isStarted = false;

  /** Fires with the service of a new scheduler, before the scheduler makes any decision. */
  readonly onDidCreateScheduler: Event<string> = this.schedulerCreated.onDidFire;

  /** Fires with the service of each grant request, before any decision on it. */
  readonly onWillDecide: Event<string> = this.willDecide.onDidFire;

  constructor(private options: IHomeServiceOptions) {}

  /** Starts the periodic checks, which run while there are schedulers. */
  start(): void {
    this.isStarted = true;
    this.startTimer();
  }

  /**
   * Does nothing without schedulers: few nodes are homes, and on a small VM every timer runs with cold
   * processor caches.
   */
  private startTimer(): void {
    if (!this.isStarted || this.schedulers.size === 0) return;
    this.timer = this.options.clock.startTimer(TICK_MS, () => {
      for (const scheduler of this.schedulers.values()) scheduler.advance();
      this.startTimer();
    });
  }

  /** Changes the limits of all services. */
  setBounds(bounds: IServiceBounds): void {
    this.options = { ...this.options, ...bounds };
    for (const scheduler of this.schedulers.values()) scheduler.setBounds(bounds);
  }

  /**
   * Whether a list of targets has been received. Without this check, a home that has just started
   * would reject all requests for lack of targets although the next home has the list.
   */
  get hasReceivedTargets(): boolean {
    return this.isTargetListReceived;
  }

  /** Replaces the list of registered targets. */
  setTargets(targets: readonly ITargetRecord[]): void {
    this.isTargetListReceived = true;
    this.targetsByService = new Map();
    for (const target of targets) {
      const serviceTargets = this.targetsByService.get(target.service) ?? [];
      serviceTargets.push(target);
      this.targetsByService.set(target.service, serviceTargets);
    }
    for (const [service, scheduler] of this.schedulers) {
      scheduler.setTargets(this.listTargets(service));
    }
  }

  listTargets(service: string): readonly ITargetRecord[] {
    return this.targetsByService.get(service) ?? [];
  }

  getScheduler(service: string): ServiceScheduler {
    const known = this.schedulers.get(service);
    if (known !== undefined) return known;
    const { createPolicy } = this.options;
    const policy = createPolicy === undefined ? {} : { policy: createPolicy() };
    const onWillDecide = () => {
      this.willDecide.fire(service);
    };
    const scheduler = new ServiceScheduler({ ...this.options, ...policy, service, onWillDecide });
    scheduler.setTargets(this.listTargets(service));
    this.schedulers.set(service, scheduler);
    if (this.schedulers.size === 1) this.startTimer();
    this.schedulerCreated.fire(service);
    return scheduler;
  }

  /** Services that have targets. */
  listServices(): readonly string[] {
    return [...this.targetsByService.keys()];
  }

  /** The scheduler of a service, or undefined before the first grant request for it. */
  findScheduler(service: string): ServiceScheduler | undefined {
    return this.schedulers.get(service);
  }

  listSchedulers(): readonly (readonly [service: string, scheduler: ServiceScheduler])[] {
    return [...this.schedulers];
  }

  dispose(): void {
    this.isStarted = false;
    void this.timer?.dispose();
  }
}
