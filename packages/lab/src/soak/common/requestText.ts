/** Requests and arrivals in words, and the bodies that targets answer with. */
import type { ISoakArrival, ISoakRequestRecord } from './soakLedger.js';

/** Of a body, for messages. */
const MAX_SHOWN_BYTES = 40;

/** The body that a target answers a request with. */
export function formatResponseBody(id: string, target: string): string {
  return `${id} done by ${target};${'.'.repeat(BODY_FILLER_BYTES)}`;
}

/** Longer than one segment would be on some networks, so that answers can break in the middle. */
const BODY_FILLER_BYTES = 3000;

/** One line for an arrival. */
export function describeArrival(arrival: ISoakArrival | undefined): string {
  if (arrival === undefined) return '';
  const { hasRun, id, path, status, target } = arrival;
  return `${id} ${path} at ${target}${hasRun ? '' : ' (not run)'} ${status}`;
}

/** One line for a request with all that is known of it. */
export function describeRequestRecord({ arrivals, reply, request }: ISoakRequestRecord): string {
  const at = arrivals.map((arrival) => describeArrival(arrival)).join('; ');
  const tookMs = reply === undefined ? '-' : Math.round(reply.endMs - request.sentMs);
  const outcome = reply === undefined ? 'open' : String(reply.status ?? 'no answer');
  return `${request.kind} ${request.id} through ${request.node}/${request.incarnation} at ${Math.round(request.sentMs)}: ${outcome} after ${tookMs} ms, stamp ${reply?.stamp ?? '-'}, ${reply?.body.length ?? 0} bytes “${reply?.body.slice(0, MAX_SHOWN_BYTES) ?? ''}”; arrivals: ${at || 'none'}`;
}
