/**
 * Ownership of resources: code that opens a resource registers it in a {@link DisposableStore},
 * which closes each resource once, in reverse order of registration.
 */

/** Something that holds a resource until it is disposed of. */
export interface IDisposable {
  /** Releases the resource. Further calls have no effect. */
  dispose(): void | Promise<void>;
}

/**
 * Wraps a function as a disposable that calls it at most once.
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

  /** Registers `item` and returns it. An item added to a disposed store is disposed of immediately. */
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
