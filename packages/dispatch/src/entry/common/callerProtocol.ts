/** What callers say in headers, beyond HTTP: varies with the deployment. */
import type { IncomingHttpHeaders } from 'node:http';
import type { Header } from '@parsleymux/routing';

/** The convention by which callers name their requests and say how long they wait. */
export abstract class CallerProtocol {
  /** The caller's identifier of the request; undefined when it gave none. */
  abstract getRequestId(headers: IncomingHttpHeaders): string | undefined;

  /** How long the caller waits, in ms; undefined when it doesn't say, NaN when it makes no sense. */
  abstract getTimeoutMs(headers: IncomingHttpHeaders): number | undefined;

  /** Headers that an answer of the node's own carries, so that the caller knows what it answers. */
  abstract listAnswerHeaders(headers: IncomingHttpHeaders): readonly Header[];
}
