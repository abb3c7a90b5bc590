/** The body of a target stand-in's answer, by which a caller knows its own whole answer. */
import { createHash } from 'node:crypto';

const CHECKSUM_LENGTH = 16;

/** What an answer says of the request that it belongs to. */
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

/** What a caller expects of its answer. */
export type ExpectedResponse = Pick<
  IResponseContent,
  'member' | 'service' | 'requestId' | 'method' | 'path' | 'requestChecksum'
>;

/** How an answer falls short. */
export const ResponseFault = {
  None: 'none',
  /** Cut short or altered. */
  Partial: 'partial',
  /** Whole, but the answer to another request. */
  Foreign: 'foreign',
} as const;

export type ResponseFault = (typeof ResponseFault)[keyof typeof ResponseFault];

/**
 * Checksum of bytes, for comparison only.
 *
 * @example
 * const requestChecksum = computeChecksum(body);
 */
export function computeChecksum(bytes: Uint8Array | string): string {
  return createHash('sha256').update(bytes).digest('hex').slice(0, CHECKSUM_LENGTH);
}

/**
 * The answer's body: the content as JSON, with its checksum as the last field.
 *
 * @example
 * const body = encodeAnswer(content);
 */
export function encodeResponseContent(content: IResponseContent): Buffer {
  const checksum = computeChecksum(JSON.stringify(content));
  return Buffer.from(JSON.stringify({ ...content, checksum }));
}

/**
 * Tells whether a body is the whole answer to the caller's own request.
 *
 * @example
 * if (verifyAnswer(bytes, expected) !== AnswerFault.None) report();
 */
export function verifyResponse(body: Uint8Array, expected: ExpectedResponse): ResponseFault {
  const content = parseResponse(body);
  if (content === undefined) return ResponseFault.Partial;
  const fields = Object.entries(expected);
  const isOwn = fields.every(([name, value]) => content[name as keyof ExpectedResponse] === value);
  return isOwn ? ResponseFault.None : ResponseFault.Foreign;
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
