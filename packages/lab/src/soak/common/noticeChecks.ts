/** Promises about what targets tell by their answers, and by crashing. */
import type { Findings } from '../../prove/common/findings.js';
import type { ISoakEvidence } from './soakEvidence.js';
import type { INamedLimit, ISoakRequest, ISoakStory, ISoakWork } from './soakLedger.js';
import { SOAK_BOUNDS } from './soakLayout.js';
import { describeArrival } from './storyText.js';

const MS_PER_S = 1000;
/** A request that has crashed this many targets is known to all nodes after the time below, in ms. */
const KNOWN_CRASHES = 3;
const KNOWN_AFTER_MS = 3000;
/** Times that such a request may be sent to targets after that. */
const MOST_AFTER_KNOWN = 3;
/** Requests in this time, in ms, are at most so many times a named limit, and so many besides. */
const LIMIT_WINDOW_MS = 4000;
const LIMIT_EXCESS = 1.5;
const LIMIT_BESIDES = 5;
/** A target is judged from this long after it began to name its limit, in ms. */
const LIMIT_SETTLED_MS = 3000;
/** Requests of a node count from this long after it passed the limit on, in ms. */
const LIMIT_KNOWN_MS = 500;

/** Checks with a bound of time; they judge nodes that nothing disturbed. */
export function checkNotices(evidence: ISoakEvidence, findings: Findings): void {
  const stories = evidence.ledger.listStories();
  checkCrashes(stories, evidence, findings);
  checkToldDrains(stories, evidence, findings);
  checkNamedLimits(stories, evidence, findings);
}

function checkCrashes(
  stories: readonly ISoakStory[],
  { crashes, disturbances }: ISoakEvidence,
  findings: Findings,
): void {
  for (const path of new Set(crashes.map((crash) => crash.path))) {
    const thirdMs = crashes.filter((crash) => crash.path === path)[KNOWN_CRASHES - 1]?.atMs;
    if (thirdMs === undefined) continue;
    const late = stories
      .filter(({ request }) => request.path === path)
      .flatMap(({ arrivals, request }) => {
        return arrivals.filter(({ atMs }) => {
          const isCalm = disturbances.isCalm([request.node], atMs, atMs);
          return atMs > thirdMs + KNOWN_AFTER_MS && isCalm;
        });
      });
    findings.check('crashing requests are held back', late.length <= MOST_AFTER_KNOWN, () => {
      return `${path} was sent ${late.length} times after it had crashed ${KNOWN_CRASHES} targets`;
    });
  }
}

function checkToldDrains(
  stories: readonly ISoakStory[],
  { disturbances }: ISoakEvidence,
  findings: Findings,
): void {
  const toldMs = new Map<string, number>();
  for (const story of stories) {
    const teller = findTeller(story);
    if (teller === undefined || story.reply === undefined) continue;
    const key = formatKey(story, teller);
    toldMs.set(key, Math.min(toldMs.get(key) ?? Infinity, story.reply.endMs));
  }
  for (const story of stories) {
    const { node, sentMs } = story.request;
    for (const arrival of story.arrivals) {
      const dueMs =
        (toldMs.get(formatKey(story, arrival)) ?? Infinity) + SOAK_BOUNDS.drain_s * MS_PER_S;
      if (sentMs <= dueMs || !disturbances.isCalm([node], dueMs, arrival.atMs)) continue;
      findings.check('targets that say they leave get nothing new', false, () => {
        return `${describeArrival(arrival)} from ${node}, ${Math.round(sentMs - dueMs)} ms too late`;
      });
    }
  }
  findings.check('targets that say they leave get nothing new', true, () => '');
}

function checkNamedLimits(
  stories: readonly ISoakStory[],
  { disturbances }: ISoakEvidence,
  findings: Findings,
): void {
  const name = 'targets that name a limit get no more';
  const namedMs = findNamedMoments(stories);
  const arrivals = stories.flatMap(({ arrivals: ofStory, request }) => {
    return ofStory.flatMap((arrival) => {
      const { atMs, limit } = arrival;
      if (limit === undefined) return [];
      const key = formatLimit(arrival, limit);
      const countedMs = (namedMs.get(`${formatNode(request)} ${key}`) ?? Infinity) + LIMIT_KNOWN_MS;
      const isCalm = disturbances.isCalm([request.node], countedMs, atMs);
      return atMs >= countedMs && isCalm ? { atMs, key, limit } : [];
    });
  });
  for (const { atMs, key, limit } of arrivals) {
    if (atMs < limit.sinceMs + LIMIT_SETTLED_MS) continue;
    const count = arrivals.filter((one) => {
      return one.key === key && one.atMs > atMs - LIMIT_WINDOW_MS && one.atMs <= atMs;
    }).length;
    const allowed = (LIMIT_EXCESS * limit.ratePerS * LIMIT_WINDOW_MS) / MS_PER_S + LIMIT_BESIDES;
    findings.check(name, count <= allowed, () => {
      return `${key} takes ${limit.ratePerS.toFixed(1)} a second and got ${count}`;
    });
  }
  findings.check(name, true, () => '');
}

/** When each node first passed on an answer that names a limit. */
function findNamedMoments(stories: readonly ISoakStory[]): ReadonlyMap<string, number> {
  const namedMs = new Map<string, number>();
  for (const { arrivals, reply, request } of stories) {
    for (const arrival of arrivals) {
      const isPassedOn = reply?.stamp === `${arrival.target}.${arrival.id}`;
      if (arrival.limit === undefined || !isPassedOn) continue;
      const key = `${formatNode(request)} ${formatLimit(arrival, arrival.limit)}`;
      namedMs.set(key, Math.min(namedMs.get(key) ?? Infinity, reply.endMs));
    }
  }
  return namedMs;
}

function formatLimit({ bornMs, target }: ISoakWork, { sinceMs }: INamedLimit): string {
  return `${target}/${bornMs} since ${Math.round(sinceMs)} ms`;
}

function formatNode({ life, node }: ISoakRequest): string {
  return `${node}/${life}`;
}

/** The arrival whose answer the node passed on, if that said that the target leaves. */
function findTeller({ arrivals, reply }: ISoakStory): ISoakWork | undefined {
  return arrivals.find(({ id, target, tellsDrain }) => {
    return tellsDrain && reply?.stamp === `${target}.${id}`;
  });
}

/** A target that has started again under its identifier is another one, which does not leave. */
function formatKey({ request }: ISoakStory, { bornMs, target }: ISoakWork): string {
  return `${formatNode(request)} ${target}/${bornMs}`;
}
