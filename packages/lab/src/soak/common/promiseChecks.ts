/** The promises of the users' pages, checked on what callers and targets saw. */
import type { Findings } from '../../prove/common/findings.js';
import type { DisturbanceLog } from './disturbanceLog.js';
import { STORE_SCOPE } from './disturbanceLog.js';
import type { ISoakArrival, ISoakStory, SoakLedger } from './soakLedger.js';
import {
  BOOKING_SERVICE,
  LISTING_SERVICE,
  MAX_ATTEMPTS,
  ROUTE_TIMEOUT_S,
  SOAK_BOUNDS,
} from './soakLayout.js';

const MS_PER_S = 1000;
const FIRST_FAILURE = 300;
const FIRST_SERVER_ERROR = 500;
/** Statuses that promise that the request has not run and never will. */
const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503];
/** How long after its route's timeout a request may still be unanswered, in ms. */
const TIMEOUT_SLACK_MS = 500;
/** How long after its caller left a request may still arrive or be worked on at a target, in ms. */
const LEFT_SLACK_MS = 500;

/** A target that told the store that it leaves. */
export interface IDrain {
  readonly target: string;
  readonly acceptedMs: number;
}

/** A node that was asked to stop. */
export interface IPlannedStop {
  readonly node: string;
  readonly life: number;
  readonly askedMs: number;
}

/** A probe of the configuration that a node has in force. */
export interface IVersionProbe {
  readonly node: string;
  readonly life: number;
  readonly version: number;
  readonly sentMs: number;
  readonly isFound: boolean;
}

/** A configuration that the store accepted. */
export interface IAcceptedVersion {
  readonly version: number;
  readonly acceptedMs: number;
}

/** All that a run has seen. */
export interface ISoakEvidence {
  readonly ledger: SoakLedger;
  readonly disturbances: DisturbanceLog;
  readonly drains: readonly IDrain[];
  readonly plannedStops: readonly IPlannedStop[];
  readonly probes: readonly IVersionProbe[];
  readonly versions: readonly IAcceptedVersion[];
}

/** Checks that hold however slow the computer is. */
export function checkSafety(evidence: ISoakEvidence, findings: Findings): void {
  for (const story of evidence.ledger.listStories()) checkStory(story, findings);
  const unasked = evidence.ledger.listUnasked();
  findings.check('targets get only what callers sent', unasked.length === 0, () => {
    return describeArrival(unasked[0]);
  });
  checkRetries(evidence, findings);
  checkRegress(evidence.probes, findings);
}

/** Checks with a bound of time, judged where nothing was disturbed; they need a computer that keeps up. */
export function checkBounds(evidence: ISoakEvidence, findings: Findings): void {
  const stories = evidence.ledger.listStories();
  checkDrains(evidence, findings);
  checkInForce(evidence, findings);
  for (const story of stories) {
    checkPlannedStop(story, evidence, findings);
    checkTimeout(story, evidence, findings);
    checkLeft(story, evidence, findings);
  }
}

function checkStory(story: ISoakStory, findings: Findings): void {
  const { arrivals, reply, request } = story;
  const ran = arrivals.filter(({ hasRun }) => hasRun);
  const describe = () => describeStory(story);
  for (const arrival of arrivals) {
    const isSame =
      arrival.method === request.method &&
      arrival.path === request.path &&
      arrival.body === request.body;
    findings.check('targets get requests unchanged', isSame, describe);
    const service = request.kind === 'booking' ? BOOKING_SERVICE : LISTING_SERVICE;
    const isAllowed = !arrival.hasRun || arrival.service === service;
    findings.check('requests run where their route says', isAllowed, describe);
  }
  const targets = new Set(ran.map(({ target }) => target));
  findings.check('attempts stay within the route', targets.size <= MAX_ATTEMPTS, describe);
  if (request.kind === 'booking') findings.check('at most once', ran.length <= 1, describe);
  if (reply?.status === undefined) return;
  checkReply(story, ran, findings);
}

function checkReply(story: ISoakStory, ran: readonly ISoakArrival[], findings: Findings): void {
  const { reply, request } = story;
  const describe = () => describeStory(story);
  if (reply?.status === undefined) return;
  const { body, stamp, status } = reply;
  if (status < FIRST_FAILURE) {
    const isOwn = ran.some(({ target }) => body === formatAnswerBody(request.id, target));
    findings.check(
      'successes are whole and the target’s own',
      isOwn && stamp !== undefined,
      describe,
    );
  } else if (stamp !== undefined) {
    const isOwn = ran.some((arrival) => arrival.status === status);
    findings.check('failures keep the status of their target', isOwn, describe);
  }
  if (request.kind === 'booking' && stamp === undefined && NOT_RUN_STATUSES.includes(status)) {
    findings.check('refused means not run', ran.length === 0, describe);
    const hasTime = status !== 503 || reply.retryAfter !== undefined;
    findings.check('refusals say when to come back', hasTime, describe);
  }
  const isOwnDenial = stamp === undefined && status < FIRST_SERVER_ERROR && status >= FIRST_FAILURE;
  const isDenied = isOwnDenial && !NOT_RUN_STATUSES.includes(status) && request.kind !== 'probe';
  findings.check('allowed requests are not denied', !isDenied, describe);
}

/** The fleet's repeats of each service, in every window that ends with a repeat. */
function checkRetries(evidence: ISoakEvidence, findings: Findings): void {
  const stories = evidence.ledger.listStories();
  for (const service of [BOOKING_SERVICE, LISTING_SERVICE]) {
    const own = stories.filter(({ request }) => {
      return (request.kind === 'booking') === (service === BOOKING_SERVICE);
    });
    const sent = own.map(({ request }) => request.sentMs);
    const repeats = own
      .flatMap(({ arrivals }) =>
        arrivals
          .map(({ atMs }) => atMs)
          .sort(compareNumbers)
          .slice(1),
      )
      .sort(compareNumbers);
    for (const endMs of repeats) checkRetryWindow(sent, repeats, endMs, findings);
  }
}

function checkRetryWindow(
  sent: readonly number[],
  repeats: readonly number[],
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
  const used = countIn(repeats, endMs);
  findings.check('repeats stay within the budget', used <= allowed, () => {
    return `${used} repeats beside ${requests} requests in the window that ends at ${Math.round(endMs)}`;
  });
}

function compareNumbers(left: number, right: number): number {
  return left - right;
}

/** A process that has served by a version handles nothing by an older one that was sent later. */
function checkRegress(probes: readonly IVersionProbe[], findings: Findings): void {
  const newest = new Map<string, number>();
  for (const probe of [...probes].sort((left, right) => left.sentMs - right.sentMs)) {
    if (!probe.isFound) continue;
    const life = `${probe.node}/${probe.life}`;
    const known = newest.get(life) ?? 0;
    findings.check('configurations never go back', probe.version >= known, () => {
      return `${life} answered by ${probe.version} after ${known}`;
    });
    newest.set(life, Math.max(known, probe.version));
  }
}

function checkInForce(evidence: ISoakEvidence, findings: Findings): void {
  const { disturbances, probes, versions } = evidence;
  for (const probe of probes) {
    const accepted = versions.find(({ version }) => version === probe.version);
    if (accepted === undefined) continue;
    const isReplaced = versions.some(({ acceptedMs, version }) => {
      return version > probe.version && acceptedMs <= probe.sentMs + MS_PER_S;
    });
    const dueMs = accepted.acceptedMs + SOAK_BOUNDS.config_apply_s * MS_PER_S;
    if (isReplaced || probe.sentMs < dueMs) continue;
    const scopes = [probe.node, STORE_SCOPE];
    if (!disturbances.isCalm(scopes, accepted.acceptedMs, probe.sentMs)) continue;
    findings.check('configurations are in force in time', probe.isFound, () => {
      return `${probe.node} lacks ${probe.version} ${Math.round(probe.sentMs - accepted.acceptedMs)} ms after it was accepted`;
    });
  }
}

function checkDrains(evidence: ISoakEvidence, findings: Findings): void {
  const { disturbances, drains, ledger } = evidence;
  const requests = new Map(ledger.listStories().map(({ request }) => [request.id, request]));
  for (const { acceptedMs, target } of drains) {
    const dueMs = acceptedMs + SOAK_BOUNDS.drain_s * MS_PER_S;
    for (const arrival of ledger.listArrivals()) {
      if (arrival.target !== target || arrival.atMs <= dueMs) continue;
      const node = requests.get(arrival.id)?.node ?? '';
      if (!disturbances.isCalm([node, STORE_SCOPE], acceptedMs, arrival.atMs)) continue;
      findings.check('leaving targets get nothing new', !arrival.hasRun, () => {
        return `${describeArrival(arrival)} ${Math.round(arrival.atMs - acceptedMs)} ms after the store accepted it`;
      });
    }
  }
}

function checkPlannedStop(story: ISoakStory, evidence: ISoakEvidence, findings: Findings): void {
  const { arrivals, reply, request } = story;
  const stop = evidence.plannedStops.find(({ life, node }) => {
    return node === request.node && life === request.life;
  });
  if (stop === undefined || reply === undefined || reply.hasLeft) return;
  const isNear = reply.endMs >= stop.askedMs;
  const scopes = [
    request.node,
    ...arrivals.flatMap(({ target }) => [target, formatLinkScope(target)]),
  ];
  if (!isNear || !evidence.disturbances.isCalm(scopes, request.sentMs, reply.endMs)) return;
  const isLost = reply.status === undefined && (arrivals.length > 0 || !reply.isUnread);
  findings.check('stops lose no request', !isLost, () => describeStory(story));
}

function checkTimeout(story: ISoakStory, evidence: ISoakEvidence, findings: Findings): void {
  const { reply, request } = story;
  if (reply === undefined || reply.hasLeft) return;
  if (!evidence.disturbances.isCalm([request.node], request.sentMs, reply.endMs)) return;
  const tookMs = reply.endMs - request.sentMs;
  const limitMs = ROUTE_TIMEOUT_S * MS_PER_S + TIMEOUT_SLACK_MS;
  findings.check('answers come by the route’s timeout', tookMs <= limitMs, () => {
    return describeStory(story);
  });
}

function checkLeft(story: ISoakStory, evidence: ISoakEvidence, findings: Findings): void {
  const { arrivals, reply, request } = story;
  if (reply?.hasLeft !== true) return;
  if (!evidence.disturbances.isCalm([request.node], request.sentMs, reply.endMs)) return;
  const limitMs = reply.endMs + LEFT_SLACK_MS;
  const isLate = arrivals.some(({ atMs }) => atMs > limitMs);
  const describe = () => describeStory(story);
  findings.check('requests of callers that left go no further', !isLate, describe);
  const links = arrivals.map(({ target }) => formatLinkScope(target));
  if (!evidence.disturbances.isCalm(links, request.sentMs, limitMs)) return;
  const isWorkedOn = arrivals.some(({ workEndMs }) => (workEndMs ?? Infinity) > limitMs);
  findings.check('targets drop the work of callers that left', !isWorkedOn, describe);
}

/** Scope of the way to a target: a cut there keeps from it that nobody waits any more. */
export function formatLinkScope(target: string): string {
  return `link of ${target}`;
}

/** Of a body, for messages. */
const SHOWN_BYTES = 40;

/** The body that a target answers a request with. */
export function formatAnswerBody(id: string, target: string): string {
  return `${id} done by ${target};${'.'.repeat(ANSWER_FILLER)}`;
}

/** Longer than one segment would be on some networks, so that answers can break in the middle. */
const ANSWER_FILLER = 3000;

function describeArrival(arrival: ISoakArrival | undefined): string {
  if (arrival === undefined) return '';
  const { hasRun, id, path, status, target } = arrival;
  return `${id} ${path} at ${target}${hasRun ? '' : ' (not run)'} ${status}`;
}

function describeStory({ arrivals, reply, request }: ISoakStory): string {
  const at = arrivals.map((arrival) => describeArrival(arrival)).join('; ');
  const tookMs = reply === undefined ? '-' : Math.round(reply.endMs - request.sentMs);
  const outcome = reply === undefined ? 'open' : String(reply.status ?? 'no answer');
  return `${request.kind} ${request.id} through ${request.node}/${request.life} at ${Math.round(request.sentMs)}: ${outcome} after ${tookMs} ms, stamp ${reply?.stamp ?? '-'}, ${reply?.body.length ?? 0} bytes “${reply?.body.slice(0, SHOWN_BYTES) ?? ''}”; arrivals: ${at || 'none'}`;
}
