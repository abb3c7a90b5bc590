/** Requests that wait for a slot: the most urgent first, then in the order of arrival. */
import type { IGrantRequest } from '../../grants/common/grant.js';

interface IQueued {
  readonly request: IGrantRequest;
}

/**
 * A short sorted list; a home refuses requests long before it grows.
 *
 * @example
 * queue.push(ticket);
 * for (const waiting of queue.list()) tryGrant(waiting);
 */
export class GrantQueue<T extends IQueued> {
  private items: T[] = [];

  get size(): number {
    return this.items.length;
  }

  push(item: T): void {
    const { priority } = item.request;
    const index = this.items.findIndex(({ request }) => request.priority > priority);
    if (index === -1) this.items.push(item);
    else this.items.splice(index, 0, item);
  }

  remove(item: T): void {
    this.items = this.items.filter((candidate) => candidate !== item);
  }

  /** The items at this moment, in their order. */
  list(): readonly T[] {
    return [...this.items];
  }

  /** Items that would be granted before a new one of this priority. */
  countAhead(priority: number): number {
    return this.items.filter(({ request }) => request.priority <= priority).length;
  }
}
