/** Malformed, unroutable and ambiguous requests that a node must reject. */
import { ResultCode } from '@parsleymux/base';

/** Host of the survey service's route, which is idempotent. */
export const SURVEY_HOST = 'survey.relinieri.example';
const BOOKING_HOST = 'booking.relinieri.example';

/** Builds a request to the booking service's route, which is not idempotent. */
export function makeBookingRequest(lines: readonly string[], body = ''): string {
  return `POST /booking HTTP/1.1\r\nHost: ${BOOKING_HOST}\r\n${lines.join('\r\n')}\r\n\r\n${body}`;
}

/** Bytes that a parser which ends the body earlier reads as a second request. */
const SMUGGLED = `GET /smuggled HTTP/1.1\r\nHost: ${SURVEY_HOST}\r\n\r\n`;
/** A header line with a valid idempotency key. */
export const IDEMPOTENCY_KEY_LINE = 'Idempotency-Key: k-1';

/** Requests that are invalid on their own, with the result code of the response. */
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
      'an unknown expectation',
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
      'a key with characters other than visible ASCII',
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

/** Requests whose end is ambiguous: another parser could read the remaining bytes as a second request. */
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
    'two different lengths',
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
    'chunked followed by another encoding',
    makeBookingRequest(
      [IDEMPOTENCY_KEY_LINE, 'Transfer-Encoding: chunked, identity'],
      `0\r\n\r\n${SMUGGLED}`,
    ),
  ],
  [
    'an encoding whose name resembles chunked',
    makeBookingRequest(
      [IDEMPOTENCY_KEY_LINE, 'Transfer-Encoding: xchunked', 'Content-Length: 6'],
      `0\r\n\r\n${SMUGGLED}`,
    ),
  ],
  [
    'a negative chunk size',
    makeBookingRequest(
      [IDEMPOTENCY_KEY_LINE, 'Transfer-Encoding: chunked'],
      `-1\r\n\r\n${SMUGGLED}`,
    ),
  ],
  [
    'a chunk longer than its declared size',
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

/** Requests that are rejected on any port, before a route is looked up. */
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
