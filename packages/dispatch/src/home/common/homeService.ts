/** The books of all services that this node is asked for. */
import type { Clock, Event, IDisposable, Logger } from '@parsleymux/base';
import { Emitter } from '@parsleymux/base';
import type { ITargetRecord } from '../../catalog/common/catalog.js';
import type { RequestQuarantine } from '../../quarantine/common/requestQuarantine.js';
import type { TenantAdmission } from '../../quotas/common/tenantAdmission.js';
import type { GrantPolicy } from './grantPolicy.js';
import type { IServiceBounds } from './serviceScheduler.js';
import { ServiceScheduler } from './serviceScheduler.js';

/** Grants that are overdue and requests that can't make it any more are looked for this often, in ms. */
const TICK_MS = 100;

/** Options of a {@link HomeService}. */
export interface IHomeServiceOptions extends IServiceBounds {
  readonly clock: Clock;
  readonly log: Logger;
  readonly quarantine: RequestQuarantine;
  /** Undefined where requests belong to no tenants. */
  readonly admission?: TenantAdmission | undefined;
  /** Makes the policy of each service. Default: that of {@link ServiceScheduler}. */
  readonly createPolicy?: () => GrantPolicy;
}

/**
 * Makes a scheduler when a service is first asked for. Nobody is appointed home: a node is one because
 * others ask it, so nothing has to be agreed on when the fleet changes.
 *
 * @example
 * const scheduler = homes.getBook('booking');
 */
export class HomeService implements IDisposable {
  private readonly schedulerCreated = new Emitter<string>();
  private readonly schedulers = new Map<string, ServiceScheduler>();
  private targetsByService = new Map<string, ITargetRecord[]>();
  private isTargetListReceived = false;
  private timer: IDisposable | undefined;
  private isStarted = false;

  /** Fires with a service that has a scheduler now, before anything is decided for it. */
  readonly onDidCreateScheduler: Event<string> = this.schedulerCreated.onDidFire;

  constructor(private options: IHomeServiceOptions) {}

  /** Looks after its books from now on, as long as it has any. */
  start(): void {
    this.isStarted = true;
    this.startTimer();
  }

  /**
   * Few nodes are home to anything, and each wake-up of a weak VM finds the processor's caches cold.
   */
  private startTimer(): void {
    if (!this.isStarted || this.schedulers.size === 0) return;
    this.timer = this.options.clock.startTimer(TICK_MS, () => {
      for (const scheduler of this.schedulers.values()) scheduler.advance();
      this.startTimer();
    });
  }

  /** Takes changed bounds for all services. */
  setBounds(bounds: IServiceBounds): void {
    this.options = { ...this.options, ...bounds };
    for (const scheduler of this.schedulers.values()) scheduler.setBounds(bounds);
  }

  /**
   * Whether targets are known at all. A home that has just started would otherwise refuse every
   * request of its services for want of targets, though the next home knows them.
   */
  get hasReceivedTargets(): boolean {
    return this.isTargetListReceived;
  }

  /** Takes all targets that are registered now. */
  setTargets(targets: readonly ITargetRecord[]): void {
    this.isTargetListReceived = true;
    this.targetsByService = new Map();
    for (const target of targets) {
      const ofService = this.targetsByService.get(target.service) ?? [];
      ofService.push(target);
      this.targetsByService.set(target.service, ofService);
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
    const scheduler = new ServiceScheduler({ ...this.options, ...policy, service });
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

  /** The scheduler of a service, if it was asked for before. */
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
