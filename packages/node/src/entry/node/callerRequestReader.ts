/** Reads a caller's complete request once its route is known. */
import type { IncomingMessage } from 'node:http';
import type { Clock } from '@parsleymux/base';
import { ResultCode } from '@parsleymux/base';
import type { IRouteMatch } from '@parsleymux/config';
import type { IRoutedRequest } from '@parsleymux/routing';
import { createRefusal } from '../../http/common/refusal.js';
import { HeaderName, listEndToEndHeaders } from '../../http/common/headers.js';
import { readBody } from '../../http/node/bodyReader.js';
import { parseKey, parseTimeout } from '../common/callerRequest.js';

/** Options of {@link readCallerRequest}. */
export interface ICallerRequestOptions {
  readonly clock: Clock;
  readonly match: IRouteMatch;
  /** Time at which the request arrived, on the monotonic clock, in ms. */
  readonly startedMs: number;
  /** Timeout when neither the caller nor the route sets one, in ms. */
  readonly defaultDeadlineMs: number;
  readonly maxBodyBytes: number;
}

/**
 * Reads the rest of the request. Throws a refusal with a result code when it is malformed, too large
 * or incomplete.
 *
 * @example
 * const routed = await readCallerRequest(request, { clock, match, startedMs, defaultDeadlineMs, maxBodyBytes });
 */
export async function readCallerRequest(
  request: IncomingMessage,
  options: ICallerRequestOptions,
): Promise<IRoutedRequest> {
  const { member, route } = options.match;
  const timeout = request.headers[HeaderName.TimeoutMs];
  const timeoutMs = parseTimeout(
    typeof timeout === 'string' ? timeout : undefined,
    route,
    options.defaultDeadlineMs,
  );
  const deadlineMs = options.startedMs + timeoutMs;
  const { clock, maxBodyBytes: maxBytes } = options;
  const idempotencyKey = parseKey(request.headers[route.keyHeader], route);
  return {
    member,
    route,
    method: request.method ?? 'GET',
    path: request.url ?? '/',
    headers: listEndToEndHeaders(request.rawHeaders),
    body: await readBody(request, { clock, maxBytes, deadlineMs }),
    deadlineMs,
    caller: getCallerAddress(request),
    idempotencyKey,
  };
}

/**
 * Throws for any expectation but `100-continue`, the only one that is defined (RFC 9110, section 10.1.1).
 *
 * @example
 * checkExpectation(request);
 */
export function checkExpectation(request: IncomingMessage): void {
  const { expect } = request.headers;
  if (expect === undefined || expect.toLowerCase() === '100-continue') return;
  throw createRefusal(ResultCode.MalformedRequest, 'the expectation is not known');
}

/** Returns the address that the platform's balancer forwarded, or that of the connection. */
function getCallerAddress(request: IncomingMessage): string {
  const forwarded = request.headers['x-forwarded-for'];
  const last = typeof forwarded === 'string' ? forwarded.split(',').at(-1)?.trim() : undefined;
  return last ?? request.socket.remoteAddress ?? '';
}
