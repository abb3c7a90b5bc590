/**
 * Executions of targets, by idempotency key and by request. Targets of one service share a log, as
 * real ones share a database: otherwise a look-up at one target would miss executions of another.
 */

/** State of an execution. */
export const ExecutionState = {
  Running: 'running',
  Finished: 'finished',
  /** Stopped by a cancellation or a timeout after the start; whether it took effect is unknown. */
  Stopped: 'stopped',
} as const;

export type ExecutionState = (typeof ExecutionState)[keyof typeof ExecutionState];

/** One started execution. */
export interface IExecution {
  readonly target: string;
  /** Empty when the request had no idempotency key. */
  readonly key: string;
  readonly requestId: string;
  readonly state: ExecutionState;
  /** Milliseconds since the Unix epoch. */
  readonly startedAtMs: number;
}

/** A response that is recorded for look-ups. */
export interface IRecordedResponse {
  readonly status: number;
  readonly body: Uint8Array;
}

interface IKeyRecord {
  count: number;
  waiting: number;
  response: IRecordedResponse | undefined;
}

/** Result of a look-up. */
export interface IKeyLookUp {
  /** Number of started executions with this key. */
  readonly count: number;
  /** Number of queued requests with this key, which may still be executed. */
  readonly waiting: number;
  readonly response: IRecordedResponse | undefined;
}

/** A running execution. Exactly one of its methods is called, once. */
export interface IExecutionHandle {
  finish(response: IRecordedResponse): void;
  stop(): void;
}

/**
 * Records and counts every execution when it starts.
 *
 * @example
 * const log = new ExecutionLog();
 * log.start({ target: '127.0.0.1:9000', key: 'k', requestId: 'r', startedAtMs: 0 }).stop();
 * log.find('k').count; // 1
 */
export class ExecutionLog {
  private readonly keys = new Map<string, IKeyRecord>();
  private readonly executions: IExecution[] = [];

  start(started: Omit<IExecution, 'state'>): IExecutionHandle {
    const index = this.executions.push({ ...started, state: ExecutionState.Running }) - 1;
    const record = this.ensureRecord(started.key);
    if (record !== undefined) record.count += 1;
    const setState = (state: ExecutionState) => {
      this.executions[index] = { ...started, state };
    };
    return {
      finish(response) {
        setState(ExecutionState.Finished);
        if (record !== undefined) record.response ??= response;
      },
      stop() {
        setState(ExecutionState.Stopped);
      },
    };
  }

  /** Records that a request with this key waits (+1) or no longer waits (-1) for a slot. */
  addWaiting(key: string, change: 1 | -1): void {
    const record = this.ensureRecord(key);
    if (record !== undefined) record.waiting += change;
  }

  find(key: string): IKeyLookUp {
    return this.keys.get(key) ?? { count: 0, waiting: 0, response: undefined };
  }

  /** Returns the executions from index `after` on, in the order in which they started. */
  list(after = 0): readonly IExecution[] {
    return this.executions.slice(after);
  }

  private ensureRecord(key: string): IKeyRecord | undefined {
    if (key === '') return undefined;
    const found = this.keys.get(key);
    if (found !== undefined) return found;
    const record: IKeyRecord = { count: 0, waiting: 0, response: undefined };
    this.keys.set(key, record);
    return record;
  }
}
