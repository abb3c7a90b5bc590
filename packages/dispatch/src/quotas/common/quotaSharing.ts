/** Exchanges the request rates of tenants between active homes. */
import { create } from '@bufbuild/protobuf';
import type { Clock, IDisposable } from '@parsleymux/base';
import type { TenantUse } from '@parsleymux/schema';
import { TenantRateSchema, TenantUseSchema } from '@parsleymux/schema';
import type { DatagramChannel } from '../../grants/common/datagramChannel.js';
import { toUint32 } from '../../grants/common/integerFields.js';
import { ACTIVE_MS, SHARE_INTERVAL_MS } from '@parsleymux/scheduling';
import type { HomeService, QuotaShares } from '@parsleymux/scheduling';

/** Number of homes per service that receive announcements: the active one and its successor. */
const INFORMED_HOMES = 2;
const MILLI = 1000;
/** Most tenants in one datagram, some 20 bytes each. Those with the highest rates are sent. */
const MAX_TENANTS = 100;

/** Options of a {@link QuotaSharing}. */
export interface IQuotaSharingOptions {
  readonly channel: DatagramChannel;
  readonly clock: Clock;
  readonly homes: HomeService;
  readonly shares: QuotaShares;
  /** Whether any tenant has a limit. */
  readonly hasQuotas: () => boolean;
  /** The mean rate limit of a tenant, in requests per second; undefined without a limit. */
  readonly getLimit: (tenant: string) => number | undefined;
  /** Homes of a service in order of preference. */
  readonly rankHomes: (service: string) => readonly string[];
}

/**
 * Announces this home's rates and receives those of other homes.
 *
 * @example
 * sharing.start();
 */
export class QuotaSharing implements IDisposable {
  private timer: IDisposable | undefined;
  private schedulerListener: IDisposable | undefined;

  constructor(private readonly options: IQuotaSharingOptions) {}

  /** Starts announcing after the first grant request to this node; most nodes never receive one. */
  start(): void {
    if (this.options.homes.listSchedulers().length > 0) this.startTimer();
    else
      this.schedulerListener = this.options.homes.onDidCreateScheduler(() => {
        void this.schedulerListener?.dispose();
        this.startTimer();
      });
  }

  /** Records the announcement of another home. */
  handleTenantUse(sender: string, { atWorkMs, tenants, totalMilli }: TenantUse): void {
    const rates = tenants.map(({ near: isNearLimit, rateMilli, tenant }) => {
      return [tenant, { perS: rateMilli / MILLI, isNearLimit }] as const;
    });
    const total = totalMilli / MILLI;
    this.options.shares.recordRemoteUse(sender, { atWorkMs, total, tenants: new Map(rates) });
  }

  dispose(): void {
    void this.schedulerListener?.dispose();
    void this.timer?.dispose();
  }

  private startTimer(): void {
    this.timer = this.options.clock.startTimer(SHARE_INTERVAL_MS, () => {
      this.announce();
      this.startTimer();
    });
  }

  private announce(): void {
    const { channel, getLimit, hasQuotas, homes, shares } = this.options;
    const isActive = homes.listSchedulers().some(([, scheduler]) => scheduler.isActive(ACTIVE_MS));
    if (!isActive || !hasQuotas()) return;
    shares.clearIdle();
    const use = shares.summarize(getLimit);
    const rates = [...use.tenants].sort(([, left], [, right]) => right.perS - left.perS);
    const value = create(TenantUseSchema, {
      atWorkMs: toUint32(use.atWorkMs),
      totalMilli: toUint32(use.total * MILLI),
      tenants: rates.slice(0, MAX_TENANTS).map(([tenant, { isNearLimit: near, perS }]) => {
        return create(TenantRateSchema, { tenant, near, rateMilli: toUint32(perS * MILLI) });
      }),
    });
    for (const home of this.listHomes()) {
      if (home !== channel.address) channel.send(home, { case: 'tenantUse', value });
    }
  }

  private listHomes(): ReadonlySet<string> {
    const { homes, rankHomes } = this.options;
    const services = homes.listServices();
    return new Set(services.flatMap((service) => rankHomes(service).slice(0, INFORMED_HOMES)));
  }
}
