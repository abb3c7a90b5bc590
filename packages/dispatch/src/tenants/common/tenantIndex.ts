/** Finds tenants by name and by key. */
import type { ITableChange } from '../../directory/common/authority.js';
import type { ITenantRule } from '@parsleymux/scheduling';

/**
 * Applies changes of the tenant table incrementally, so that the cost of a change does not depend on the
 * number of tenants.
 *
 * @example
 * table.onDidChange((changes) => index.apply(changes));
 * const tenant = index.findByKey(digest);
 */
export class TenantIndex {
  private readonly byName = new Map<string, ITenantRule>();
  private readonly byKey = new Map<string, ITenantRule>();

  get size(): number {
    return this.byName.size;
  }

  findByKey(digest: string): ITenantRule | undefined {
    return this.byKey.get(digest);
  }

  find(name: string): ITenantRule | undefined {
    return this.byName.get(name);
  }

  list(): Iterable<ITenantRule> {
    return this.byName.values();
  }

  apply(changes: readonly ITableChange<ITenantRule>[]): void {
    // A key may move from one tenant to another, so all former entries are removed first.
    for (const { key: name } of changes) this.remove(name);
    for (const { value } of changes) if (value !== undefined) this.add(value);
  }

  private add(tenant: ITenantRule): void {
    this.byName.set(tenant.name, tenant);
    for (const digest of tenant.keys) this.byKey.set(digest, tenant);
  }

  private remove(name: string): void {
    const known = this.byName.get(name);
    if (known === undefined) return;
    this.byName.delete(name);
    for (const digest of known.keys) {
      if (this.byKey.get(digest) === known) this.byKey.delete(digest);
    }
  }
}
