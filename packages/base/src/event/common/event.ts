/** Typed events. Classes expose them as members named `onDidX`. */
import type { IDisposable } from '../../lifecycle/common/disposable.js';
import { toDisposable } from '../../lifecycle/common/disposable.js';

/** Subscribes a listener; disposing of the result unsubscribes it. */
export type Event<T> = (listener: (value: T) => void) => IDisposable;

/**
 * The firing side of an {@link Event}.
 *
 * @example
 * const emitter = new Emitter<number>();
 * const subscription = emitter.onDidFire((value) => console.log(value));
 * emitter.fire(1);
 * subscription.dispose();
 */
export class Emitter<T> implements IDisposable {
  private readonly listeners = new Set<(value: T) => void>();

  /** Subscribes to the fired values. */
  readonly onDidFire: Event<T> = (listener) => {
    this.listeners.add(listener);
    return toDisposable(() => {
      this.listeners.delete(listener);
    });
  };

  /** Calls every listener in the order of subscription. */
  fire(value: T): void {
    for (const listener of [...this.listeners]) {
      listener(value);
    }
  }

  dispose(): void {
    this.listeners.clear();
  }
}
