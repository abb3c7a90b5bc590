/** Records which parts of the system faults affected, so that checks with a time bound skip those periods. */

/** Time after a fault in which guarantees with a time bound are not checked, in ms. */
const SETTLE_MS = 3000;

interface IDisturbance {
  readonly scope: string;
  readonly startMs: number;
  endMs: number;
}

/** Scope of the metadata store itself. */
export const STORE_SCOPE = 'store';

/** Scope of the link to a target. During a partition the target can't detect that a caller disconnected. */
export function formatLinkScope(target: string): string {
  return `link of ${target}`;
}

/** Scope of the path from a node to all targets. Their work may go on after its callers have left. */
export function formatPathScope(node: string): string {
  return `path of ${node}`;
}

/**
 * Intervals of faults by scope, such as a node, a target or the store.
 *
 * @example
 * const end = disturbances.start('node-2', nowMs);
 * end(laterMs);
 */
export class DisturbanceLog {
  private readonly entries: IDisturbance[] = [];

  /** Records the start of a disturbance; the result records its end. */
  start(scope: string, startMs: number): (endMs: number) => void {
    const entry: IDisturbance = { scope, startMs, endMs: Infinity };
    this.entries.push(entry);
    return (endMs) => {
      entry.endMs = endMs;
    };
  }

  /** Records a disturbance without a duration, such as a reset. */
  record(scope: string, atMs: number): void {
    this.start(scope, atMs)(atMs);
  }

  /** Whether none of the scopes was disturbed from some seconds before `startMs` until `endMs`. */
  isUndisturbed(scopes: readonly string[], startMs: number, endMs: number): boolean {
    return !this.entries.some((entry) => {
      const overlaps = entry.startMs <= endMs && entry.endMs >= startMs - SETTLE_MS;
      return overlaps && scopes.includes(entry.scope);
    });
  }
}
