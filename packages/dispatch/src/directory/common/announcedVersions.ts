/** Versions of the configuration that other nodes have in force and this one doesn't. */
import type { Clock } from '@parsleymux/base';

/**
 * Tells how long a newer version has been known without being in force here.
 *
 * @example
 * if (announced.getOldestAgeMs() > limitMs) refuse();
 */
export class AnnouncedVersions {
  /** When each version was first announced. */
  private readonly announcedMs = new Map<number, number>();
  private current = 0;

  constructor(private readonly clock: Clock) {}

  /** Records that another node has a version in force. */
  recordAnnounced(version: number): void {
    if (version <= this.current || this.announcedMs.has(version)) return;
    this.announcedMs.set(version, this.clock.getMonotonicTime());
  }

  /** Records the version that is in force on this node. */
  recordApplied(version: number): void {
    this.current = version;
    for (const announced of this.announcedMs.keys()) {
      if (announced <= version) this.announcedMs.delete(announced);
    }
  }

  /** The newest version that another node has in force; undefined if this node has it too. */
  findNewest(): number | undefined {
    return this.announcedMs.size === 0 ? undefined : Math.max(...this.announcedMs.keys());
  }

  /** Time since a version was announced that is newer than the one in force, in ms; 0 if there is none. */
  getOldestAgeMs(): number {
    const [oldestMs] = this.announcedMs.values();
    return oldestMs === undefined ? 0 : this.clock.getMonotonicTime() - oldestMs;
  }
}
