/** Meaning of each result code, for responses, metrics and docs/RESULT-CODES.md. */
import type { ResultCode } from './resultCode.js';
import { ResultCode as Code, RunState } from './resultCode.js';

/** One row of the table. */
export interface IResultInfo {
  readonly code: ResultCode;
  readonly name: string;
  /** HTTP status of the response. */
  readonly httpStatus: number;
  /** The usual run state; the header of the individual response takes precedence. */
  readonly runState: RunState;
  readonly meaning: string;
  /** What the receiver should do. */
  readonly action: string;
}

type ResultName = keyof typeof Code;

type Row = readonly [httpStatus: number, runState: RunState, meaning: string, action: string];

const { NotRun, MayHaveRun, Ran } = RunState;

const ROWS: Readonly<Record<ResultName, Row>> = {
  Ok: [200, Ran, 'A target responded; the status is that of its response.', 'Nothing.'],
  MalformedRequest: [400, NotRun, 'The request is not valid HTTP/1.1.', 'Fix the client.'],
  HeadersTooLarge: [431, NotRun, 'The header fields exceed the node limit.', 'Send less.'],
  BodyTooLarge: [413, NotRun, 'The body exceeds the node limit.', 'Send less.'],
  UnknownHost: [404, NotRun, 'No member serves this host name.', 'Check the host name.'],
  UnknownRoute: [404, NotRun, 'The host has no route for this path.', 'Check the path.'],
  MethodNotAllowed: [405, NotRun, 'No route on this path accepts the method.', 'Check the method.'],
  DeadlinePassed: [504, NotRun, 'The deadline passed before dispatch.', 'Retry.'],
  MalformedDeadline: [400, NotRun, 'The timeout header is not a number of ms.', 'Fix the client.'],
  CallerGone: [499, MayHaveRun, 'The caller disconnected; counted, never sent.', 'Nothing.'],
  RequestTimeout: [
    408,
    NotRun,
    'The request was not received completely in time.',
    'Send it again without delays.',
  ],
  KeyMissing: [401, NotRun, 'The route requires a key and none was sent.', 'Send a key.'],
  SeveralKeys: [401, NotRun, 'More than one key was sent.', 'Send one key.'],
  UnknownScheme: [401, NotRun, 'The credentials are of another scheme.', 'Fix the client.'],
  MalformedKey: [401, NotRun, 'The key is empty, too long or not a token.', 'Check the key.'],
  UnknownKey: [401, NotRun, 'The key belongs to no tenant, or it was revoked.', 'Check the key.'],
  QueueFull: [
    503,
    NotRun,
    'The queue of the service is full.',
    'Retry after the delay in Retry-After.',
  ],
  QueueTimeout: [
    503,
    NotRun,
    'The request could not finish in time.',
    'Retry after the delay in Retry-After.',
  ],
  NoTarget: [
    503,
    NotRun,
    'No target of the service can accept requests.',
    'Retry after the delay in Retry-After.',
  ],
  NodeLeaving: [503, NotRun, 'The node is shutting down.', 'Retry; another node responds.'],
  NodeIsolated: [
    503,
    NotRun,
    'The node is partitioned from the fleet.',
    'Retry; another node responds.',
  ],
  NotReady: [503, NotRun, 'The node has not received its configuration yet.', 'Retry shortly.'],
  TooManyConnections: [
    503,
    NotRun,
    'A limit on connections has been reached.',
    'Retry after the delay in Retry-After.',
  ],
  MemberLimit: [
    503,
    NotRun,
    'The member uses its full share of the node.',
    'Retry after the delay in Retry-After.',
  ],
  RetryBudgetSpent: [
    503,
    NotRun,
    'The retries that the service allows are used up.',
    'Retry after the delay in Retry-After.',
  ],
  RequestQuarantined: [
    503,
    NotRun,
    'Several targets crashed in turn while they ran this request.',
    'Fix the request or the target, or retry after the delay in Retry-After.',
  ],
  KeysOutdated: [
    503,
    NotRun,
    'The node cannot verify that its list of keys is recent enough.',
    'Retry after the delay in Retry-After; another node may respond.',
  ],
  QuotaExceeded: [
    429,
    NotRun,
    'The tenant sends more than its quota.',
    'Retry after the delay in Retry-After.',
  ],
  ConfigurationOutdated: [
    503,
    NotRun,
    'Other nodes have a newer configuration, or may have one, that this node has not received.',
    'Retry after the delay in Retry-After; another node may respond.',
  ],
  NoPathToTargets: [
    503,
    NotRun,
    'Neither this node nor a node that it asked can reach the targets.',
    'Retry after the delay in Retry-After; another node may respond.',
  ],
  NodeMemoryLimit: [
    503,
    NotRun,
    'The requests at this node use the memory that it has for them.',
    'Retry after the delay in Retry-After; another node may respond.',
  ],
  TargetUnreachable: [502, NotRun, 'No connection to a target could be made.', 'Retry.'],
  TargetFailed: [
    502,
    MayHaveRun,
    'The connection broke before the response was complete.',
    'Idempotent: retry. Otherwise retry with the same key.',
  ],
  TargetTimeout: [
    504,
    MayHaveRun,
    'The target did not respond in time.',
    'Idempotent: retry. Otherwise retry with the same key.',
  ],
  AnswerTruncated: [
    502,
    MayHaveRun,
    'The response of the target was truncated.',
    'Idempotent: retry. Otherwise retry with the same key.',
  ],
  TargetShed: [
    503,
    NotRun,
    'The targets shed the request.',
    'Retry after the delay in Retry-After.',
  ],
  AnswerTooLarge: [
    502,
    MayHaveRun,
    'The response exceeds the limit and the route does not stream.',
    'Request less, or have the member change the route.',
  ],
  PeerUnreachable: [
    502,
    MayHaveRun,
    'No home of the service responded.',
    'Retry with the same key.',
  ],
  PeerBehind: [
    503,
    NotRun,
    'Between nodes: the home has an older configuration.',
    'Never sent to callers.',
  ],
  IdempotencyKeyMissing: [
    400,
    NotRun,
    'The route is not idempotent and no key was sent.',
    'Send a key.',
  ],
  IdempotencyKeyConflict: [
    409,
    NotRun,
    'The key was used for another request.',
    'Use a new key for a new request.',
  ],
  ClaimStoreUnavailable: [
    503,
    NotRun,
    'Claims cannot be stored: the platform is unavailable. An earlier request with this key may have run.',
    'Retry with the same key after the delay in Retry-After.',
  ],
  OutcomeUnknown: [
    409,
    MayHaveRun,
    'A request with this key may have run; its outcome is unknown.',
    'Do not use a new key; contact the member.',
  ],
  StillRunning: [
    409,
    MayHaveRun,
    'A request with this key is running.',
    'Retry with the same key after the delay in Retry-After.',
  ],
  IdempotencyKeyMalformed: [
    400,
    NotRun,
    'The key is too long or contains characters other than visible ASCII.',
    'Fix the client.',
  ],
  OutcomeSettled: [
    409,
    Ran,
    'An operator settled the outcome: the request ran; its response is unknown.',
    'Nothing.',
  ],
  AnswerNotKept: [
    502,
    Ran,
    'The request ran; its response could not be stored.',
    'Do not send it again with another key.',
  ],
  IdempotencyKeyExpired: [
    409,
    MayHaveRun,
    'The key is older than the retention of claim records, and no record is left.',
    'Do not use a new key; contact the member.',
  ],
  Unauthenticated: [401, NotRun, 'No valid operator key.', 'Send a key.'],
  Forbidden: [403, NotRun, 'The key does not allow this.', 'Use a key of the member.'],
  MalformedIntent: [
    400,
    NotRun,
    'The intent violates a rule; each problem is listed.',
    'Fix the intent.',
  ],
  PlanNotFound: [404, NotRun, 'The member has no such plan.', 'Check the identifier.'],
  PlanStale: [
    409,
    NotRun,
    'The configuration changed since the plan was made.',
    'Submit the intent again.',
  ],
  FloorWouldBreak: [
    409,
    NotRun,
    'The plan would leave fewer slots than the floor.',
    'See the slot counts in the message.',
  ],
  HostTaken: [409, NotRun, 'The host name belongs to another member.', 'Choose another host name.'],
  TargetAddressTaken: [
    409,
    NotRun,
    'The target address belongs to another member.',
    'Check the address.',
  ],
  StoreUnavailable: [
    503,
    MayHaveRun,
    'The platform did not respond.',
    'Retry; confirming twice is harmless.',
  ],
  PlanAlreadyDecided: [
    409,
    NotRun,
    'The plan was confirmed or discarded before.',
    'Look at the plan.',
  ],
  LimitExceeded: [
    429,
    NotRun,
    'A limit of the member has been reached.',
    'Retry later or request less.',
  ],
  NotFound: [404, NotRun, 'The resource does not exist.', 'Check the name.'],
  ClaimNotSettleable: [
    409,
    NotRun,
    'The claim has an outcome, or the node that holds it is running.',
    'Look at the claim.',
  ],
  SettingsInvalid: [
    500,
    NotRun,
    'A settings file violates a rule.',
    'Fix the file; each problem is listed.',
  ],
  UsageError: [400, NotRun, 'A command was used incorrectly.', 'See its help.'],
  ConnectionFailed: [
    502,
    NotRun,
    'An address could not be opened or reached.',
    'Check the address and port.',
  ],
  Internal: [500, MayHaveRun, 'An internal error; counted and logged.', 'Report it.'],
};

const INFO_BY_CODE: ReadonlyMap<ResultCode, IResultInfo> = new Map(
  (Object.keys(ROWS) as ResultName[]).map((name) => {
    const [httpStatus, runState, meaning, action] = ROWS[name];
    const code = Code[name];
    return [code, { code, name, httpStatus, runState, meaning, action }];
  }),
);

const UNKNOWN: IResultInfo = {
  code: Code.Internal,
  name: 'Unknown',
  httpStatus: 500,
  runState: RunState.MayHaveRun,
  meaning: 'A code that is unknown to this version.',
  action: 'Report it.',
};

/**
 * Returns the row of a code. An unknown number yields a generic row instead of an error, because
 * nodes of two versions run side by side during a rolling upgrade.
 *
 * @example
 * getResultInfo(ResultCode.QueueFull).httpStatus; // 503
 */
export function getResultInfo(code: ResultCode): IResultInfo {
  return INFO_BY_CODE.get(code) ?? { ...UNKNOWN, code };
}

/**
 * Returns all rows, ordered by code.
 *
 * @example
 * const names = listResultInfos().map(({ code, name }) => `${code} ${name}`);
 */
export function listResultInfos(): readonly IResultInfo[] {
  return [...INFO_BY_CODE.values()].sort((left, right) => left.code - right.code);
}
