/** Versions of the configuration that other nodes have in force and this one doesn't. */
import type { Clock, Event } from '@parsleymux/base';
import { Emitter } from '@parsleymux/base';

/** Most nodes remembered that have the newest version; any of them can send it. */
const MAX_SOURCES = 8;

/**
 * Tells how long a newer version has been known without being in force here, and which nodes have it.
 *
 * @example
 * if (announced.getOldestAgeMs() > limitMs) refuse();
 */
export class AnnouncedVersions {
  /** When each version was first announced. */
  private readonly announcedMs = new Map<number, number>();
  /** Addresses of nodes that have the newest announced version. */
  private readonly sources = new Set<string>();
  private readonly announced = new Emitter<number>();
  private current = 0;

  /** Fires with a newer version when it is announced for the first time. */
  readonly onDidAnnounce: Event<number> = this.announced.onDidFire;

  constructor(private readonly clock: Clock) {}

  /** Records that another node has a version in force. */
  recordAnnounced(version: number, source?: string): void {
    const newest = this.findNewest() ?? this.current;
    if (version <= this.current || version < newest) return;
    if (version > newest) this.sources.clear();
    if (source !== undefined && this.sources.size < MAX_SOURCES) this.sources.add(source);
    if (this.announcedMs.has(version)) return;
    this.announcedMs.set(version, this.clock.getMonotonicTime());
    this.announced.fire(version);
  }

  /** Records the version that is in force on this node. */
  recordApplied(version: number): void {
    this.current = version;
    for (const announced of this.announcedMs.keys()) {
      if (announced <= version) this.announcedMs.delete(announced);
    }
    if (this.announcedMs.size === 0) this.sources.clear();
  }

  /** The newest version that another node has in force; undefined if this node has it too. */
  findNewest(): number | undefined {
    return this.announcedMs.size === 0 ? undefined : Math.max(...this.announcedMs.keys());
  }

  /** Addresses of nodes that have the newest version. */
  listSources(): readonly string[] {
    return [...this.sources];
  }

  /** Time since a version was announced that is newer than the one in force, in ms; 0 if there is none. */
  getOldestAgeMs(): number {
    const [oldestMs] = this.announcedMs.values();
    return oldestMs === undefined ? 0 : this.clock.getMonotonicTime() - oldestMs;
  }
}
