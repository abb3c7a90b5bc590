/** Requests that no node may serve. */
import { ResultCode } from '@parsleymux/base';

/** Host name of a route that is idempotent. */
export const READ_HOST = 'survey.relinieri.example';
const WRITE_HOST = 'booking.relinieri.example';

/** A request of the booking service's route, which is not idempotent. */
export function makePost(lines: readonly string[], body = ''): string {
  return `POST /booking HTTP/1.1\r\nHost: ${WRITE_HOST}\r\n${lines.join('\r\n')}\r\n\r\n${body}`;
}

/** What a second parser would take for a request of its own. */
const SMUGGLED = `GET /smuggled HTTP/1.1\r\nHost: ${READ_HOST}\r\n\r\n`;
/** A header line that names a booking. */
export const KEY = 'Idempotency-Key: k-1';

/** Requests that are wrong by themselves, with the number that answers them. */
export const REFUSED: readonly (readonly [name: string, code: number, request: string])[] = [
  ['no HTTP at all', ResultCode.MalformedRequest, 'GARBAGE\r\n\r\n'],
  [
    'a version that does not exist',
    ResultCode.MalformedRequest,
    `GET / HTTP/9.9\r\nHost: ${READ_HOST}\r\n\r\n`,
  ],
  [
    'TLS on a plain port',
    ResultCode.MalformedRequest,
    '\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03',
  ],
  [
    'a control character in a header',
    ResultCode.MalformedRequest,
    `GET / HTTP/1.1\r\nHost: ${READ_HOST}\r\nX: a\x00b\r\n\r\n`,
  ],
  ['no Host', ResultCode.MalformedRequest, 'GET / HTTP/1.1\r\nConnection: close\r\n\r\n'],
  [
    'two Hosts',
    ResultCode.MalformedRequest,
    `GET /survey HTTP/1.1\r\nHost: ${READ_HOST}\r\nHost: other.example\r\nConnection: close\r\n\r\n`,
  ],
  [
    'an expectation that is not known',
    ResultCode.MalformedRequest,
    `GET /survey HTTP/1.1\r\nHost: ${READ_HOST}\r\nExpect: wonders\r\nConnection: close\r\n\r\n`,
  ],
  [
    'headers above the limit',
    ResultCode.HeadersTooLarge,
    `GET / HTTP/1.1\r\nHost: ${READ_HOST}\r\nX: ${'x'.repeat(20_000)}\r\n\r\n`,
  ],
  [
    'an unknown host',
    ResultCode.UnknownHost,
    'GET / HTTP/1.1\r\nHost: nobody.example\r\nConnection: close\r\n\r\n',
  ],
  [
    'a path outside every route',
    ResultCode.UnknownRoute,
    `OPTIONS * HTTP/1.1\r\nHost: ${READ_HOST}\r\nConnection: close\r\n\r\n`,
  ],
  [
    'a tunnel',
    ResultCode.MethodNotAllowed,
    `CONNECT ${READ_HOST}:443 HTTP/1.1\r\nHost: ${READ_HOST}\r\n\r\n`,
  ],
  [
    'no idempotency key',
    ResultCode.IdempotencyKeyMissing,
    makePost(['Content-Length: 0', 'Connection: close']),
  ],
  [
    'a key of other than visible ASCII',
    ResultCode.IdempotencyKeyMalformed,
    makePost(['Idempotency-Key: a b', 'Content-Length: 0', 'Connection: close']),
  ],
  [
    'a key that is too long',
    ResultCode.IdempotencyKeyMalformed,
    makePost([`Idempotency-Key: ${'k'.repeat(300)}`, 'Content-Length: 0', 'Connection: close']),
  ],
  [
    'a body declared above the limit',
    ResultCode.BodyTooLarge,
    makePost([KEY, 'Content-Length: 99999999'], 'x'),
  ],
  ...['abc', '-1', '0', '1.5', '99999999999', '1e3'].map((value) => {
    return [
      `a deadline of ${value}`,
      ResultCode.MalformedDeadline,
      makePost([KEY, `Parsleymux-Timeout-Ms: ${value}`, 'Content-Length: 0', 'Connection: close']),
    ] as const;
  }),
];

/** Requests whose end two parsers could see at different bytes; the rest would be a request of its own. */
export const SMUGGLING: readonly (readonly [name: string, request: string])[] = [
  [
    'content-length and transfer-encoding',
    makePost([KEY, 'Content-Length: 6', 'Transfer-Encoding: chunked'], `0\r\n\r\n${SMUGGLED}`),
  ],
  [
    'transfer-encoding and content-length',
    makePost([KEY, 'Transfer-Encoding: chunked', 'Content-Length: 6'], `0\r\n\r\n${SMUGGLED}`),
  ],
  [
    'two lengths that differ',
    makePost([KEY, 'Content-Length: 0', `Content-Length: ${SMUGGLED.length}`], SMUGGLED),
  ],
  ['two lengths in one header', makePost([KEY, `Content-Length: 0, ${SMUGGLED.length}`], SMUGGLED)],
  ['a signed length', makePost([KEY, 'Content-Length: +0'], SMUGGLED)],
  ['a length in hexadecimal', makePost([KEY, 'Content-Length: 0x0'], SMUGGLED)],
  [
    'a folded transfer-encoding',
    makePost([KEY, 'Transfer-Encoding:', ' chunked', 'Content-Length: 6'], `0\r\n\r\n${SMUGGLED}`),
  ],
  [
    'a folded header before the length',
    makePost([KEY, 'X: a', ' Content-Length: 0', `Content-Length : ${SMUGGLED.length}`], SMUGGLED),
  ],
  [
    'a space before the colon',
    makePost([KEY, 'Transfer-Encoding : chunked', 'Content-Length: 6'], `0\r\n\r\n${SMUGGLED}`),
  ],
  [
    'an encoding that is not the last',
    makePost([KEY, 'Transfer-Encoding: chunked, identity'], `0\r\n\r\n${SMUGGLED}`),
  ],
  [
    'an encoding that looks like chunked',
    makePost([KEY, 'Transfer-Encoding: xchunked', 'Content-Length: 6'], `0\r\n\r\n${SMUGGLED}`),
  ],
  [
    'a chunk size with an odd sign',
    makePost([KEY, 'Transfer-Encoding: chunked'], `-1\r\n\r\n${SMUGGLED}`),
  ],
  [
    'a chunk longer than it says',
    makePost([KEY, 'Transfer-Encoding: chunked'], `1\r\nxx\r\n0\r\n\r\n${SMUGGLED}`),
  ],
  [
    'a bare carriage return in a header',
    makePost(
      [KEY, 'X: a\rTransfer-Encoding: chunked', 'Content-Length: 6'],
      `0\r\n\r\n${SMUGGLED}`,
    ),
  ],
];

/** What is refused before any route is looked for, on whatever port. */
export const REFUSED_ON_ANY_PORT: readonly (readonly [
  name: string,
  code: number,
  request: string,
])[] = [
  ...REFUSED.slice(0, 4),
  [
    'headers above the limit',
    ResultCode.HeadersTooLarge,
    `GET / HTTP/1.1\r\nHost: a\r\nX: ${'x'.repeat(20_000)}\r\n\r\n`,
  ],
  ['a tunnel', ResultCode.MethodNotAllowed, 'CONNECT a:443 HTTP/1.1\r\nHost: a\r\n\r\n'],
];
