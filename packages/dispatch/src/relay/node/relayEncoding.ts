/** Encoding of relayed attempts: a line of JSON, followed by the body of the request or response. */
import type { IncomingMessage } from 'node:http';
import type { Header, ITargetResponse, TransportFailure } from '@parsleymux/routing';
import VError from 'verror';
import type { IRelayOffer, IRelayedRequest, RelayRefusal } from '../common/relayTransport.js';

/** Path of relayed attempts on a node's state server. */
export const RELAY_PATH = '/relayed-attempts';
/** Header with the offer, which the peer accepts before the request is sent. */
export const OFFER_HEADER = 'parsleymux-relay-offer';
/** Header with the reason for which a peer did not send an attempt. */
export const REFUSAL_HEADER = 'parsleymux-relay-refusal';

const LINE_END = 0x0a;

/** The result of an attempt that a peer has accepted. */
export type RelayResult =
  | { readonly kind: 'response'; readonly response: ITargetResponse }
  | { readonly kind: 'refused'; readonly reason: RelayRefusal }
  | {
      readonly kind: 'failed';
      readonly failure: TransportFailure;
      readonly mayHaveRun: boolean;
      readonly reusedConnection: boolean;
    };

/** Encodes an offer as the value of a header. */
export function encodeOffer(offer: IRelayOffer): string {
  return encodeURIComponent(JSON.stringify(offer));
}

/** Decodes an offer; undefined if it is malformed. */
export function decodeOffer(text: string | string[] | undefined): IRelayOffer | undefined {
  if (typeof text !== 'string') return undefined;
  try {
    const { bornMs, requestId, targetId } = JSON.parse(
      decodeURIComponent(text),
    ) as Partial<IRelayOffer>;
    return typeof targetId === 'string' && typeof requestId === 'string'
      ? { bornMs, requestId, targetId }
      : undefined;
  } catch {
    return undefined;
  }
}

export function encodeRequest({ body, ...head }: IRelayedRequest): Uint8Array {
  return joinParts(head, body);
}

/** @throws VError if the bytes are malformed. */
export function decodeRequest(bytes: Buffer): IRelayedRequest {
  const { body, head } = parseParts(bytes);
  return { ...(head as Omit<IRelayedRequest, 'body'>), body };
}

export function encodeResult(result: RelayResult): Uint8Array {
  if (result.kind !== 'response') return joinParts(result, new Uint8Array());
  const { body, ...response } = result.response;
  if (!(body instanceof Uint8Array)) throw new TypeError('the response body is not buffered');
  return joinParts({ kind: result.kind, response }, body);
}

/** @throws VError if the bytes are malformed. */
export function decodeResult(bytes: Buffer): RelayResult {
  const { body, head } = parseParts(bytes);
  const result = head as RelayResult;
  if (result.kind !== 'response') return result;
  const headers: readonly Header[] = result.response.headers;
  return { kind: 'response', response: { ...result.response, headers, body } };
}

/** Reads a message to its end; rejects if it is incomplete or too large. */
export async function readMessage(message: IncomingMessage, maxBytes: number): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of message as AsyncIterable<Buffer>) {
    size += chunk.byteLength;
    if (size > maxBytes) throw new VError('message has more than %d bytes', maxBytes);
    chunks.push(chunk);
  }
  if (!message.complete) throw new VError('message is incomplete');
  return Buffer.concat(chunks);
}

function joinParts(head: object, body: Uint8Array): Uint8Array {
  return Buffer.concat([Buffer.from(`${JSON.stringify(head)}\n`), body]);
}

function parseParts(bytes: Buffer): { readonly head: unknown; readonly body: Uint8Array } {
  const end = bytes.indexOf(LINE_END);
  if (end === -1) throw new VError('message has no head');
  return { head: JSON.parse(bytes.toString('utf8', 0, end)), body: bytes.subarray(end + 1) };
}
