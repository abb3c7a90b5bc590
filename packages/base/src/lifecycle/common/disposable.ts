/**
 * Ownership of resources: whoever opens something registers its close in a
 * {@link DisposableStore}, and the store closes everything once, last opened first.
 */

/** Something that holds a resource until it is disposed of. */
export interface IDisposable {
  /** Releases the resource. Calling it again does nothing. */
  dispose(): void | Promise<void>;
}

/**
 * Wraps a close function so that it runs at most once.
 *
 * @example
 * const timer = toDisposable(() => clearTimeout(handle));
 */
export function toDisposable(close: () => void | Promise<void>): IDisposable {
  let isDisposed = false;
  return {
    dispose() {
      if (isDisposed) return;
      isDisposed = true;
      return close();
    },
  };
}

/**
 * A set of disposables that are closed together, in reverse order of their registration.
 *
 * @example
 * const store = new DisposableStore();
 * const server = store.add(await listenOnPort(0));
 * await store.dispose();
 */
export class DisposableStore implements IDisposable {
  private readonly items: IDisposable[] = [];
  private isDisposed = false;

  /** Registers `item` and returns it. An item added after the store closed is closed at once. */
  add<T extends IDisposable>(item: T): T {
    if (this.isDisposed) {
      void item.dispose();
      return item;
    }
    this.items.push(item);
    return item;
  }

  async dispose(): Promise<void> {
    if (this.isDisposed) return;
    this.isDisposed = true;
    while (this.items.length > 0) {
      await this.items.pop()?.dispose();
    }
  }
}
