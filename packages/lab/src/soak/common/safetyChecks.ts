/** Checks of guarantees without a time bound, on the requests that callers and targets recorded. */
import type { Findings } from '../../prove/common/findings.js';
import type { IAcceptedVersion, ISoakEvidence, IVersionProbe } from './soakEvidence.js';
import type { ISoakArrival, ISoakRequest, ISoakRequestRecord } from './soakLedger.js';
import {
  BOOKING_SERVICE,
  LISTING_SERVICE,
  MAX_ATTEMPTS,
  SOAK_BOUNDS,
  listChangingServices,
} from './soakLayout.js';
import { describeArrival, describeRequestRecord, formatResponseBody } from './requestText.js';

const MS_PER_S = 1000;
const FIRST_FAILURE = 300;
const FIRST_SERVER_ERROR = 500;
/** Statuses which guarantee that the request has not run and never will. */
const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503];

/** Checks that hold on a machine of any speed. */
export function checkSafety(evidence: ISoakEvidence, findings: Findings): void {
  for (const record of evidence.ledger.listRequestRecords()) {
    checkRequest(record, evidence, findings);
  }
  const unsolicited = evidence.ledger.listUnsolicited();
  findings.check('targets get only what callers sent', unsolicited.length === 0, () => {
    return describeArrival(unsolicited[0]);
  });
  checkRetries(evidence, findings);
  checkConfigRegression(evidence.probes, findings);
}

function checkRequest(
  record: ISoakRequestRecord,
  { versions }: ISoakEvidence,
  findings: Findings,
): void {
  const { arrivals, reply, request } = record;
  const ran = arrivals.filter(({ hasRun }) => hasRun);
  const describe = () => describeRequestRecord(record);
  for (const arrival of arrivals) {
    const isSame =
      arrival.method === request.method &&
      arrival.path === request.path &&
      arrival.body === request.body;
    findings.check('targets get requests unchanged', isSame, describe);
    const isAllowed = !arrival.hasRun || listServices(request, versions).includes(arrival.service);
    findings.check('requests run where their route says', isAllowed, describe);
  }
  const targets = new Set(ran.map(({ target }) => target));
  findings.check('attempts stay within the route', targets.size <= MAX_ATTEMPTS, describe);
  if (request.kind === 'booking') findings.check('at most once', ran.length <= 1, describe);
  if (reply?.status === undefined) return;
  checkReply(record, ran, findings);
}

/** Lists the services that may run a request under any version. */
function listServices(
  { kind, path }: ISoakRequest,
  versions: readonly IAcceptedVersion[],
): readonly string[] {
  if (kind === 'changing') {
    return versions.flatMap(({ version }) => listChangingServices(version, path));
  }
  return [kind === 'booking' ? BOOKING_SERVICE : LISTING_SERVICE];
}

function checkReply(
  record: ISoakRequestRecord,
  ran: readonly ISoakArrival[],
  findings: Findings,
): void {
  const { reply, request } = record;
  const describe = () => describeRequestRecord(record);
  if (reply?.status === undefined) return;
  const { body, stamp, status } = reply;
  if (status < FIRST_FAILURE) {
    const isFromTarget = ran.some(({ target }) => body === formatResponseBody(request.id, target));
    findings.check(
      'successes are whole and the target’s own',
      isFromTarget && stamp !== undefined,
      describe,
    );
  } else if (stamp !== undefined) {
    const isFromTarget = ran.some((arrival) => arrival.status === status);
    findings.check('failures keep the status of their target', isFromTarget, describe);
  }
  if (request.kind === 'booking' && stamp === undefined && NOT_RUN_STATUSES.includes(status)) {
    findings.check('refused means not run', ran.length === 0, describe);
    const hasRetryAfter = status !== 503 || reply.retryAfter !== undefined;
    findings.check('refusals say when to come back', hasRetryAfter, describe);
  }
  const isLocalDenial =
    stamp === undefined && status < FIRST_SERVER_ERROR && status >= FIRST_FAILURE;
  const isProbe = request.kind === 'probe' || request.kind === 'changing';
  const isDenied = isLocalDenial && !NOT_RUN_STATUSES.includes(status) && !isProbe;
  findings.check('allowed requests are not denied', !isDenied, describe);
}

/** Checks the retries of each service over the whole fleet, in every window that ends with a retry. */
function checkRetries(evidence: ISoakEvidence, findings: Findings): void {
  // Requests for changing routes have one attempt each.
  const records = evidence.ledger
    .listRequestRecords()
    .filter(({ request }) => request.kind !== 'changing');
  for (const service of [BOOKING_SERVICE, LISTING_SERVICE]) {
    const serviceRecords = records.filter(({ request }) => {
      return (request.kind === 'booking') === (service === BOOKING_SERVICE);
    });
    const sent = serviceRecords.map(({ request }) => request.sentMs);
    const retries = serviceRecords
      .flatMap(({ arrivals }) =>
        arrivals
          .map(({ atMs }) => atMs)
          .sort(compareNumbers)
          .slice(1),
      )
      .sort(compareNumbers);
    for (const endMs of retries) checkRetryWindow(sent, retries, endMs, findings);
  }
}

function checkRetryWindow(
  sent: readonly number[],
  retries: readonly number[],
  endMs: number,
  findings: Findings,
): void {
  const windowMs = SOAK_BOUNDS.retry_window_s * MS_PER_S;
  const countIn = (times: readonly number[], toMs: number) => {
    return times.filter((atMs) => atMs > toMs - windowMs && atMs <= toMs).length;
  };
  const requests = Math.max(
    ...[0, windowMs / 2, windowMs].map((backMs) => countIn(sent, endMs - backMs)),
  );
  const allowed = SOAK_BOUNDS.retry_ratio * requests + SOAK_BOUNDS.retry_burst;
  const used = countIn(retries, endMs);
  findings.check('repeats stay within the budget', used <= allowed, () => {
    return `${used} retries for ${requests} requests in the window that ends at ${Math.round(endMs)}`;
  });
}

function compareNumbers(left: number, right: number): number {
  return left - right;
}

/** A process that has handled a request by one version handles no later request by an older one. */
function checkConfigRegression(probes: readonly IVersionProbe[], findings: Findings): void {
  const newest = new Map<string, number>();
  for (const probe of [...probes].sort((left, right) => left.sentMs - right.sentMs)) {
    if (!probe.isFound) continue;
    const incarnation = `${probe.node}/${probe.incarnation}`;
    const newestVersion = newest.get(incarnation) ?? 0;
    findings.check('configurations never go back', probe.version >= newestVersion, () => {
      return `${incarnation} applied version ${probe.version} after ${newestVersion}`;
    });
    newest.set(incarnation, Math.max(newestVersion, probe.version));
  }
}
