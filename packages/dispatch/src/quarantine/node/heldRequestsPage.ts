/** HTTP endpoint on which operators list the quarantined requests and release them. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { RequestQuarantine } from '@parsleymux/scheduling';

const PATH = '/held-requests';
const OK = 200;
const NO_CONTENT = 204;
const NOT_FOUND = 404;
const METHOD_NOT_ALLOWED = 405;

/**
 * Handles `GET /held-requests`, which lists the quarantined requests as JSON, and
 * `DELETE /held-requests/FINGERPRINT`, which releases that request on all nodes. Returns false, without
 * a response, for any other path.
 *
 * @example
 * if (!handleHeldRequests(quarantine, incoming, response)) response.writeHead(404).end();
 */
export function handleHeldRequests(
  quarantine: RequestQuarantine,
  incoming: IncomingMessage,
  response: ServerResponse,
): boolean {
  const path = incoming.url ?? '';
  if (path !== PATH && !path.startsWith(`${PATH}/`)) return false;
  switch (incoming.method) {
    case 'GET':
      response.writeHead(OK, { 'content-type': 'application/json' });
      response.end(JSON.stringify(quarantine.listQuarantined()));
      break;
    case 'DELETE': {
      const isKnown = quarantine.release(path.slice(PATH.length + 1), 'an operator let it go');
      response.writeHead(isKnown ? NO_CONTENT : NOT_FOUND).end();
      break;
    }
    default:
      response.writeHead(METHOD_NOT_ALLOWED).end();
  }
  return true;
}
