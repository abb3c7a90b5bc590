/** Response bodies of target stand-ins, which callers can verify to be complete and their own. */
import { createHash } from 'node:crypto';

const CHECKSUM_LENGTH = 16;

/** Content of a response body, which identifies its request. */
export interface IResponseContent {
  readonly member: string;
  readonly service: string;
  readonly target: string;
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  /** Checksum of the request's body as the target received it. */
  readonly requestChecksum: string;
  readonly filler: string;
}

/** The fields that a caller expects in the response to its request. */
export type ExpectedResponse = Pick<
  IResponseContent,
  'member' | 'service' | 'requestId' | 'method' | 'path' | 'requestChecksum'
>;

/** The result of verifying a response body. */
export const ResponseFault = {
  None: 'none',
  /** The body is truncated or altered. */
  Partial: 'partial',
  /** The body is complete, but belongs to another request. */
  Foreign: 'foreign',
} as const;

export type ResponseFault = (typeof ResponseFault)[keyof typeof ResponseFault];

/**
 * Returns a truncated SHA-256 of `bytes`, for comparison only.
 *
 * @example
 * const requestChecksum = computeChecksum(body);
 */
export function computeChecksum(bytes: Uint8Array | string): string {
  return createHash('sha256').update(bytes).digest('hex').slice(0, CHECKSUM_LENGTH);
}

/**
 * Encodes the content as JSON, with its checksum as the last field.
 *
 * @example
 * const body = encodeResponseContent(content);
 */
export function encodeResponseContent(content: IResponseContent): Buffer {
  const checksum = computeChecksum(JSON.stringify(content));
  return Buffer.from(JSON.stringify({ ...content, checksum }));
}

/**
 * Checks whether a body is the complete response to the caller's own request.
 *
 * @example
 * if (verifyResponse(bytes, expected) !== ResponseFault.None) report();
 */
export function verifyResponse(body: Uint8Array, expected: ExpectedResponse): ResponseFault {
  const content = parseResponse(body);
  if (content === undefined) return ResponseFault.Partial;
  const fields = Object.entries(expected);
  const isExpected = fields.every(([name, value]) => content[name as keyof ExpectedResponse] === value);
  return isExpected ? ResponseFault.None : ResponseFault.Foreign;
}

function parseResponse(body: Uint8Array): IResponseContent | undefined {
  try {
    const parsed = JSON.parse(Buffer.from(body).toString('utf8')) as IResponseContent & {
      readonly checksum: string;
    };
    const { checksum, ...content } = parsed;
    return checksum === computeChecksum(JSON.stringify(content)) ? content : undefined;
  } catch {
    return undefined;
  }
}
