/** The operator's rows of a store that may come back from an older copy, on simulated time. */
import type { ManualClock } from '@parsleymux/base';
import type { ICatalog } from '../catalog/common/catalog.js';
import type { ITableChanges } from '../directory/common/authority.js';
import { makeCatalog, makeRoute } from './builders.js';

const KEYS = 12;
/** The operator writes again what the store has lost after this time, in ms. */
const REWRITE_DELAY_MS = 1500;
/** The one route of the configuration. */
export const ROUTE = makeRoute();

/** Rows of the operator at one version. */
interface IStoreCopy {
  readonly configVersion: number;
  readonly keys: readonly string[];
  readonly version: number;
}

/** The store's rows of the operator; calls are counted. */
export class ModelledKeyStore {
  calls = 0;
  version = 1;
  era = 1;
  /** Counts the operator's configurations; it never goes back. */
  private configVersion = 1;
  private keys: readonly string[] = Array.from({ length: KEYS }, (_, index) => `key-${index}`);
  private copies: readonly IStoreCopy[] = [];
  /** What the operator wrote last, whatever the store holds. */
  private lastWritten = this.copy();
  /** When each key ended. */
  readonly endedMs = new Map<string, number>();

  constructor(private readonly clock: ManualClock) {}

  endKey(): void {
    const [first, ...rest] = this.keys;
    if (first === undefined || rest.length === 0) return;
    this.copies = [...this.copies, this.copy()];
    this.keys = rest;
    this.version += 1;
    this.configVersion += 1;
    this.lastWritten = this.copy();
    this.endedMs.set(first, this.clock.getMonotonicTime());
  }

  /** Comes back from a copy of before the last `lost` changes; the operator writes again a moment later. */
  restore(lost: number): void {
    const copy = this.copies.at(-lost);
    if (copy === undefined) return;
    this.era += 1;
    this.load(copy, copy.version);
    this.clock.startTimer(REWRITE_DELAY_MS, () => {
      this.load(this.lastWritten, this.version + 1);
    });
  }

  private load({ configVersion, keys }: IStoreCopy, version: number): void {
    this.keys = keys;
    this.configVersion = configVersion;
    this.version = version;
  }

  private copy(): IStoreCopy {
    const { configVersion, keys, version } = this;
    return { configVersion, keys, version };
  }

  /** A key that holds to the end. */
  get lastKey(): string {
    return this.keys.at(-1) ?? '';
  }

  makeCatalogRows(): ITableChanges<ICatalog> {
    const tenants = this.keys.map((key) => ({ name: `tenant-${key}`, keys: [key], burst: 0 }));
    const value = { ...makeCatalog(this.configVersion, [ROUTE]), tenants };
    const { era, version } = this;
    return { era, version, changes: [{ key: 'config', value }] };
  }
}
