/** Lets operators see which requests are held back, and let them go. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { RequestQuarantine } from '../common/requestQuarantine.js';

const PATH = '/held-requests';
const OK = 200;
const NO_CONTENT = 204;
const NOT_FOUND = 404;
const METHOD_NOT_ALLOWED = 405;

/**
 * Answers `GET /held-requests` with a list in JSON, and `DELETE /held-requests/FINGERPRINT` by letting
 * that request go on all nodes. False if the path is another one.
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
