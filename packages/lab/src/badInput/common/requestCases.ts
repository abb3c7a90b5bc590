/** Requests that no node may serve. */
import { ResultCode } from '@parsleymux/base';

/** Host name of a route that is idempotent. */
export const SURVEY_HOST = 'survey.relinieri.example';
const BOOKING_HOST = 'booking.relinieri.example';

/** A request of the booking service's route, which is not idempotent. */
export function makeBookingRequest(lines: readonly string[], body = ''): string {
  return `POST /booking HTTP/1.1\r\nHost: ${BOOKING_HOST}\r\n${lines.join('\r\n')}\r\n\r\n${body}`;
}

/** What a second parser would take for a request of its own. */
const SMUGGLED = `GET /smuggled HTTP/1.1\r\nHost: ${SURVEY_HOST}\r\n\r\n`;
/** A header line that names a booking. */
export const IDEMPOTENCY_KEY_LINE = 'Idempotency-Key: k-1';

/** Requests that are wrong by themselves, with the number that answers them. */
export const REFUSED_REQUESTS: readonly (readonly [name: string, code: number, request: string])[] =
  [
    ['no HTTP at all', ResultCode.MalformedRequest, 'GARBAGE\r\n\r\n'],
    [
      'a version that does not exist',
      ResultCode.MalformedRequest,
      `GET / HTTP/9.9\r\nHost: ${SURVEY_HOST}\r\n\r\n`,
    ],
    [
      'TLS on a plain port',
      ResultCode.MalformedRequest,
      '\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03',
    ],
    [
      'a control character in a header',
      ResultCode.MalformedRequest,
      `GET / HTTP/1.1\r\nHost: ${SURVEY_HOST}\r\nX: a\x00b\r\n\r\n`,
    ],
    ['no Host', ResultCode.MalformedRequest, 'GET / HTTP/1.1\r\nConnection: close\r\n\r\n'],
    [
      'two Hosts',
      ResultCode.MalformedRequest,
      `GET /survey HTTP/1.1\r\nHost: ${SURVEY_HOST}\r\nHost: other.example\r\nConnection: close\r\n\r\n`,
    ],
    [
      'an expectation that is not known',
      ResultCode.MalformedRequest,
      `GET /survey HTTP/1.1\r\nHost: ${SURVEY_HOST}\r\nExpect: wonders\r\nConnection: close\r\n\r\n`,
    ],
    [
      'headers above the limit',
      ResultCode.HeadersTooLarge,
      `GET / HTTP/1.1\r\nHost: ${SURVEY_HOST}\r\nX: ${'x'.repeat(20_000)}\r\n\r\n`,
    ],
    [
      'an unknown host',
      ResultCode.UnknownHost,
      'GET / HTTP/1.1\r\nHost: nobody.example\r\nConnection: close\r\n\r\n',
    ],
    [
      'a path outside every route',
      ResultCode.UnknownRoute,
      `OPTIONS * HTTP/1.1\r\nHost: ${SURVEY_HOST}\r\nConnection: close\r\n\r\n`,
    ],
    [
      'a tunnel',
      ResultCode.MethodNotAllowed,
      `CONNECT ${SURVEY_HOST}:443 HTTP/1.1\r\nHost: ${SURVEY_HOST}\r\n\r\n`,
    ],
    [
      'no idempotency key',
      ResultCode.IdempotencyKeyMissing,
      makeBookingRequest(['Content-Length: 0', 'Connection: close']),
    ],
    [
      'a key of other than visible ASCII',
      ResultCode.IdempotencyKeyMalformed,
      makeBookingRequest(['Idempotency-Key: a b', 'Content-Length: 0', 'Connection: close']),
    ],
    [
      'a key that is too long',
      ResultCode.IdempotencyKeyMalformed,
      makeBookingRequest([
        `Idempotency-Key: ${'k'.repeat(300)}`,
        'Content-Length: 0',
        'Connection: close',
      ]),
    ],
    [
      'a body declared above the limit',
      ResultCode.BodyTooLarge,
      makeBookingRequest([IDEMPOTENCY_KEY_LINE, 'Content-Length: 99999999'], 'x'),
    ],
    ...['abc', '-1', '0', '1.5', '99999999999', '1e3'].map((value) => {
      return [
        `a deadline of ${value}`,
        ResultCode.MalformedDeadline,
        makeBookingRequest([
          IDEMPOTENCY_KEY_LINE,
          `Parsleymux-Timeout-Ms: ${value}`,
          'Content-Length: 0',
          'Connection: close',
        ]),
      ] as const;
    }),
  ];

/** Requests whose end two parsers could see at different bytes; the rest would be a request of its own. */
export const SMUGGLING_REQUESTS: readonly (readonly [name: string, request: string])[] = [
  [
    'content-length and transfer-encoding',
    makeBookingRequest(
      [IDEMPOTENCY_KEY_LINE, 'Content-Length: 6', 'Transfer-Encoding: chunked'],
      `0\r\n\r\n${SMUGGLED}`,
    ),
  ],
  [
    'transfer-encoding and content-length',
    makeBookingRequest(
      [IDEMPOTENCY_KEY_LINE, 'Transfer-Encoding: chunked', 'Content-Length: 6'],
      `0\r\n\r\n${SMUGGLED}`,
    ),
  ],
  [
    'two lengths that differ',
    makeBookingRequest(
      [IDEMPOTENCY_KEY_LINE, 'Content-Length: 0', `Content-Length: ${SMUGGLED.length}`],
      SMUGGLED,
    ),
  ],
  [
    'two lengths in one header',
    makeBookingRequest([IDEMPOTENCY_KEY_LINE, `Content-Length: 0, ${SMUGGLED.length}`], SMUGGLED),
  ],
  ['a signed length', makeBookingRequest([IDEMPOTENCY_KEY_LINE, 'Content-Length: +0'], SMUGGLED)],
  [
    'a length in hexadecimal',
    makeBookingRequest([IDEMPOTENCY_KEY_LINE, 'Content-Length: 0x0'], SMUGGLED),
  ],
  [
    'a folded transfer-encoding',
    makeBookingRequest(
      [IDEMPOTENCY_KEY_LINE, 'Transfer-Encoding:', ' chunked', 'Content-Length: 6'],
      `0\r\n\r\n${SMUGGLED}`,
    ),
  ],
  [
    'a folded header before the length',
    makeBookingRequest(
      [IDEMPOTENCY_KEY_LINE, 'X: a', ' Content-Length: 0', `Content-Length : ${SMUGGLED.length}`],
      SMUGGLED,
    ),
  ],
  [
    'a space before the colon',
    makeBookingRequest(
      [IDEMPOTENCY_KEY_LINE, 'Transfer-Encoding : chunked', 'Content-Length: 6'],
      `0\r\n\r\n${SMUGGLED}`,
    ),
  ],
  [
    'an encoding that is not the last',
    makeBookingRequest(
      [IDEMPOTENCY_KEY_LINE, 'Transfer-Encoding: chunked, identity'],
      `0\r\n\r\n${SMUGGLED}`,
    ),
  ],
  [
    'an encoding that looks like chunked',
    makeBookingRequest(
      [IDEMPOTENCY_KEY_LINE, 'Transfer-Encoding: xchunked', 'Content-Length: 6'],
      `0\r\n\r\n${SMUGGLED}`,
    ),
  ],
  [
    'a chunk size with an odd sign',
    makeBookingRequest(
      [IDEMPOTENCY_KEY_LINE, 'Transfer-Encoding: chunked'],
      `-1\r\n\r\n${SMUGGLED}`,
    ),
  ],
  [
    'a chunk longer than it says',
    makeBookingRequest(
      [IDEMPOTENCY_KEY_LINE, 'Transfer-Encoding: chunked'],
      `1\r\nxx\r\n0\r\n\r\n${SMUGGLED}`,
    ),
  ],
  [
    'a bare carriage return in a header',
    makeBookingRequest(
      [IDEMPOTENCY_KEY_LINE, 'X: a\rTransfer-Encoding: chunked', 'Content-Length: 6'],
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
  ...REFUSED_REQUESTS.slice(0, 4),
  [
    'headers above the limit',
    ResultCode.HeadersTooLarge,
    `GET / HTTP/1.1\r\nHost: a\r\nX: ${'x'.repeat(20_000)}\r\n\r\n`,
  ],
  ['a tunnel', ResultCode.MethodNotAllowed, 'CONNECT a:443 HTTP/1.1\r\nHost: a\r\n\r\n'],
];
