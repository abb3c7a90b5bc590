/**
 * Numbered result codes for callers and operators. docs/RESULT-CODES.md is generated from the
 * same table, and a test checks that both agree. Numbers are never reused for another meaning.
 *
 * 1xxx invalid requests; 2xxx rejections due to load or node state; 3xxx target failures;
 * 4xxx idempotency; 5xxx administration; 6xxx settings and command line; 9xxx internal.
 */

/** Whether the request that a result refers to was executed. */
export const RunState = {
  /** No target has executed the request, and none will. */
  NotRun: 'not-run',
  /** A target may have executed the request. */
  MayHaveRun: 'may-have-run',
  /** A target executed the request. */
  Ran: 'ran',
} as const;

export type RunState = (typeof RunState)[keyof typeof RunState];

/** Result codes by name. Names and numbers appear in responses, logs and metrics. */
export const ResultCode = {
  Ok: 0,
  MalformedRequest: 1001,
  HeadersTooLarge: 1002,
  BodyTooLarge: 1003,
  UnknownHost: 1004,
  UnknownRoute: 1005,
  MethodNotAllowed: 1006,
  DeadlinePassed: 1007,
  MalformedDeadline: 1008,
  CallerGone: 1009,
  RequestTimeout: 1010,
  KeyMissing: 1011,
  SeveralKeys: 1012,
  UnknownScheme: 1013,
  MalformedKey: 1014,
  UnknownKey: 1015,
  QueueFull: 2001,
  QueueTimeout: 2002,
  NoTarget: 2003,
  NodeLeaving: 2004,
  NodeIsolated: 2005,
  NotReady: 2006,
  TooManyConnections: 2007,
  MemberLimit: 2008,
  RetryBudgetSpent: 2009,
  RequestQuarantined: 2010,
  KeysOutdated: 2011,
  QuotaExceeded: 2012,
  ConfigurationOutdated: 2013,
  NoPathToTargets: 2014,
  NodeMemoryLimit: 2015,
  TargetUnreachable: 3001,
  TargetFailed: 3002,
  TargetTimeout: 3003,
  AnswerTruncated: 3004,
  TargetShed: 3005,
  AnswerTooLarge: 3006,
  PeerUnreachable: 3007,
  PeerBehind: 3008,
  IdempotencyKeyMissing: 4001,
  IdempotencyKeyConflict: 4002,
  ClaimStoreUnavailable: 4003,
  OutcomeUnknown: 4004,
  StillRunning: 4005,
  IdempotencyKeyMalformed: 4006,
  OutcomeSettled: 4007,
  AnswerNotKept: 4008,
  IdempotencyKeyExpired: 4009,
  Unauthenticated: 5001,
  Forbidden: 5002,
  MalformedIntent: 5003,
  PlanNotFound: 5004,
  PlanStale: 5005,
  FloorWouldBreak: 5006,
  HostTaken: 5007,
  TargetAddressTaken: 5008,
  StoreUnavailable: 5009,
  PlanAlreadyDecided: 5010,
  LimitExceeded: 5011,
  NotFound: 5012,
  ClaimNotSettleable: 5013,
  SettingsInvalid: 6001,
  UsageError: 6002,
  ConnectionFailed: 6003,
  Internal: 9001,
} as const;

export type ResultCode = (typeof ResultCode)[keyof typeof ResultCode];
