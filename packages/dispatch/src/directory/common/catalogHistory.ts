/** Recent versions of the configuration, from which patches for other nodes are computed. */
import type { ICatalog } from '@parsleymux/scheduling';
import type { ICatalogPatch } from '../../catalog/common/catalogPatch.js';
import { applyCatalogPatch, computeCatalogPatch } from '../../catalog/common/catalogPatch.js';

/** Versions kept, including the current one; nodes that are further behind fetch the whole configuration. */
const MAX_VERSIONS = 16;

/**
 * Holds the version in force and some before it. Nodes send each other patches between versions, so that a
 * change costs in proportion to what it changes.
 *
 * @example
 * const patch = history.encodePatch(peerVersion);
 */
export class CatalogHistory {
  private readonly versions: ICatalog[] = [];
  /** Patches to the current version by their base, each computed once for all peers. */
  private readonly patches = new Map<number, Uint8Array | undefined>();

  /** Version in force; 0 if none is known. */
  get version(): number {
    return this.current?.version ?? 0;
  }

  private get current(): ICatalog | undefined {
    return this.versions[this.versions.length - 1];
  }

  /** Records a version that came into force. */
  record(catalog: ICatalog): void {
    this.versions.push(catalog);
    if (this.versions.length > MAX_VERSIONS) this.versions.shift();
    this.patches.clear();
  }

  /** Encodes the patch from version `base` to the one in force; undefined if `base` isn't known any more. */
  encodePatch(base: number): Uint8Array | undefined {
    if (!this.patches.has(base)) this.patches.set(base, this.computePatch(base));
    return this.patches.get(base);
  }

  /**
   * Returns the version that results from a patch, or the one in force if that is not older. Returns undefined
   * if the patch is for another version.
   */
  applyPatch(bytes: Uint8Array): ICatalog | undefined {
    const { current } = this;
    if (current === undefined) return undefined;
    const patch = JSON.parse(Buffer.from(bytes).toString()) as ICatalogPatch;
    return patch.version <= current.version ? current : applyCatalogPatch(current, patch);
  }

  private computePatch(base: number): Uint8Array | undefined {
    const { current } = this;
    const from = this.versions.find(({ version }) => version === base);
    if (from === undefined || current === undefined) return undefined;
    const patch = computeCatalogPatch(from, current);
    return patch === undefined ? undefined : Buffer.from(JSON.stringify(patch));
  }
}
