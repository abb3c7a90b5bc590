/** The platform's object store: bytes under keys, for what is too large for a row. */

/** Access to objects. Objects of this project are written once and never changed. */
export abstract class ObjectStore {
  /** The object's bytes, or undefined when there is none. */
  abstract get(key: string, signal?: AbortSignal): Promise<Uint8Array | undefined>;

  /** Writes an object. Writing the same bytes again does no harm. */
  abstract put(key: string, bytes: Uint8Array, signal?: AbortSignal): Promise<void>;

  /** Keys that begin with a prefix, sorted, at most 1000. */
  abstract list(prefix: string, signal?: AbortSignal): Promise<readonly string[]>;
}
