/** Descriptions of requests and arrivals for messages, and the response bodies of targets. */
import type { ISoakArrival, ISoakRequestRecord } from './soakLedger.js';

/** Number of bytes of a body that messages show. */
const MAX_SHOWN_BYTES = 40;

/** Formats the body of a target's response to a request. */
export function formatResponseBody(id: string, target: string): string {
  return `${id} done by ${target};${'.'.repeat(BODY_FILLER_BYTES)}`;
}

/** Longer than one TCP segment on common networks, so that responses can be truncated. */
const BODY_FILLER_BYTES = 3000;

/** Describes an arrival in one line. */
export function describeArrival(arrival: ISoakArrival | undefined): string {
  if (arrival === undefined) return '';
  const { hasRun, id, path, status, target } = arrival;
  return `${id} ${path} at ${target}${hasRun ? '' : ' (not run)'} ${status}`;
}

/** Describes a request with its reply and its arrivals in one line. */
export function describeRequestRecord({ arrivals, reply, request }: ISoakRequestRecord): string {
  const at = arrivals.map((arrival) => describeArrival(arrival)).join('; ');
  const tookMs = reply === undefined ? '-' : Math.round(reply.endMs - request.sentMs);
  const outcome = reply === undefined ? 'open' : String(reply.status ?? 'no answer');
  return `${request.kind} ${request.id} through ${request.node}/${request.incarnation} at ${Math.round(request.sentMs)}: ${outcome} after ${tookMs} ms, stamp ${reply?.stamp ?? '-'}, ${reply?.body.length ?? 0} bytes “${reply?.body.slice(0, MAX_SHOWN_BYTES) ?? ''}”; arrivals: ${at || 'none'}`;
}
