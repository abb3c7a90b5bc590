/** Headers between callers and nodes. */

export const CallerHeader = {
  /** Unique for each request; retries carry the same value. */
  RequestId: 'x-request-id',
  IdempotencyKey: 'idempotency-key',
  TimeoutMs: 'parsleymux-timeout-ms',
  ResultCode: 'parsleymux-result',
  RunState: 'parsleymux-run-state',
  RetryAfter: 'retry-after',
} as const;
