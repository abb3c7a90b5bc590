/** A caller made of a bare socket, for requests that no HTTP library would send. */
import { connect } from 'node:net';
import { parseTargetAddress } from '@parsleymux/routing';

/** Longest wait for the far end to close, in ms; far above any limit of the node in these tests. */
const CLOSE_TIMEOUT_MS = 20_000;

/** What came back on one connection until it closed. */
export interface IRawExchange {
  readonly text: string;
  /** Status lines in their order. */
  readonly statuses: readonly number[];
  /** Values of `parsleymux-result` in their order. */
  readonly results: readonly number[];
  /** Values of `parsleymux-run-state` in their order. */
  readonly runStates: readonly string[];
  /** Whether the node closed the connection; false when the caller gave up waiting. */
  readonly isClosedByNode: boolean;
}

/** Options of {@link exchangeRaw}. */
export interface IRawRequestOptions {
  /** Close the caller's side after writing. Default false. */
  readonly isHalfClosing?: boolean;
}

/**
 * Writes bytes on a new connection and reads until it closes.
 *
 * @example
 * const { results } = await sendRawRequest(address, ['GARBAGE\r\n\r\n']);
 */
export function sendRawRequest(
  address: string,
  parts: readonly (string | Buffer)[],
  options: IRawRequestOptions = {},
): Promise<IRawExchange> {
  return new Promise((resolve) => {
    const socket = connect(parseTargetAddress(address));
    const chunks: Buffer[] = [];
    let isClosedByNode = true;
    const timer = setTimeout(() => {
      isClosedByNode = false;
      socket.destroy();
    }, CLOSE_TIMEOUT_MS);
    socket.on('error', () => undefined);
    socket.on('data', (chunk: Buffer) => chunks.push(chunk));
    socket.on('close', () => {
      clearTimeout(timer);
      resolve(parseExchange(Buffer.concat(chunks).toString('latin1'), isClosedByNode));
    });
    for (const part of parts) socket.write(part, 'latin1');
    if (options.isHalfClosing === true) socket.end();
  });
}

function parseExchange(text: string, isClosedByNode: boolean): IRawExchange {
  return {
    text,
    isClosedByNode,
    statuses: findAll(text, /HTTP\/1\.1 (\d{3}) /g).map(Number),
    results: findAll(text, /^parsleymux-result: (\d+)/gim).map(Number),
    runStates: findAll(text, /^parsleymux-run-state: (\S+)/gim),
  };
}

function findAll(text: string, pattern: RegExp): readonly string[] {
  return [...text.matchAll(pattern)].map((match) => match[1] ?? '');
}
