/** Promises about what targets tell by their answers, and by crashing. */
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
/** A request that has crashed this many targets is known to all nodes after the time below, in ms. */
const KNOWN_CRASHES = 3;
const KNOWN_DELAY_MS = 3000;
/** Times that such a request may be sent to targets after that. */
const MAX_SENT_AFTER_KNOWN = 3;
/** Requests in this time, in ms, are at most so many times a named limit, and so many besides. */
const LIMIT_WINDOW_MS = 4000;
const LIMIT_EXCESS = 1.5;
const LIMIT_ALLOWANCE = 5;
/** A target is judged from this long after it began to name its limit, in ms. */
const LIMIT_SETTLED_MS = 3000;
/** Requests of a node count from this long after it passed the limit on, in ms. */
const LIMIT_APPLY_MS = 500;

/** Checks with a bound of time; they judge nodes that nothing disturbed. */
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
          const isCalm = disturbances.isCalm([request.node], atMs, atMs);
          return atMs > thirdMs + KNOWN_DELAY_MS && isCalm;
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
  const toldMs = new Map<string, number>();
  for (const record of records) {
    const teller = findDrainAnnouncement(record);
    if (teller === undefined || record.reply === undefined) continue;
    const key = formatKey(record, teller);
    toldMs.set(key, Math.min(toldMs.get(key) ?? Infinity, record.reply.endMs));
  }
  for (const record of records) {
    const { node, sentMs } = record.request;
    for (const arrival of record.arrivals) {
      const dueMs =
        (toldMs.get(formatKey(record, arrival)) ?? Infinity) + SOAK_BOUNDS.drain_s * MS_PER_S;
      if (sentMs <= dueMs || !disturbances.isCalm([node], dueMs, arrival.atMs)) continue;
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
  const namedMs = findAdvertisedTimes(records);
  const arrivals = records.flatMap(({ arrivals: ofStory, request }) => {
    return ofStory.flatMap((arrival) => {
      const { atMs, limit } = arrival;
      if (limit === undefined) return [];
      const key = formatLimit(arrival, limit);
      const countedMs = (namedMs.get(`${formatNode(request)} ${key}`) ?? Infinity) + LIMIT_APPLY_MS;
      const isCalm = disturbances.isCalm([request.node], countedMs, atMs);
      return atMs >= countedMs && isCalm ? { atMs, key, limit } : [];
    });
  });
  for (const { atMs, key, limit } of arrivals) {
    if (atMs < limit.sinceMs + LIMIT_SETTLED_MS) continue;
    const count = arrivals.filter((one) => {
      return one.key === key && one.atMs > atMs - LIMIT_WINDOW_MS && one.atMs <= atMs;
    }).length;
    const allowed = (LIMIT_EXCESS * limit.ratePerS * LIMIT_WINDOW_MS) / MS_PER_S + LIMIT_ALLOWANCE;
    findings.check(name, count <= allowed, () => {
      return `${key} takes ${limit.ratePerS.toFixed(1)} a second and got ${count}`;
    });
  }
  findings.check(name, true, () => '');
}

/** When each node first passed on an answer that names a limit. */
function findAdvertisedTimes(records: readonly ISoakRequestRecord[]): ReadonlyMap<string, number> {
  const namedMs = new Map<string, number>();
  for (const { arrivals, reply, request } of records) {
    for (const arrival of arrivals) {
      const isPassedOn = reply?.stamp === `${arrival.target}.${arrival.id}`;
      if (arrival.limit === undefined || !isPassedOn) continue;
      const key = `${formatNode(request)} ${formatLimit(arrival, arrival.limit)}`;
      namedMs.set(key, Math.min(namedMs.get(key) ?? Infinity, reply.endMs));
    }
  }
  return namedMs;
}

function formatLimit({ bornMs, target }: ISoakWork, { sinceMs }: IAdvertisedLimit): string {
  return `${target}/${bornMs} since ${Math.round(sinceMs)} ms`;
}

function formatNode({ incarnation, node }: ISoakRequest): string {
  return `${node}/${incarnation}`;
}

/** The arrival whose answer the node passed on, if that said that the target leaves. */
function findDrainAnnouncement({ arrivals, reply }: ISoakRequestRecord): ISoakWork | undefined {
  return arrivals.find(({ id, target, isAnnouncingDrain }) => {
    return isAnnouncingDrain && reply?.stamp === `${target}.${id}`;
  });
}

/** A target that has started again under its identifier is another one, which does not leave. */
function formatKey({ request }: ISoakRequestRecord, { bornMs, target }: ISoakWork): string {
  return `${formatNode(request)} ${target}/${bornMs}`;
}
