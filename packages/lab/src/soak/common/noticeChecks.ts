/** Checks of guarantees about notices in targets' responses, and about requests that crash targets. */
import type { Findings } from '../../prove/common/findings.js';
import type { ISoakEvidence } from './soakEvidence.js';
import type {
  IAdvertisedLimit,
  ISoakRequest,
  ISoakRequestRecord,
  ISoakWork,
} from './soakLedger.js';
import { SOAK_BOUNDS } from './soakLayout.js';
import { describeArrival } from './requestText.js';

const MS_PER_S = 1000;
/** Number of crashes after which a request must be quarantined. */
const KNOWN_CRASHES = 3;
/** Time until all nodes know of these crashes, in ms. */
const KNOWN_DELAY_MS = 3000;
/** How often such a request may still be sent to targets after that. */
const MAX_SENT_AFTER_KNOWN = 3;
/** Window in which requests to a target are compared with its advertised limit, in ms. */
const LIMIT_WINDOW_MS = 4000;
/** Factor by which the requests in a window may exceed the limit. */
const LIMIT_EXCESS = 1.5;
/** Number of requests that are allowed in a window in addition. */
const LIMIT_ALLOWANCE = 5;
/** A target is checked from this long after it began to advertise its limit, in ms. */
const LIMIT_SETTLED_MS = 3000;
/** A node's requests are counted from this long after it first forwarded the limit, in ms. */
const LIMIT_APPLY_MS = 500;

/** Checks with a time bound; they cover only nodes that no fault affected. */
export function checkNotices(evidence: ISoakEvidence, findings: Findings): void {
  const records = evidence.ledger.listRequestRecords();
  checkCrashes(records, evidence, findings);
  checkAnnouncedDrains(records, evidence, findings);
  checkAdvertisedLimits(records, evidence, findings);
}

function checkCrashes(
  records: readonly ISoakRequestRecord[],
  { crashes, disturbances }: ISoakEvidence,
  findings: Findings,
): void {
  for (const path of new Set(crashes.map((crash) => crash.path))) {
    const thirdMs = crashes.filter((crash) => crash.path === path)[KNOWN_CRASHES - 1]?.atMs;
    if (thirdMs === undefined) continue;
    const late = records
      .filter(({ request }) => request.path === path)
      .flatMap(({ arrivals, request }) => {
        return arrivals.filter(({ atMs }) => {
          const isUndisturbed = disturbances.isUndisturbed([request.node], atMs, atMs);
          return atMs > thirdMs + KNOWN_DELAY_MS && isUndisturbed;
        });
      });
    findings.check('crashing requests are held back', late.length <= MAX_SENT_AFTER_KNOWN, () => {
      return `${path} was sent ${late.length} times after it had crashed ${KNOWN_CRASHES} targets`;
    });
  }
}

function checkAnnouncedDrains(
  records: readonly ISoakRequestRecord[],
  { disturbances }: ISoakEvidence,
  findings: Findings,
): void {
  const announcedMs = new Map<string, number>();
  for (const record of records) {
    const announcer = findDrainAnnouncement(record);
    if (announcer === undefined || record.reply === undefined) continue;
    const key = formatKey(record, announcer);
    announcedMs.set(key, Math.min(announcedMs.get(key) ?? Infinity, record.reply.endMs));
  }
  for (const record of records) {
    const { node, sentMs } = record.request;
    for (const arrival of record.arrivals) {
      const dueMs =
        (announcedMs.get(formatKey(record, arrival)) ?? Infinity) + SOAK_BOUNDS.drain_s * MS_PER_S;
      if (sentMs <= dueMs || !disturbances.isUndisturbed([node], dueMs, arrival.atMs)) continue;
      findings.check('targets that say they leave get nothing new', false, () => {
        return `${describeArrival(arrival)} from ${node}, ${Math.round(sentMs - dueMs)} ms too late`;
      });
    }
  }
  findings.check('targets that say they leave get nothing new', true, () => '');
}

function checkAdvertisedLimits(
  records: readonly ISoakRequestRecord[],
  { disturbances }: ISoakEvidence,
  findings: Findings,
): void {
  const name = 'targets that name a limit get no more';
  const advertisedMs = findAdvertisedTimes(records);
  const arrivals = records.flatMap(({ arrivals: recordArrivals, request }) => {
    return recordArrivals.flatMap((arrival) => {
      const { atMs, limit } = arrival;
      if (limit === undefined) return [];
      const key = formatLimit(arrival, limit);
      const countedMs =
        (advertisedMs.get(`${formatNode(request)} ${key}`) ?? Infinity) + LIMIT_APPLY_MS;
      const isUndisturbed = disturbances.isUndisturbed([request.node], countedMs, atMs);
      return atMs >= countedMs && isUndisturbed ? { atMs, key, limit } : [];
    });
  });
  for (const { atMs, key, limit } of arrivals) {
    if (atMs < limit.sinceMs + LIMIT_SETTLED_MS) continue;
    const count = arrivals.filter((other) => {
      return other.key === key && other.atMs > atMs - LIMIT_WINDOW_MS && other.atMs <= atMs;
    }).length;
    const allowed = (LIMIT_EXCESS * limit.ratePerS * LIMIT_WINDOW_MS) / MS_PER_S + LIMIT_ALLOWANCE;
    findings.check(name, count <= allowed, () => {
      return `${key} allows ${limit.ratePerS.toFixed(1)} requests per second and received ${count}`;
    });
  }
  findings.check(name, true, () => '');
}

/** Finds when each node first forwarded a response that advertises a limit. */
function findAdvertisedTimes(records: readonly ISoakRequestRecord[]): ReadonlyMap<string, number> {
  const advertisedMs = new Map<string, number>();
  for (const { arrivals, reply, request } of records) {
    for (const arrival of arrivals) {
      const isForwarded = reply?.stamp === `${arrival.target}.${arrival.id}`;
      if (arrival.limit === undefined || !isForwarded) continue;
      const key = `${formatNode(request)} ${formatLimit(arrival, arrival.limit)}`;
      advertisedMs.set(key, Math.min(advertisedMs.get(key) ?? Infinity, reply.endMs));
    }
  }
  return advertisedMs;
}

function formatLimit({ bornMs, target }: ISoakWork, { sinceMs }: IAdvertisedLimit): string {
  return `${target}/${bornMs} since ${Math.round(sinceMs)} ms`;
}

function formatNode({ incarnation, node }: ISoakRequest): string {
  return `${node}/${incarnation}`;
}

/** Finds the arrival whose response the node forwarded, if that announced that the target is draining. */
function findDrainAnnouncement({ arrivals, reply }: ISoakRequestRecord): ISoakWork | undefined {
  return arrivals.find(({ id, target, isAnnouncingDrain }) => {
    return isAnnouncingDrain && reply?.stamp === `${target}.${id}`;
  });
}

/** Includes the start time, since a target that restarts under the same identifier is not draining. */
function formatKey({ request }: ISoakRequestRecord, { bornMs, target }: ISoakWork): string {
  return `${formatNode(request)} ${target}/${bornMs}`;
}
