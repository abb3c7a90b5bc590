/** The platform's object store, for data that is too large for a table row. */

/** Reads and writes objects. Objects of this project are written once and never changed. */
export abstract class ObjectStore {
  /** Returns the object's bytes, or undefined when there is none. */
  abstract get(key: string, signal?: AbortSignal): Promise<Uint8Array | undefined>;

  /** Writes an object. Repeating the write with the same bytes is safe. */
  abstract put(key: string, bytes: Uint8Array, signal?: AbortSignal): Promise<void>;

  /** Returns the keys that begin with a prefix, sorted, at most 1000. */
  abstract list(prefix: string, signal?: AbortSignal): Promise<readonly string[]>;
}
