/** The connections from this node to one target of one member. */
import type { IDisposable } from '@parsleymux/base';
import VError from 'verror';
import { TransportError, TransportFailure } from '../common/targetTransport.js';
import type { TargetConnection } from './targetConnection.js';
import { openConnection } from './targetConnection.js';
import type { TargetConnector } from './targetConnector.js';

/** Options of a {@link ConnectionPool}. */
export interface IConnectionPoolOptions {
  readonly target: string;
  readonly connector: TargetConnector;
  /** Maximum number of connections; read each time one is to be opened. */
  readonly getLimit: () => number;
  /** Called when a connection was opened. */
  readonly onDidOpen?: () => void;
  /** Called when the last connection has closed; the pool may be removed. */
  readonly onDidEmpty?: () => void;
}

/** Options of {@link ConnectionPool.take}. */
export interface ITakeOptions {
  /** Requires a connection that no request has used before. */
  readonly fresh: boolean;
  readonly signal: AbortSignal;
}

/**
 * Hands out connections, each to one exchange at a time.
 *
 * @example
 * const connection = await pool.take({ fresh: false, signal });
 */
export class ConnectionPool implements IDisposable {
  private readonly options: IConnectionPoolOptions;
  /** Most recently used last, so that the connections that are idle longest expire. */
  private idle: TargetConnection[] = [];
  private readonly open = new Set<TargetConnection>();
  private opening = 0;
  private generation = 0;

  constructor(options: IConnectionPoolOptions) {
    this.options = options;
  }

  /** Connections that are open or being opened. */
  get size(): number {
    return this.open.size + this.opening;
  }

  /** Number of idle connections. */
  get idleCount(): number {
    return this.idle.length;
  }

  /**
   * Takes an idle connection or opens one. Rejects with a TransportError before anything was sent.
   */
  async take(options: ITakeOptions): Promise<TargetConnection> {
    const reused = options.fresh ? undefined : this.takeIdle();
    if (reused !== undefined) return reused;
    if (this.size >= this.options.getLimit() && !this.closeOldestIdle()) {
      throw makeError(TransportFailure.NoConnection);
    }
    this.opening += 1;
    try {
      const { connector, target } = this.options;
      const { generation } = this;
      const { signal } = options;
      const connection = await openConnection({ target, connector, generation, signal });
      this.track(connection);
      return connection;
    } catch (cause) {
      throw makeError(TransportFailure.Connect, cause);
    } finally {
      this.opening -= 1;
      this.checkEmpty();
    }
  }

  /** Returns a connection whose response was complete; one that was retired meanwhile is closed. */
  release(connection: TargetConnection): void {
    if (!connection.isOpen) return;
    if (connection.generation < this.generation) connection.dispose();
    else this.idle.push(connection);
  }

  /** Excludes all connections opened until now from further requests. */
  retire(): void {
    this.generation += 1;
    const retired = this.idle;
    this.idle = [];
    for (const connection of retired) connection.dispose();
  }

  dispose(): void {
    this.generation += 1;
    this.idle = [];
    for (const connection of this.open) connection.dispose();
  }

  private track(connection: TargetConnection): void {
    this.open.add(connection);
    this.options.onDidOpen?.();
    connection.onDidClose(() => {
      this.open.delete(connection);
      this.idle = this.idle.filter((candidate) => candidate !== connection);
      this.checkEmpty();
    });
  }

  private checkEmpty(): void {
    if (this.size === 0) this.options.onDidEmpty?.();
  }

  private takeIdle(): TargetConnection | undefined {
    for (;;) {
      const connection = this.idle.pop();
      if (connection === undefined || connection.isOpen) return connection;
    }
  }

  private closeOldestIdle(): boolean {
    const oldest = this.idle.shift();
    if (oldest === undefined) return false;
    this.open.delete(oldest);
    oldest.dispose();
    return true;
  }
}

function makeError(failure: TransportFailure, cause?: unknown): TransportError {
  const mayHaveRun = false;
  const reason = cause ?? new VError('the connection limit is reached');
  return new TransportError({ failure, mayHaveRun, reusedConnection: false, cause: reason });
}
