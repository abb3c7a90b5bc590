/** Reads the configuration, and stores its tenants in a separate table. */
import type { Clock, IInstant } from '@parsleymux/base';
import { measureElapsedMs, readInstant } from '@parsleymux/base';
import type { ICatalog } from '@parsleymux/scheduling';
import { mergeCatalog } from '../../catalog/common/catalogPatch.js';
import type { ITableChange, ITableChanges, ITableState } from './authority.js';
import { AuthorityTable } from './authority.js';
import type { NodeDirectory } from './nodeDirectory.js';

/** After a restore of the store, the operator's changes are written again within this time, in ms. */
const REWRITE_GRACE_MS = 2500;

/** Options of a {@link CatalogSource}. */
export interface ICatalogSourceOptions {
  readonly source: AuthorityTable<ICatalog>;
  readonly directory: NodeDirectory;
  readonly clock: Clock;
}

/**
 * Splits each configuration that it reads into its tenants and the rest. The authority stores both as one
 * entry; if nodes replicated it like that, a change of one tenant would send all tenants to every node.
 *
 * @example
 * const source = new CatalogSource({ source: authority.catalog, directory, clock });
 */
export class CatalogSource extends AuthorityTable<ICatalog> {
  private newestEra: number | undefined;
  /** When the read was sent that returned a newer epoch. */
  private restoredAt: IInstant | undefined;

  constructor(private readonly options: ICatalogSourceOptions) {
    super();
  }

  override get malformedRows(): number {
    return this.options.source.malformedRows;
  }

  override async readAll(
    signal: AbortSignal,
    onDidRespond?: () => void,
  ): Promise<ITableChanges<ICatalog>> {
    const sentAt = readInstant(this.options.clock);
    const content = await this.options.source.readAll(signal, onDidRespond);
    if (content.changes.length === 0) this.advanceTenants(content);
    return this.applyRead(content, sentAt);
  }

  override async readChanges(
    after: number,
    waitMs: number,
    signal: AbortSignal,
    onDidRespond?: () => void,
  ): Promise<ITableChanges<ICatalog>> {
    if (this.isBehind(after)) return this.readAll(signal, onDidRespond);
    const sentAt = readInstant(this.options.clock);
    const { source } = this.options;
    const content = await source.readChanges(after, waitMs, signal, onDidRespond);
    return this.applyRead(content, sentAt);
  }

  /** Whether the tenants are older than the configuration, as peers replicate them separately. */
  private isBehind(version: number): boolean {
    const { directory } = this.options;
    const { catalog, tenants } = directory;
    if (directory.getCatalog()?.requiresKeys !== true) return false;
    return tenants.era < catalog.era || (tenants.version ?? -Infinity) < version;
  }

  private applyRead(content: ITableChanges<ICatalog>, sentAt: IInstant): ITableChanges<ICatalog> {
    if (content.isPartial === true) return content;
    const { tenants } = this.options.directory;
    const changes = content.changes.map((change) => this.applyEntry(change, content));
    const readMs = sentAt.monotonicMs;
    // The tenants didn't change up to this version.
    if (tenants.version !== undefined && tenants.version < content.version) {
      tenants.apply(tenants.version, { ...content, changes: [] }, readMs);
    }
    if (this.isSettled(content, sentAt)) tenants.recordProof(this.getState(content), sentAt);
    return { ...content, changes };
  }

  /**
   * Whether a read is proof that the tenants are current. After a restore from an older copy it isn't, until
   * the operator's changes have been written again: the restored list contains keys that were revoked.
   */
  private isSettled({ era = 0 }: ITableChanges<ICatalog>, sentAt: IInstant): boolean {
    if (era > (this.newestEra ?? -Infinity)) {
      if (this.newestEra !== undefined) this.restoredAt = sentAt;
      this.newestEra = era;
    }
    if (this.restoredAt === undefined) return true;
    return measureElapsedMs(this.options.clock, this.restoredAt) >= REWRITE_GRACE_MS;
  }

  /** The state of the tenants after a read. Entries retained over a restore are newer than the read. */
  private getState({ era = 0, version }: ITableChanges<ICatalog>): ITableState {
    return { era, version, isRetained: this.options.directory.tenants.isRetaining };
  }

  private applyEntry(change: ITableChange<ICatalog>, state: ITableState): ITableChange<ICatalog> {
    if (change.value === undefined) return change;
    const { tenants, ...catalog } = change.value;
    const { clock, directory } = this.options;
    const isOlder = catalog.version < (directory.getCatalog()?.version ?? -Infinity);
    const isNeeded = tenants !== undefined || directory.tenants.version !== undefined;
    if (isNeeded && !isOlder) {
      const rows = (tenants ?? []).map((tenant) => ({ key: tenant.name, value: tenant }));
      const { era = 0, version } = state;
      const content = { era, isRetained: false, version, changes: rows };
      directory.tenants.setAll(content, clock.getMonotonicTime());
    }
    if (isNeeded && isOlder) this.advanceTenants(state);
    const value = { ...catalog, requiresKeys: tenants !== undefined };
    const known = directory.getCatalog();
    return { key: change.key, value: known === undefined ? value : mergeCatalog(known, value) };
  }

  /** Keeps the tenants of a configuration that stays in force although the authority lacks it. */
  private advanceTenants({ era = 0, version }: ITableState): void {
    const { clock, directory } = this.options;
    directory.tenants.advanceEra(era, version, clock.getMonotonicTime());
  }
}
