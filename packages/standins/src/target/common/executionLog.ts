/**
 * What targets executed, by idempotency key and by request. Targets of one service share a log
 * as real ones share a database: otherwise a look-up at one target would deny what another ran.
 */

/** What became of an execution. */
export const ExecutionState = {
  Running: 'running',
  Finished: 'finished',
  /** Begun, then stopped by a cancellation or a timeout: its effect is anyone's guess. */
  Stopped: 'stopped',
} as const;

export type ExecutionState = (typeof ExecutionState)[keyof typeof ExecutionState];

/** One begun execution. */
export interface IExecution {
  readonly target: string;
  /** Empty when the request had no idempotency key. */
  readonly key: string;
  readonly requestId: string;
  readonly state: ExecutionState;
  /** Milliseconds since the Unix epoch. */
  readonly startedAtMs: number;
}

/** An answer as kept for look-ups. */
export interface IRecordedResponse {
  readonly status: number;
  readonly body: Uint8Array;
}

interface IKeyRecord {
  count: number;
  waiting: number;
  answer: IRecordedResponse | undefined;
}

/** What a look-up finds. */
export interface IKeyLookUp {
  /** Executions that began with this key. */
  readonly count: number;
  /** Requests with this key that are queued and may yet begin. */
  readonly waiting: number;
  readonly answer: IRecordedResponse | undefined;
}

/** A running execution, to be ended once. */
export interface IExecutionHandle {
  finish(answer: IRecordedResponse): void;
  stop(): void;
}

/**
 * Counts every execution at the moment it begins.
 *
 * @example
 * const log = new ExecutionLog();
 * log.start({ target: '127.0.0.1:9000', key: 'k', requestId: 'r', startedAtMs: 0 }).stop();
 * log.find('k').count; // 1
 */
export class ExecutionLog {
  private readonly keys = new Map<string, IKeyRecord>();
  private readonly executions: IExecution[] = [];

  start(begun: Omit<IExecution, 'state'>): IExecutionHandle {
    const index = this.executions.push({ ...begun, state: ExecutionState.Running }) - 1;
    const record = this.ensureRecord(begun.key);
    if (record !== undefined) record.count += 1;
    const end = (state: ExecutionState) => {
      this.executions[index] = { ...begun, state };
    };
    return {
      finish(answer) {
        end(ExecutionState.Finished);
        if (record !== undefined) record.answer ??= answer;
      },
      stop() {
        end(ExecutionState.Stopped);
      },
    };
  }

  /** Notes that a request with this key waits (+1) or no longer waits (-1) for a slot. */
  addWaiting(key: string, change: 1 | -1): void {
    const record = this.ensureRecord(key);
    if (record !== undefined) record.waiting += change;
  }

  find(key: string): IKeyLookUp {
    return this.keys.get(key) ?? { count: 0, waiting: 0, answer: undefined };
  }

  /** Every execution from index `after` on, in the order of their beginning. */
  list(after = 0): readonly IExecution[] {
    return this.executions.slice(after);
  }

  private ensureRecord(key: string): IKeyRecord | undefined {
    if (key === '') return undefined;
    const found = this.keys.get(key);
    if (found !== undefined) return found;
    const record: IKeyRecord = { count: 0, waiting: 0, answer: undefined };
    this.keys.set(key, record);
    return record;
  }
}
