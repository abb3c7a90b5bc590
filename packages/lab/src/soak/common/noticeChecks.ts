/** Promises about what targets tell by their answers, and by crashing. */
import type { Findings } from '../../prove/common/findings.js';
import type { ISoakEvidence } from './soakEvidence.js';
import type { ISoakStory, ISoakWork } from './soakLedger.js';
import { SOAK_BOUNDS } from './soakLayout.js';
import { describeArrival } from './storyText.js';

const MS_PER_S = 1000;
/** A request that has crashed this many targets is known to all nodes after the time below, in ms. */
const KNOWN_CRASHES = 3;
const KNOWN_AFTER_MS = 3000;
/** Times that such a request may be sent to targets after that. */
const MOST_AFTER_KNOWN = 3;

/** Checks with a bound of time; they judge nodes that nothing disturbed. */
export function checkNotices(evidence: ISoakEvidence, findings: Findings): void {
  const stories = evidence.ledger.listStories();
  checkCrashes(stories, evidence, findings);
  checkToldDrains(stories, evidence, findings);
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

/** The arrival whose answer the node passed on, if that said that the target leaves. */
function findTeller({ arrivals, reply }: ISoakStory): ISoakWork | undefined {
  return arrivals.find(({ id, target, tellsDrain }) => {
    return tellsDrain && reply?.stamp === `${target}.${id}`;
  });
}

/** A target that has started again under its identifier is another one, which does not leave. */
function formatKey({ request }: ISoakStory, { bornMs, target }: ISoakWork): string {
  return `${request.node}/${request.life} ${target}/${bornMs}`;
}
