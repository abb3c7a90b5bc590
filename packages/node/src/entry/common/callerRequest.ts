/** Parses and validates the host, path, timeout and key of a caller's request before it is processed. */
import { ResultCode } from '@parsleymux/base';
import type { IRouteMatch, RouteTable } from '@parsleymux/config';
import { RouteMiss } from '@parsleymux/config';
import type { Route } from '@parsleymux/schema';
import { createRefusal } from '../../http/common/refusal.js';

const MAX_DEADLINE_MS = 600_000;
const MAX_KEY_LENGTH = 256;
/** Visible ASCII, so that a key has the same form in a header, a row and a log. */
const KEY_PATTERN = /^[\x21-\x7e]+$/;

/**
 * Returns the host name of the Host header in lower case, without port or trailing dot. A request
 * with two Host headers is rejected, since the next proxy or the target could use the other one.
 *
 * @example
 * parseHost(['Booking.Example.:8080']); // 'booking.example'
 */
export function parseHost(headers: readonly string[] | undefined): string {
  const [header, ...duplicates] = headers ?? [];
  if (header === undefined || duplicates.length > 0) {
    throw createRefusal(ResultCode.MalformedRequest, 'there must be exactly one Host header');
  }
  return header.replace(/:\d*$/, '').replace(/\.$/, '').toLowerCase();
}

/**
 * Returns the route of a request; throws a refusal with a result code when there is none.
 *
 * @example
 * const { member, route } = findRoute(table, 'booking.example', '/jobs?day=3', 'POST');
 */
export function findRoute(
  table: RouteTable,
  host: string,
  path: string,
  method: string,
): IRouteMatch {
  const match = table.match(host, path.replace(/\?.*$/s, ''), method);
  if (typeof match !== 'string') return match;
  throw createRefusal(MISS_CODES[match], MISS_MESSAGES[match]);
}

const MISS_CODES: Readonly<Record<RouteMiss, ResultCode>> = {
  [RouteMiss.UnknownHost]: ResultCode.UnknownHost,
  [RouteMiss.UnknownPath]: ResultCode.UnknownRoute,
  [RouteMiss.MethodNotAllowed]: ResultCode.MethodNotAllowed,
};

const MISS_MESSAGES: Readonly<Record<RouteMiss, string>> = {
  [RouteMiss.UnknownHost]: 'no member serves this host',
  [RouteMiss.UnknownPath]: 'no route has this path',
  [RouteMiss.MethodNotAllowed]: 'no route on this path takes this method',
};

/**
 * Returns the timeout of the request, in ms: the caller's, else the route's, else the default.
 *
 * @example
 * const timeoutMs = parseTimeout(headers['parsleymux-timeout-ms'], route, 10_000);
 */
export function parseTimeout(header: string | undefined, route: Route, defaultMs: number): number {
  if (header === undefined) return route.deadlineMs === 0 ? defaultMs : route.deadlineMs;
  const timeoutMs = Number(header);
  if (/^\d{1,9}$/.test(header) && timeoutMs > 0) return Math.min(timeoutMs, MAX_DEADLINE_MS);
  throw createRefusal(
    ResultCode.MalformedDeadline,
    'the timeout is not a whole number of ms above 0',
  );
}

/**
 * Returns the idempotency key; throws when the route needs one and it is missing or malformed.
 *
 * @example
 * const key = parseKey(request.headers[route.keyHeader], route);
 */
export function parseKey(
  header: string | readonly string[] | undefined,
  route: Route,
): string | undefined {
  if (route.idempotent) return undefined;
  if (header === undefined || header === '') {
    const message = `this route is not idempotent: send a key in the header ${route.keyHeader}`;
    throw createRefusal(ResultCode.IdempotencyKeyMissing, message);
  }
  if (typeof header !== 'string' || header.length > MAX_KEY_LENGTH || !KEY_PATTERN.test(header)) {
    const message = `the key must be 1 to ${MAX_KEY_LENGTH} visible ASCII characters`;
    throw createRefusal(ResultCode.IdempotencyKeyMalformed, message);
  }
  return header;
}
