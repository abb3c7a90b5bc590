/** An HTTP client on a plain socket, for malformed requests that no HTTP library sends. */
import { connect } from 'node:net';
import { parseTargetAddress } from '@parsleymux/routing';

/** Longest wait for the node to close the connection; far above the node's timeouts in these tests. */
const CLOSE_TIMEOUT_MS = 20_000;

/** The bytes received on one connection until it closed, and the headers found in them. */
export interface IRawExchange {
  readonly text: string;
  /** Status codes in the order of the responses. */
  readonly statuses: readonly number[];
  /** Values of `parsleymux-result` in the order of the responses. */
  readonly results: readonly number[];
  /** Values of `parsleymux-run-state` in the order of the responses. */
  readonly runStates: readonly string[];
  /** Whether the node closed the connection; false if the wait for it timed out. */
  readonly isClosedByNode: boolean;
}

/** Options of {@link sendRawRequest}. */
export interface IRawRequestOptions {
  /** Whether to close the sending side after the request is written. Default false. */
  readonly isHalfClosing?: boolean;
}

/**
 * Opens a connection, writes the parts and reads until the connection closes.
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
