/**
 * Checks of guarantees with a time bound. They cover only what no fault affected, and need a machine that
 * is not overloaded.
 */
import type { Findings } from '../../prove/common/findings.js';
import { STORE_SCOPE, formatLinkScope, formatPathScope } from './disturbanceLog.js';
import type { ISoakEvidence } from './soakEvidence.js';
import type { ISoakRequestRecord } from './soakLedger.js';
import { ROUTE_TIMEOUT_S, SOAK_BOUNDS, listChangingServices } from './soakLayout.js';
import { describeArrival, describeRequestRecord } from './requestText.js';

const MS_PER_S = 1000;
const NOT_FOUND = 404;
/** How long after its route's timeout a response may still arrive, in ms. */
const TIMEOUT_SLACK_MS = 500;
/** How long after its caller disconnected a request may still arrive or run at a target, in ms. */
const DISCONNECT_SLACK_MS = 500;
/** Time from the beginning of a path loss from which its nodes must serve, in ms. */
const PATH_LOSS_SETTLE_MS = 3000;
/** First tries that may fail at nodes without a path, and the share of all first tries in addition. */
const MAX_FAILED_TRIES = 10;
const MAX_FAILED_TRY_SHARE = 1 / 50;
/** Lowest share served at nodes without a path, relative to the others. */
const MIN_RELATIVE_SERVED = 2 / 3;

export function checkBounds(evidence: ISoakEvidence, findings: Findings): void {
  const records = evidence.ledger.listRequestRecords();
  checkDrains(evidence, findings);
  checkConfigApplied(evidence, findings);
  checkPathLosses(evidence, findings);
  for (const record of records) {
    checkChangingRoute(record, evidence, findings);
    checkPlannedStop(record, evidence, findings);
    checkTimeout(record, evidence, findings);
    checkDisconnect(record, evidence, findings);
  }
}

/**
 * Compares the first tries at nodes without a path with those at the others, from some seconds after the
 * loss began. The callers of the soak don't retry, so each of their requests is a first try.
 */
function checkPathLosses(
  { disturbances, ledger, pathLosses }: ISoakEvidence,
  findings: Findings,
): void {
  const counts = { affected: 0, affectedServed: 0, others: 0, othersServed: 0 };
  for (const { reply, request } of ledger.listRequestRecords()) {
    const isCounted = request.kind === 'booking' || request.kind === 'list';
    if (!isCounted || reply === undefined || reply.hasDisconnected) continue;
    const loss = pathLosses.find(({ endMs = Infinity, startMs }) => {
      return request.sentMs >= startMs + PATH_LOSS_SETTLE_MS && request.sentMs < endMs;
    });
    if (loss === undefined) continue;
    if (!disturbances.isUndisturbed([request.node, STORE_SCOPE], loss.startMs, reply.endMs))
      continue;
    const isServed = reply.status === 200 ? 1 : 0;
    if (loss.nodes.includes(request.node)) {
      counts.affected += 1;
      counts.affectedServed += isServed;
    } else {
      counts.others += 1;
      counts.othersServed += isServed;
    }
  }
  const { affected, affectedServed, others, othersServed } = counts;
  if (affected === 0 || others === 0) return;
  const failed = affected - affectedServed;
  const isFailing = failed > MAX_FAILED_TRIES + MAX_FAILED_TRY_SHARE * (affected + others);
  const isWorse = affectedServed * others < MIN_RELATIVE_SERVED * othersServed * affected;
  findings.check('nodes without a path serve their callers', !(isFailing && isWorse), () => {
    return `they served ${affectedServed} of ${affected} first tries, the others ${othersServed} of ${others}`;
  });
}

function checkConfigApplied(evidence: ISoakEvidence, findings: Findings): void {
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
    if (!disturbances.isUndisturbed(scopes, accepted.acceptedMs, probe.sentMs)) continue;
    findings.check('configurations are in force in time', probe.isFound, () => {
      return `${probe.node} lacks version ${probe.version} ${Math.round(probe.sentMs - accepted.acceptedMs)} ms after it was accepted`;
    });
  }
}

/** A changing route is handled as a version allows that had not been replaced for the whole bound. */
function checkChangingRoute(
  { arrivals, reply, request }: ISoakRequestRecord,
  { disturbances, versions }: ISoakEvidence,
  findings: Findings,
): void {
  if (request.kind !== 'changing' || reply?.status === undefined) return;
  const dueMs = request.sentMs - SOAK_BOUNDS.config_apply_s * MS_PER_S;
  const newestDue = Math.max(
    0,
    ...versions.filter(({ acceptedMs }) => acceptedMs <= dueMs).map(({ version }) => version),
  );
  const possible = versions.filter(({ acceptedMs, version }) => {
    return version >= newestDue && acceptedMs <= reply.endMs;
  });
  const isRefused = reply.status === NOT_FOUND && reply.stamp === undefined;
  const service = arrivals.find(({ hasRun }) => hasRun)?.service;
  if (!isRefused && service === undefined) return;
  if (!disturbances.isUndisturbed([request.node, STORE_SCOPE], dueMs, reply.endMs)) return;
  const isHandled = possible.some(({ version }) => {
    const services = listChangingServices(version, request.path);
    return service === undefined ? services.length === 0 : services.includes(service);
  });
  findings.check('changed routes are handled by a version in force', isHandled, () => {
    const outcome = service ?? String(reply.status);
    const due = versions.find(({ version }) => version === newestDue);
    const ageMs = Math.round(request.sentMs - (due?.acceptedMs ?? 0));
    return `${request.node} ${request.path}: ${outcome}, ${ageMs} ms after version ${newestDue} was accepted`;
  });
}

function checkDrains(evidence: ISoakEvidence, findings: Findings): void {
  const { disturbances, drains, ledger } = evidence;
  const requests = new Map(ledger.listRequestRecords().map(({ request }) => [request.id, request]));
  for (const { acceptedMs, endMs = Infinity, target } of drains) {
    const dueMs = acceptedMs + SOAK_BOUNDS.drain_s * MS_PER_S;
    for (const arrival of ledger.listArrivals()) {
      if (arrival.target !== target || arrival.atMs <= dueMs || arrival.atMs > endMs) continue;
      const node = requests.get(arrival.id)?.node ?? '';
      if (!disturbances.isUndisturbed([node, STORE_SCOPE], acceptedMs, arrival.atMs)) continue;
      findings.check('leaving targets get nothing new', !arrival.hasRun, () => {
        return `${describeArrival(arrival)} ${Math.round(arrival.atMs - acceptedMs)} ms after the store accepted it`;
      });
    }
  }
}

function checkPlannedStop(
  record: ISoakRequestRecord,
  evidence: ISoakEvidence,
  findings: Findings,
): void {
  const { arrivals, reply, request } = record;
  const stop = evidence.plannedStops.find(({ incarnation, node }) => {
    return node === request.node && incarnation === request.incarnation;
  });
  if (stop === undefined || reply === undefined || reply.hasDisconnected) return;
  const isAfterRequest = reply.endMs >= stop.requestedMs;
  const scopes = [
    request.node,
    ...arrivals.flatMap(({ target }) => [target, formatLinkScope(target)]),
  ];
  if (!isAfterRequest || !evidence.disturbances.isUndisturbed(scopes, request.sentMs, reply.endMs))
    return;
  const isLost = reply.status === undefined && (arrivals.length > 0 || !reply.isUnread);
  findings.check('stops lose no request', !isLost, () => describeRequestRecord(record));
}

function checkTimeout(
  record: ISoakRequestRecord,
  evidence: ISoakEvidence,
  findings: Findings,
): void {
  const { reply, request } = record;
  if (reply === undefined || reply.hasDisconnected) return;
  if (!evidence.disturbances.isUndisturbed([request.node], request.sentMs, reply.endMs)) return;
  const tookMs = reply.endMs - request.sentMs;
  const limitMs = ROUTE_TIMEOUT_S * MS_PER_S + TIMEOUT_SLACK_MS;
  findings.check('answers come by the route’s timeout', tookMs <= limitMs, () => {
    return describeRequestRecord(record);
  });
}

function checkDisconnect(
  record: ISoakRequestRecord,
  evidence: ISoakEvidence,
  findings: Findings,
): void {
  const { arrivals, reply, request } = record;
  if (reply?.hasDisconnected !== true) return;
  if (!evidence.disturbances.isUndisturbed([request.node], request.sentMs, reply.endMs)) return;
  const limitMs = reply.endMs + DISCONNECT_SLACK_MS;
  const isLate = arrivals.some(({ atMs }) => atMs > limitMs);
  const describe = () => describeRequestRecord(record);
  findings.check('requests of callers that left go no further', !isLate, describe);
  const links = [
    formatPathScope(request.node),
    ...arrivals.map(({ target }) => formatLinkScope(target)),
  ];
  if (!evidence.disturbances.isUndisturbed(links, request.sentMs, limitMs)) return;
  const isStillRunning = arrivals.some(({ workEndMs }) => (workEndMs ?? Infinity) > limitMs);
  findings.check('targets drop the work of callers that left', !isStillRunning, describe);
}
