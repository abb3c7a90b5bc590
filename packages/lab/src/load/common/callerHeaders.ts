/** Headers between callers and nodes. */

export const CallerHeader = {
  /** Unique to a request and the same on its retries. */
  RequestId: 'x-request-id',
  IdempotencyKey: 'idempotency-key',
  TimeoutMs: 'parsleymux-timeout-ms',
  ResultCode: 'parsleymux-result',
  RunState: 'parsleymux-run-state',
  RetryAfter: 'retry-after',
} as const;
