/** Homes of services on this node, created on demand from the current configuration. */
import type { IDisposable } from '@parsleymux/base';
import type { Service, ShardStatus } from '@parsleymux/schema';
import type { IResponse, IRoutedRequest } from '../../request/common/request.js';
import { FairShares } from '../../limits/common/fairShares.js';
import { makeMemberLimit, makeNoTarget } from '../../refusal/common/refusals.js';
import type { IHomeContext, IHomeOptions } from './homeOptions.js';
import { withHomeDefaults } from './homeOptions.js';
import { HomeService } from './homeService.js';
import { ServiceHome } from './serviceHome.js';
import { describeShard } from './shardStatus.js';

const RETRY_AFTER_MS = 1000;
const SWEEP_INTERVAL_MS = 30_000;
/**
 * A home without requests for this time is closed, in ms. Placement moves services between nodes;
 * without a limit each node would eventually keep state and ledger polls for every service.
 */
const IDLE_LIMIT_MS = 120_000;

/**
 * Serves requests on this node.
 *
 * @example
 * const home = new LocalHomeService({ configService, clock, random, transport, guard, ledger, invariants });
 * const response = await home.handle(request, signal);
 */
export class LocalHomeService extends HomeService implements IDisposable {
  private readonly context: IHomeContext;
  private readonly homes = new Map<string, ServiceHome>();
  private readonly shares: FairShares;
  private readonly subscription: IDisposable;
  private readonly abort = new AbortController();

  constructor(options: IHomeOptions) {
    super();
    this.context = withHomeDefaults(options);
    this.shares = new FairShares({ capacity: this.context.maxInFlight });
    this.subscription = options.configService.onDidChange((change) => {
      this.update(change.members);
    });
    void this.closeIdle().catch(() => undefined);
  }

  override async handle(request: IRoutedRequest, signal: AbortSignal): Promise<IResponse> {
    const home = this.findHome(request.member, request.route.service);
    if (home === undefined) throw makeNoTarget(this.context.random.getJittered(RETRY_AFTER_MS));
    const release = this.shares.reserve(request.member, 1);
    if (release === undefined)
      throw makeMemberLimit(this.context.random.getJittered(RETRY_AFTER_MS));
    try {
      return await home.handle(request, signal);
    } finally {
      release();
    }
  }

  override getSpareSlots(member: string, service: string): number {
    return this.findHome(member, service)?.pool.getSpare() ?? 0;
  }

  override getInFlight(): number {
    return this.shares.getTotal();
  }

  override getStatus(): readonly ShardStatus[] {
    return [...this.homes.values()].map((home) => describeShard(home, this.context));
  }

  async dispose(): Promise<void> {
    this.abort.abort(new Error('home service was closed'));
    await this.subscription.dispose();
    for (const home of this.homes.values()) home.dispose();
  }

  private async closeIdle(): Promise<void> {
    const { clock } = this.context;
    for (;;) {
      await clock.sleep(SWEEP_INTERVAL_MS, this.abort.signal);
      const limitMs = clock.getMonotonicTime() - IDLE_LIMIT_MS;
      for (const [key, home] of this.homes) {
        if (home.inFlight > 0 || home.lastUsedMs > limitMs) continue;
        this.homes.delete(key);
        home.dispose();
      }
    }
  }

  private findHome(member: string, serviceName: string): ServiceHome | undefined {
    const key = formatKey(member, serviceName);
    const existing = this.homes.get(key);
    if (existing !== undefined) return existing;
    const service = this.findService(member, serviceName);
    if (service === undefined) return undefined;
    const home = new ServiceHome({ context: this.context, member, service });
    this.homes.set(key, home);
    return home;
  }

  private findService(member: string, serviceName: string): Service | undefined {
    const config = this.context.configService.getCurrent().members.get(member);
    return config?.intent?.services.find((service) => service.name === serviceName);
  }

  private update(members: readonly string[]): void {
    const changed = new Set(members);
    for (const [key, home] of this.homes) {
      if (!changed.has(home.member)) continue;
      const service = this.findService(home.member, home.getService().name);
      if (service !== undefined) {
        home.update(service);
        continue;
      }
      this.homes.delete(key);
      home.dispose();
    }
  }
}

function formatKey(member: string, service: string): string {
  return `${member}/${service}`;
}
