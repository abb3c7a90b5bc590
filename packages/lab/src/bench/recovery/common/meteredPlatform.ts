/** An in-memory platform that counts reads per second and refuses reads above its rate limit. */
import type { Clock } from '@parsleymux/base';
import type { IMemoryPlatform } from '@parsleymux/config/testing';
import type {
  IPlatform,
  IScanOptions,
  ITableRow,
  ITableTransaction,
  ITransactionResult,
  IVm,
} from '@parsleymux/store';
import {
  ObjectStore,
  PlatformError,
  PlatformFailure,
  TableService,
  VmList,
} from '@parsleymux/store';

const MS_PER_SECOND = 1000;

/** Read load since the last reset. */
export interface IMeteredLoad {
  readonly reads: number;
  readonly refused: number;
  /** Highest number of reads requested within one second of the clock. */
  readonly peakReadsPerSecond: number;
}

/** Options of a {@link MeteredPlatform}. */
export interface IMeteredPlatformOptions {
  readonly inner: IMemoryPlatform;
  readonly clock: Clock;
  /** Duration of one operation, in ms. */
  readonly delayMs: number;
  /** Reads served per second; further reads are refused. 0 means no limit. */
  readonly readsPerSecond: number;
}

/**
 * Meters the reads of all three services together.
 *
 * @example
 * const platform = new MeteredPlatform({ inner, clock, delayMs: 5, readsPerSecond: 2000 });
 */
export class MeteredPlatform implements IPlatform {
  readonly table: TableService;
  readonly objects: ObjectStore;
  readonly vms: VmList;
  listedVms: readonly IVm[] = [];
  isUnavailable = false;
  private readonly readsBySecond = new Map<number, number>();
  private refused = 0;

  constructor(private readonly options: IMeteredPlatformOptions) {
    this.table = new MeteredTable(this, options.inner.table);
    this.objects = new MeteredObjects(this, options.inner.objects);
    this.vms = new MeteredVmList(this);
  }

  /** Resets the counters. */
  reset(): void {
    this.readsBySecond.clear();
    this.refused = 0;
  }

  getLoad(): IMeteredLoad {
    const counts = [...this.readsBySecond.values()];
    return {
      reads: counts.reduce((sum, count) => sum + count, 0),
      refused: this.refused,
      peakReadsPerSecond: Math.max(0, ...counts),
    };
  }

  /** Counts one read, and refuses it if the limit is exceeded or the platform is unavailable. */
  async acceptRead(): Promise<void> {
    const { clock, delayMs, readsPerSecond } = this.options;
    const second = Math.floor(clock.getMonotonicTime() / MS_PER_SECOND);
    const count = (this.readsBySecond.get(second) ?? 0) + 1;
    this.readsBySecond.set(second, count);
    await clock.sleep(delayMs);
    const isOverLimit = readsPerSecond > 0 && count > readsPerSecond;
    if (!isOverLimit && !this.isUnavailable) return;
    this.refused += 1;
    throw new PlatformError(PlatformFailure.Refused, 'refused');
  }
}

class MeteredTable extends TableService {
  constructor(
    private readonly meter: MeteredPlatform,
    private readonly inner: TableService,
  ) {
    super();
  }

  override async read(keys: readonly string[]): Promise<readonly ITableRow[]> {
    await this.meter.acceptRead();
    return this.inner.read(keys);
  }

  override async scan(options: IScanOptions): Promise<readonly ITableRow[]> {
    await this.meter.acceptRead();
    return this.inner.scan(options);
  }

  override transact(transaction: ITableTransaction): Promise<ITransactionResult> {
    return this.inner.transact(transaction);
  }
}

class MeteredObjects extends ObjectStore {
  constructor(
    private readonly meter: MeteredPlatform,
    private readonly inner: ObjectStore,
  ) {
    super();
  }

  override async get(key: string): Promise<Uint8Array | undefined> {
    await this.meter.acceptRead();
    return this.inner.get(key);
  }

  override put(key: string, bytes: Uint8Array): Promise<void> {
    return this.inner.put(key, bytes);
  }

  override list(prefix: string): Promise<readonly string[]> {
    return this.inner.list(prefix);
  }
}

class MeteredVmList extends VmList {
  constructor(private readonly meter: MeteredPlatform) {
    super();
  }

  override async list(): Promise<readonly IVm[]> {
    await this.meter.acceptRead();
    return this.meter.listedVms;
  }
}
