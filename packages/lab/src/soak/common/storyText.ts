/** Requests and arrivals in words, and the bodies that targets answer with. */
import type { ISoakArrival, ISoakStory } from './soakLedger.js';

/** Of a body, for messages. */
const SHOWN_BYTES = 40;

/** The body that a target answers a request with. */
export function formatAnswerBody(id: string, target: string): string {
  return `${id} done by ${target};${'.'.repeat(ANSWER_FILLER)}`;
}

/** Longer than one segment would be on some networks, so that answers can break in the middle. */
const ANSWER_FILLER = 3000;

/** One line for an arrival. */
export function describeArrival(arrival: ISoakArrival | undefined): string {
  if (arrival === undefined) return '';
  const { hasRun, id, path, status, target } = arrival;
  return `${id} ${path} at ${target}${hasRun ? '' : ' (not run)'} ${status}`;
}

/** One line for a request with all that is known of it. */
export function describeStory({ arrivals, reply, request }: ISoakStory): string {
  const at = arrivals.map((arrival) => describeArrival(arrival)).join('; ');
  const tookMs = reply === undefined ? '-' : Math.round(reply.endMs - request.sentMs);
  const outcome = reply === undefined ? 'open' : String(reply.status ?? 'no answer');
  return `${request.kind} ${request.id} through ${request.node}/${request.life} at ${Math.round(request.sentMs)}: ${outcome} after ${tookMs} ms, stamp ${reply?.stamp ?? '-'}, ${reply?.body.length ?? 0} bytes “${reply?.body.slice(0, SHOWN_BYTES) ?? ''}”; arrivals: ${at || 'none'}`;
}
